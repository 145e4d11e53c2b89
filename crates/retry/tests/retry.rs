//! Tests of retry decisions and of the amplification of requests under overload.

use dw_base::seeded_rng;
use dw_base::DurationMs;
use dw_base::TimeMs;
use dw_retry::decide;
use dw_retry::Attempt;
use dw_retry::Backoff;
use dw_retry::Budget;
use dw_retry::Decision;
use dw_retry::GiveUp;
use dw_retry::Outcome;
use dw_wire::RepeatRule;
use rand::RngExt;

fn attempt(outcome: Outcome, rule: RepeatRule) -> Attempt {
    Attempt {
        outcome,
        rule,
        bytes_sent: 0,
        deadline: TimeMs(10_000),
        attempt: 0,
    }
}

fn decision_for(attempt: &Attempt) -> Decision {
    let (mut budget, mut rng) = (Budget::default(), seeded_rng(1));
    decide(
        attempt,
        &mut budget,
        &Backoff::default(),
        TimeMs(0),
        &mut rng,
    )
}

/// Guards against an at-most-once request that runs twice, and against a response that is joined
/// from two runs.
#[test]
fn only_safe_attempts_are_retried() {
    let lost = |rule| decision_for(&attempt(Outcome::MayHaveRun, rule));
    assert_eq!(
        lost(RepeatRule::AtMostOnce),
        Decision::GiveUp(GiveUp::MayHaveRun)
    );
    assert!(matches!(
        lost(RepeatRule::Repeatable),
        Decision::Retry { .. }
    ));
    assert!(matches!(
        lost(RepeatRule::Idempotent),
        Decision::Retry { .. }
    ));
    let failed = attempt(Outcome::ConnectFailed, RepeatRule::AtMostOnce);
    assert!(matches!(decision_for(&failed), Decision::Retry { .. }));
    let mut started = attempt(Outcome::MayHaveRun, RepeatRule::Idempotent);
    started.bytes_sent = 1;
    assert_eq!(
        decision_for(&started),
        Decision::GiveUp(GiveUp::AnswerStarted)
    );
}

/// Guards against a request that is kept although its refusal allows a retry only after its
/// deadline.
#[test]
fn late_refusal_ends_the_request() {
    let retry_after_ms = DurationMs(10_000);
    let refused = attempt(Outcome::Refused { retry_after_ms }, RepeatRule::Idempotent);
    assert_eq!(decision_for(&refused), Decision::GiveUp(GiveUp::Deadline));
}

/// Returns the number of attempts per request if the fraction `answered` of all attempts is
/// answered.
fn amplification(answered: f64, limited: bool) -> f64 {
    const REQUESTS: u32 = 20_000;
    let mut budget = Budget::default();
    let mut rng = seeded_rng(7);
    let mut attempts = 0;
    for _ in 0..REQUESTS {
        for number in 0..4 {
            attempts += 1;
            if rng.random::<f64>() < answered {
                if number == 0 {
                    budget.record_answer();
                }
                break;
            }
            let mut failed = attempt(Outcome::MayHaveRun, RepeatRule::Idempotent);
            failed.attempt = number;
            let mut fresh = Budget::default();
            let budget = if limited { &mut budget } else { &mut fresh };
            let decision = decide(&failed, budget, &Backoff::default(), TimeMs(0), &mut rng);
            if matches!(decision, Decision::GiveUp(_)) {
                break;
            }
        }
    }
    f64::from(attempts) / f64::from(REQUESTS)
}

/// Guards against retries that amplify an overload.
#[test]
fn budget_bounds_amplification() {
    for answered in [0.0, 0.1, 0.3, 0.6] {
        let (with_budget, without_budget) = (
            amplification(answered, true),
            amplification(answered, false),
        );
        println!(
            "answered {answered}: {with_budget:.3} with the budget, {without_budget:.3} without"
        );
        assert!(with_budget <= 1.1, "{with_budget}");
        assert!(without_budget > 1.5, "{without_budget}");
    }
}

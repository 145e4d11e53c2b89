//! Tests of the tries of one attempt at several upstreams, and of the repeat budget.

use dw_base::DurationMs;
use dw_base::TimeMs;
use dw_retry::AttemptOutcome;
use dw_retry::BudgetSettings;
use dw_retry::BudgetShare;
use dw_retry::NextAction;
use dw_retry::RetryState;
use proptest::prelude::*;

fn fate() -> impl Strategy<Value = AttemptOutcome> {
    prop_oneof![
        Just(AttemptOutcome::Unsent),
        Just(AttemptOutcome::NotRun),
        Just(AttemptOutcome::Failed),
        Just(AttemptOutcome::Unknown),
    ]
}

fn may_have_run(fate: AttemptOutcome) -> bool {
    matches!(fate, AttemptOutcome::Failed | AttemptOutcome::Unknown)
}

proptest! {
    /// Guards against a request that runs twice although it must not, and against a refusal that
    /// states "not run" after a run. This occurred when `RetryState::after` ignored `may_repeat`, and
    /// when it did not consider earlier tries before `Refuse`.
    #[test]
    fn run_guarantees_hold(
        fates in prop::collection::vec(fate(), 1..12),
        may_repeat: bool,
        max_runs in 1u32..4,
        budget: bool,
    ) {
        let mut tries = RetryState::new(may_repeat, max_runs);
        let mut runs = 0;
        for fate in fates {
            runs += u32::from(may_have_run(fate));
            let next = tries.next_action(fate, || budget);
            match next {
                NextAction::Retry => {
                    prop_assert!(runs == 0 || may_repeat, "a request that may have run is sent again");
                    prop_assert!(runs < max_runs, "a request runs on more upstreams than allowed");
                    prop_assert!(budget || fate == AttemptOutcome::Unsent, "a repeat without budget");
                }
                NextAction::Refuse => prop_assert_eq!(runs, 0, "a refusal after a run"),
                NextAction::Pass => prop_assert_eq!(fate, AttemptOutcome::Failed),
                NextAction::Broken => prop_assert!(runs > 0, "an unknown outcome without a run"),
            }
            if next != NextAction::Retry {
                break;
            }
        }
    }

    /// Guards against routers that together exceed the budget of a service in any window.
    #[test]
    fn shares_stay_within_the_budget(
        steps in prop::collection::vec((0u64..400, any::<bool>()), 1..400),
        routers in 1u32..6,
    ) {
        let rule = BudgetSettings {
            ratio: 0.2,
            slack: 56.0,
            window_ms: DurationMs(10_000),
        };
        let mut share = BudgetShare::new(rule);
        let mut now = TimeMs(0);
        let mut requests: Vec<TimeMs> = Vec::new();
        let mut repeats: Vec<TimeMs> = Vec::new();
        for (wait_ms, repeat) in steps {
            now = now + DurationMs(wait_ms);
            if repeat {
                if share.spend(routers, now) {
                    repeats.push(now);
                }
            } else {
                share.record_request(now);
                requests.push(now);
            }
            let recent = |times: &[TimeMs]| {
                times.iter().filter(|time| now.since(**time) < rule.window_ms).count() as f64
            };
            let allowed = rule.ratio * recent(&requests) + rule.slack / f64::from(routers);
            // The oldest tenth of the window is counted completely or not at all.
            let slack = 0.1 * (allowed + recent(&repeats)) + 1.0;
            prop_assert!(recent(&repeats) <= allowed + slack);
        }
    }
}

/// Guards against unlimited tries while all upstreams refuse.
#[test]
fn tries_are_limited() {
    let mut tries = RetryState::new(false, 1);
    let ends = (0..20)
        .position(|_| tries.next_action(AttemptOutcome::NotRun, || true) == NextAction::Refuse);
    assert_eq!(ends, Some(5));
}

//! Decision on whether a failed attempt is retried.

use dw_base::DurationMs;
use dw_base::Rng;
use dw_base::TimeMs;
use dw_wire::RepeatRule;

use crate::backoff::Backoff;
use crate::budget::Budget;

/// Outcome of a failed attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// No connection was established, so the request has not run.
    ConnectFailed,
    /// The agent refused the request; it has not run.
    Refused {
        /// Time after which the caller may retry.
        retry_after_ms: DurationMs,
    },
    /// The connection failed or the response was lost; the request may have run.
    MayHaveRun,
}

/// A failed attempt of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Attempt {
    /// Outcome of the attempt.
    pub outcome: Outcome,
    /// Rule that states whether the service may run a request again.
    pub rule: RepeatRule,
    /// Number of response bytes that were already sent to the caller.
    pub bytes_sent: u64,
    /// Deadline of the request.
    pub deadline: TimeMs,
    /// Number of the attempt, counted from 0.
    pub attempt: u32,
}

/// Reason not to retry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GiveUp {
    /// The caller has received part of a response, which another run would not continue.
    AnswerStarted,
    /// The request may have run, and must not run twice.
    MayHaveRun,
    /// The deadline would pass before the retry.
    Deadline,
    /// The retry budget of the destination is exhausted.
    Budget,
}

/// Decision after a failed attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// Retry after a delay. The retry has already been taken from the budget.
    Retry {
        /// Delay before the retry.
        delay_ms: DurationMs,
    },
    /// Return the error to the caller.
    GiveUp(GiveUp),
}

/// Decides whether a failed attempt is retried.
pub fn decide(
    attempt: &Attempt,
    budget: &mut Budget,
    backoff: &Backoff,
    now: TimeMs,
    rng: &mut Rng,
) -> Decision {
    if attempt.bytes_sent > 0 {
        return Decision::GiveUp(GiveUp::AnswerStarted);
    }
    let may_have_run = attempt.outcome == Outcome::MayHaveRun;
    if may_have_run && attempt.rule == RepeatRule::AtMostOnce {
        return Decision::GiveUp(GiveUp::MayHaveRun);
    }
    let remaining_ms = attempt.deadline.since(now);
    let refusal_delay_ms = match attempt.outcome {
        Outcome::Refused { retry_after_ms } => retry_after_ms,
        _ => DurationMs::ZERO,
    };
    let delay_ms = backoff.delay_ms(attempt.attempt, rng);
    if refusal_delay_ms >= remaining_ms || delay_ms >= remaining_ms {
        return Decision::GiveUp(GiveUp::Deadline);
    }
    match budget.spend() {
        true => Decision::Retry { delay_ms },
        false => Decision::GiveUp(GiveUp::Budget),
    }
}

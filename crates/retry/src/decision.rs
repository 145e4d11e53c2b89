//! Decision after a failed attempt.

use dw_base::DurationMs;
use dw_base::Rng;
use dw_base::TimeMs;
use dw_wire::RepeatRule;

use crate::backoff::Backoff;
use crate::budget::Budget;

/// What is known of a failed attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// No connection was made, so nothing was run.
    ConnectFailed,
    /// The agent refused it as not run.
    Refused {
        /// When to come back.
        retry_after_ms: DurationMs,
    },
    /// The connection broke or the answer was lost; it may have run.
    MayHaveRun,
}

/// A failed attempt of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Attempt {
    /// What is known.
    pub outcome: Outcome,
    /// Whether the service may be run again.
    pub rule: RepeatRule,
    /// Bytes of an answer that the caller has already received.
    pub bytes_sent: u64,
    /// Deadline of the request.
    pub deadline: TimeMs,
    /// Number of the attempt, from 0.
    pub attempt: u32,
}

/// Why there is no retry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GiveUp {
    /// The caller has part of an answer, which another run would not continue.
    AnswerStarted,
    /// It may have run, and must not run twice.
    MayHaveRun,
    /// The deadline would pass before the retry.
    Deadline,
    /// The budget of the destination is spent.
    Budget,
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// Try again after a delay, which is already charged to the budget.
    Retry {
        /// Delay before the retry.
        delay_ms: DurationMs,
    },
    /// Answer the caller with the error.
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
    let left = attempt.deadline.since(now);
    let wanted = match attempt.outcome {
        Outcome::Refused { retry_after_ms } => retry_after_ms,
        _ => DurationMs::ZERO,
    };
    let delay_ms = backoff.delay_ms(attempt.attempt, rng);
    if wanted >= left || delay_ms >= left {
        return Decision::GiveUp(GiveUp::Deadline);
    }
    match budget.spend() {
        true => Decision::Retry { delay_ms },
        false => Decision::GiveUp(GiveUp::Budget),
    }
}

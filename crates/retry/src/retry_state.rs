//! Life of one caller's attempt over the upstreams it is sent to.
//!
//! | state | what may follow |
//! | --- | --- |
//! | unsent | another upstream, or a refusal that promises "not run" |
//! | refused by the upstream as not run | the same, within the budget |
//! | failed after a run, or unknown | another upstream only if it may be repeated; never a promise |

/// Upstreams that are tried for one request before it is refused.
const MOST_TRIES: u32 = 6;

/// How one try at an upstream ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptOutcome {
    /// Nothing was sent.
    Unsent,
    /// The upstream says that it did not run the request.
    NotRun,
    /// The upstream ran it and answered with a failure.
    Failed,
    /// It was sent and there is no answer, so it may have run.
    Unknown,
}

/// What follows a try that gave no good answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NextAction {
    /// Try another upstream.
    Retry,
    /// Refuse it; it has not run and will not run.
    Refuse,
    /// Pass the upstream's failure on.
    Pass,
    /// Answer that the outcome is unknown.
    Broken,
}

/// RetryState of one attempt at upstreams.
#[derive(Clone, Debug)]
pub struct RetryState {
    may_repeat: bool,
    max_runs: u32,
    ended: u32,
    runs: u32,
}

impl RetryState {
    /// Creates an attempt that may run on up to `max_runs` upstreams if it may be repeated.
    pub fn new(may_repeat: bool, max_runs: u32) -> Self {
        RetryState {
            may_repeat,
            max_runs: max_runs.max(1),
            ended: 0,
            runs: 0,
        }
    }

    /// Returns whether it may have run anywhere.
    pub fn may_have_run(&self) -> bool {
        self.runs > 0
    }

    /// Returns the number of tries that ended.
    pub fn ended_attempts(&self) -> u32 {
        self.ended
    }

    /// Decides after a try that gave no good answer.
    ///
    /// `budget` takes one repeat from the budget of the service if there is one. A try that sent
    /// nothing reached no upstream and needs none.
    pub fn next_action(
        &mut self,
        fate: AttemptOutcome,
        budget: impl FnOnce() -> bool,
    ) -> NextAction {
        self.ended += 1;
        let ran = matches!(fate, AttemptOutcome::Failed | AttemptOutcome::Unknown);
        self.runs += u32::from(ran);
        let allowed = !self.may_have_run() || (self.may_repeat && self.runs < self.max_runs);
        let again =
            self.ended < MOST_TRIES && allowed && (fate == AttemptOutcome::Unsent || budget());
        match fate {
            _ if again => NextAction::Retry,
            AttemptOutcome::Failed => NextAction::Pass,
            _ if self.may_have_run() => NextAction::Broken,
            _ => NextAction::Refuse,
        }
    }
}

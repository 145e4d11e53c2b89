//! The trait that admission policies implement.

use dw_base::DurationMs;
use dw_base::Priority;
use dw_base::TimeMs;
use dw_base::Tokens;
use dw_base::TokensPerS;

use crate::ticket::Ticket;

/// Reason for a refusal.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cause {
    /// The queue or its expected wait is too long, and the other requests have a higher ratio of
    /// worth to cost.
    QueueFull,
    /// The deadline cannot be met.
    DeadlineUnmeetable,
}

/// Action for the agent to take.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Refuse a request immediately; it has not run.
    Refuse {
        /// Id of the request.
        id: u64,
        /// Reason for the refusal.
        cause: Cause,
        /// Time after which the caller may retry.
        retry_after_ms: DurationMs,
    },
    /// Cancel a running request on the upstream and offer its ticket again.
    Preempt {
        /// Id of the request.
        id: u64,
    },
    /// Start a request on the upstream.
    Start(Ticket),
}

/// Measurements of a finished request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Finished {
    /// Id of the request.
    pub id: u64,
    /// Number of prompt tokens that were computed.
    pub computed_tokens: Tokens,
    /// Number of tokens that were generated.
    pub generated_tokens: Tokens,
    /// Time from start to first token.
    pub prefill_ms: DurationMs,
    /// Time from start to end.
    pub total_ms: DurationMs,
}

/// Load of the upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub queued: u32,
    /// Measured prefill speed.
    pub prefill_tokens_per_s: TokensPerS,
    /// Measured decode speed of one stream.
    pub decode_tokens_per_s: TokensPerS,
}

/// Admission policy: decides which requests start, wait or are refused.
pub trait Gate: Send {
    /// Adds a request that has arrived, or one that was pre-empted, to the queue.
    fn offer(&mut self, ticket: Ticket, now: TimeMs) -> Vec<Action>;

    /// Returns the requests to start with the available capacity, and those to refuse because they
    /// cannot meet their deadline.
    fn next(&mut self, now: TimeMs) -> Vec<Action>;

    /// Records that the upstream has computed the prompt of a request.
    fn first_token(&mut self, _id: u64, _now: TimeMs) {}

    /// Records the end of a request.
    fn finished(&mut self, finished: &Finished, now: TimeMs);

    /// Removes a queued request; returns whether it was queued.
    fn withdraw(&mut self, id: u64) -> bool;

    /// Returns the expected wait of a new request with this priority.
    fn expected_wait_ms(&self, priority: Priority, now: TimeMs) -> DurationMs;

    /// Returns the current load of the upstream.
    fn load(&self) -> Load;
}

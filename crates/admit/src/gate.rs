//! The trait that admission policies implement.

use dw_base::DurationMs;
use dw_base::Priority;
use dw_base::TimeMs;
use dw_base::Tokens;
use dw_base::TokensPerS;

use crate::ticket::Ticket;

/// Why a request is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cause {
    /// The queue is full and the request is worth no more than what waits.
    QueueFull,
    /// The deadline cannot be met.
    DeadlineUnmeetable,
}

/// What the agent must do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Refuse a request as not run, at once.
    Refuse {
        /// Request.
        id: u64,
        /// Why.
        cause: Cause,
        /// When to come back.
        retry_after_ms: DurationMs,
    },
    /// Cancel a running request on the upstream and offer it again.
    Preempt {
        /// Request.
        id: u64,
    },
    /// Start a request on the upstream.
    Start(Ticket),
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Finished {
    /// Request.
    pub id: u64,
    /// Prompt tokens that were computed.
    pub computed_tokens: Tokens,
    /// Tokens that were generated.
    pub generated_tokens: Tokens,
    /// Time from start to first token.
    pub prefill_ms: DurationMs,
    /// Time from start to end.
    pub total_ms: DurationMs,
}

/// Load of the upstream as the gate knows it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub queued: u32,
    /// Measured prefill speed.
    pub prefill_tokens_per_s: TokensPerS,
    /// Measured decode speed of one stream.
    pub decode_tokens_per_s: TokensPerS,
}

/// Decides what runs, what waits and what is refused.
pub trait Gate: Send {
    /// Takes a request that has arrived.
    fn offer(&mut self, ticket: Ticket, now: TimeMs) -> Vec<Action>;

    /// Returns what to start now that there is room, and what to refuse because it is too late.
    fn next(&mut self, now: TimeMs) -> Vec<Action>;

    /// Learns that the upstream has computed the prompt of a request.
    fn first_token(&mut self, _id: u64, _now: TimeMs) {}

    /// Learns that a request ended.
    fn finished(&mut self, finished: &Finished, now: TimeMs);

    /// Removes a request that waits; returns whether it waited.
    fn withdraw(&mut self, id: u64) -> bool;

    /// Returns the expected wait of a new request of a priority.
    fn expected_wait_ms(&self, priority: Priority, now: TimeMs) -> DurationMs;

    /// Returns the load.
    fn load(&self) -> Load;
}

//! Frames that answer a [`RunRequest`](crate::RunRequest).

use dw_base::DurationMs;
use dw_base::RequestId;
use dw_base::UpstreamId;
use serde::Deserialize;
use serde::Serialize;

use crate::status::Status;

/// One frame of an answer.
///
/// A complete answer is one `Start`, chunks numbered from 0 and one `End`; or one `Answer`.
/// `Refused` and `Failed` are the last frame of any other sequence.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Frame {
    /// The upstream has computed the prompt.
    Start(StreamStart),
    /// Generated text.
    Chunk {
        /// Number of the chunk, from 0.
        seq: u64,
        /// Text, one or more tokens.
        text: String,
        /// Tokens that `text` holds.
        tokens: u32,
    },
    /// End of a complete stream.
    End(StreamEnd),
    /// Whole answer of a plain service.
    Answer(Answer),
    /// The request was certainly not run.
    Refused(Refusal),
    /// The request has failed after it was sent to the upstream.
    Failed(Failure),
}

/// First frame of a stream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StreamStart {
    /// Request that is answered.
    pub request_id: RequestId,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Prompt tokens that the engine found in its cache.
    pub cached_tokens: u64,
    /// Prompt tokens that were imported from the KV store for this request.
    pub imported_tokens: u64,
    /// Time that the request spent in the agent's queue.
    pub queued_ms: DurationMs,
    /// State of the agent.
    pub status: Status,
}

/// Last frame of a complete stream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StreamEnd {
    /// Request that is answered.
    pub request_id: RequestId,
    /// Chunks sent in all.
    pub chunks: u64,
    /// Tokens generated in all.
    pub tokens: u64,
    /// Why generation ended: `stop` or `length`.
    pub finish_reason: String,
    /// State of the agent.
    pub status: Status,
}

/// Whole answer of a plain service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Answer {
    /// Request that is answered.
    pub request_id: RequestId,
    /// HTTP status for the caller.
    pub http_status: u16,
    /// JSON body for the caller.
    pub body: Vec<u8>,
    /// Whether the answer comes from the outcome record of an earlier request with the same key.
    pub replayed: bool,
    /// State of the agent.
    pub status: Status,
}

/// Why a request was not run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The queue is full and the request is not worth more than what waits.
    QueueFull,
    /// The deadline cannot be met.
    DeadlineUnmeetable,
    /// Another upstream is a better place.
    BetterHome,
    /// The agent is leaving or its upstream is being drained.
    Leaving,
    /// The upstream is not ready, for example because it loads weights.
    NotReady,
    /// The agent does not serve this upstream, model or service.
    WrongUpstream,
    /// The table service cannot be reached, so that a call that runs at most once cannot start.
    TableUnavailable,
    /// An earlier request with the same key is running.
    InProgress,
    /// An earlier request with the same key may have run; its outcome is unknown.
    OutcomeUnknown,
    /// An earlier request with the same key had another body.
    KeyReused,
    /// The agent cannot confirm that its configuration is current.
    Isolated,
    /// The request could not be decoded or has another protocol version.
    BadRequest,
}

/// The request was certainly not run by this attempt.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Refusal {
    /// Request that is refused.
    pub request_id: RequestId,
    /// Why.
    pub reason: RefusalReason,
    /// When to come back.
    pub retry_after_ms: Option<DurationMs>,
    /// A better upstream, with [`RefusalReason::BetterHome`].
    pub better: Option<UpstreamId>,
    /// State of the agent, absent if the request could not be decoded.
    pub status: Option<Status>,
}

/// How a request failed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FailureKind {
    /// The upstream crashed or the connection to it broke.
    UpstreamLost,
    /// The upstream answered with an error.
    UpstreamError,
    /// The deadline passed while the request was running.
    DeadlineExceeded,
    /// The request was cancelled.
    Cancelled,
    /// The chunks to resume from are no longer kept.
    ResumeUnavailable,
}

/// The request failed after it was sent to the upstream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Failure {
    /// Request that failed.
    pub request_id: RequestId,
    /// How it failed.
    pub kind: FailureKind,
    /// Whether the upstream may have run it, wholly or in part.
    pub may_have_run: bool,
    /// What happened, for logs and error messages.
    pub message: String,
    /// State of the agent.
    pub status: Status,
}

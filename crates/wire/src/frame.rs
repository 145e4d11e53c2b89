//! Frames that answer a [`RunRequest`](crate::RunRequest).

use dw_base::DurationMs;
use dw_base::RequestId;
use dw_base::UpstreamId;
use serde::Deserialize;
use serde::Serialize;

use crate::status::Status;

/// One frame of an answer.
///
/// A complete answer is either one `Start`, chunks numbered from 0 and one `End`, or one `Answer`.
/// Any other sequence ends with `Refused` or `Failed`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Frame {
    /// The upstream has computed the prompt.
    Start(StreamStart),
    /// A chunk of generated text.
    Chunk {
        /// Number of the chunk, from 0.
        seq: u64,
        /// Text, one or more tokens.
        text: String,
        /// Number of tokens in `text`.
        tokens: u32,
    },
    /// End of a complete stream.
    End(StreamEnd),
    /// Complete answer of a plain service.
    Answer(Answer),
    /// The request was refused and has not run.
    Refused(Refusal),
    /// The request failed after it was sent to the upstream.
    Failed(Failure),
}

/// First frame of a stream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StreamStart {
    /// Request that is answered.
    pub request_id: RequestId,
    /// Number of tokens in the prompt.
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
    /// Total number of chunks sent.
    pub chunks: u64,
    /// Total number of tokens generated.
    pub tokens: u64,
    /// Reason for the end of generation: `stop` or `length`.
    pub finish_reason: String,
    /// State of the agent.
    pub status: Status,
}

/// Complete answer of a plain service.
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

/// Reason for refusing a request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The queue is full and the request is not worth more than any queued one.
    QueueFull,
    /// The deadline cannot be met.
    DeadlineUnmeetable,
    /// Another upstream can serve the request at a lower cost.
    BetterHome,
    /// The agent is shutting down or its upstream is being drained.
    Leaving,
    /// The upstream is not ready, for example because it loads weights.
    NotReady,
    /// The agent does not serve this upstream, model or service.
    WrongUpstream,
    /// The table service cannot be reached, so an at-most-once call cannot be started safely.
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

/// Refusal of a request; this attempt did not run it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Refusal {
    /// Request that is refused.
    pub request_id: RequestId,
    /// Reason for the refusal.
    pub reason: RefusalReason,
    /// Delay after which to retry.
    pub retry_after_ms: Option<DurationMs>,
    /// A better upstream, with [`RefusalReason::BetterHome`].
    pub better: Option<UpstreamId>,
    /// State of the agent, absent if the request could not be decoded.
    pub status: Option<Status>,
}

/// Kind of failure of a request.
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
    /// The chunks to resume from have been discarded.
    ResumeUnavailable,
}

/// The request failed after it was sent to the upstream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Failure {
    /// Request that failed.
    pub request_id: RequestId,
    /// Kind of failure.
    pub kind: FailureKind,
    /// Whether the upstream may have run the request, in whole or in part.
    pub may_have_run: bool,
    /// Description for logs and error messages.
    pub message: String,
    /// State of the agent.
    pub status: Status,
}

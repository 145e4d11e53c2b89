//! State and progress of one generation.

use dw_api::engine::GenerateRequest;
use dw_base::Chain;
use tokio::sync::watch;

use crate::engine::audit::BlockOrigin;

/// Why a generation ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum EndReason {
    /// All tokens were generated.
    Finished,
    /// It was cancelled and may be resumed.
    Cancelled,
    /// The engine crashed.
    Crashed,
}

/// Contents of the start event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct StartInfo {
    pub(crate) cached_tokens: u64,
    pub(crate) prompt_tokens: u64,
    pub(crate) incarnation: u64,
    pub(crate) weights_version: u64,
}

/// Progress visible to readers; token texts are derived from the request id and the token index.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct Progress {
    pub(crate) start_info: Option<StartInfo>,
    pub(crate) tokens: u64,
    pub(crate) end_reason: Option<EndReason>,
}

/// Execution phase of a generation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Phase {
    Queued,
    Prefill { remaining_tokens: f64 },
    Decode,
    Ended { at_ms: f64 },
}

#[derive(Debug)]
pub(crate) struct Generation {
    pub(crate) request: GenerateRequest,
    pub(crate) chain: Chain,
    pub(crate) origin: BlockOrigin,
    /// Position in the order of arrival; a resumed generation gets a new one.
    pub(crate) arrival: u64,
    pub(crate) phase: Phase,
    pub(crate) cached_tokens: u64,
    /// Number of leading blocks of the chain that were found in the cache or stored by this
    /// generation.
    pub(crate) stored_blocks: usize,
    pub(crate) progress: watch::Sender<Progress>,
}

impl Generation {
    pub(crate) fn tokens(&self) -> u64 {
        self.progress.borrow().tokens
    }

    pub(crate) fn is_running(&self) -> bool {
        matches!(self.phase, Phase::Prefill { .. } | Phase::Decode)
    }

    pub(crate) fn end(&mut self, reason: EndReason, now_ms: f64) {
        self.phase = Phase::Ended { at_ms: now_ms };
        self.progress
            .send_modify(|progress| progress.end_reason = Some(reason));
    }
}

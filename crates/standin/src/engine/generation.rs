//! One generation and its progress.

use dw_api::engine::GenerateRequest;
use dw_base::Chain;
use tokio::sync::watch;

use crate::engine::audit::Stamp;

/// How a generation ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Ended {
    /// All tokens were generated.
    Finished,
    /// It was cancelled and may be resumed.
    Cancelled,
    /// The engine crashed.
    Crashed,
}

/// What the first event tells.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Started {
    pub(crate) cached_tokens: u64,
    pub(crate) prompt_tokens: u64,
    pub(crate) incarnation: u64,
    pub(crate) weights_version: u64,
}

/// What readers of a generation see; token texts follow from the request id and the index.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct Progress {
    pub(crate) started: Option<Started>,
    pub(crate) tokens: u64,
    pub(crate) ended: Option<Ended>,
}

/// Where a generation is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Phase {
    Queued,
    Prefill { left_tokens: f64 },
    Decode,
    Ended { at_ms: f64 },
}

#[derive(Debug)]
pub(crate) struct Generation {
    pub(crate) request: GenerateRequest,
    pub(crate) chain: Chain,
    pub(crate) stamp: Stamp,
    /// Position among all arrivals.
    pub(crate) number: u64,
    pub(crate) phase: Phase,
    pub(crate) cached_tokens: u64,
    /// Blocks of the chain that were found or stored.
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

    pub(crate) fn end(&mut self, ended: Ended, now_ms: f64) {
        self.phase = Phase::Ended { at_ms: now_ms };
        self.progress
            .send_modify(|progress| progress.ended = Some(ended));
    }
}

//! Decision about the admission of a request, with what it rests on.

use dw_base::DurationMs;
use dw_wire::AdmissionResult;

/// Shortest wait that a denial names.
const MIN_WAIT_MS: f64 = 20.0;

/// Waits that a request would meet at an engine, in milliseconds, as its ledger knows them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Waits {
    /// Until earlier prompts that are at least as urgent are computed.
    pub queue_ms: f64,
    /// Until a slot is free.
    pub slot_ms: f64,
    /// Until there is memory for the request.
    pub memory_ms: f64,
}

impl Waits {
    /// Returns the wait for the first token: earlier prompts are computed while slots become free.
    pub(crate) fn first_token_wait_ms(self) -> f64 {
        self.queue_ms.max(self.slot_ms)
    }

    /// Returns what the longer one of the waits for the queue and for a slot is for.
    pub(crate) fn longer_cause(self) -> Cause {
        match self.slot_ms > self.queue_ms {
            true => Cause::Slots,
            false => Cause::Queue,
        }
    }
}

/// What an engine lacks for a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cause {
    /// Memory for the prompt and the answer.
    Memory,
    /// Time to compute the prompt after earlier ones.
    Queue,
    /// Room in the share of the request's organisation.
    Share,
    /// A slot.
    Slots,
}

impl Cause {
    /// Returns the name in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Cause::Memory => "denied_memory",
            Cause::Queue => "denied_queue",
            Cause::Share => "over_share",
            Cause::Slots => "denied_slots",
        }
    }
}

/// Decision of a ledger.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Decision {
    /// What the engine lacks, and after which wait it is expected to have it; nothing if the request is admitted.
    pub denial: Option<(Cause, DurationMs)>,
    /// Waits that the request would meet.
    pub waits: Waits,
}

impl Decision {
    /// Returns what the router is told.
    pub fn result(self) -> AdmissionResult {
        match self.denial {
            None => AdmissionResult::Granted,
            Some((Cause::Share, wait_ms)) => AdmissionResult::OverShare(wait_ms),
            Some((_, wait_ms)) => AdmissionResult::Denied(wait_ms),
        }
    }

    /// Returns the name in logs and metrics.
    pub fn label(self) -> &'static str {
        self.denial
            .map_or(self.result().label(), |(cause, _)| cause.label())
    }

    pub(crate) fn granted(waits: Waits) -> Self {
        Decision {
            denial: None,
            waits,
        }
    }

    pub(crate) fn denied(cause: Cause, waits: Waits, wait_ms: f64) -> Self {
        let wait_ms = DurationMs(wait_ms.max(MIN_WAIT_MS) as u64);
        Decision {
            denial: Some((cause, wait_ms)),
            waits,
        }
    }
}

//! Choice of the admission policy.

use dw_admit::Fair;
use dw_admit::FairSettings;
use dw_admit::Fifo;
use dw_admit::Gate;
use dw_config::Upstream;
use dw_config::UpstreamKind;
use serde::Deserialize;

use crate::settings::Settings;

/// Admission policy of an agent.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum GateKind {
    /// Priorities, fairness between organisations, early refusals and pre-emption.
    #[default]
    Fair,
    /// Order of arrival, as a baseline.
    Fifo,
}

/// Creates the gate that the settings name, for an upstream as it is declared.
pub fn gate_for(settings: &Settings, declared: &Upstream) -> Box<dyn Gate> {
    match settings.gate {
        GateKind::Fair => Box::new(Fair::new(
            FairSettings::builder()
                .max_running(declared.max_batch)
                .max_queued(settings.max_queued)
                .prefill_tokens_per_s(declared.prefill_tokens_per_s)
                .decode_tokens_per_s(declared.decode_tokens_per_s)
                .preempts(declared.kind == UpstreamKind::Engine)
                .build(),
        )),
        GateKind::Fifo => Box::new(Fifo::new(
            declared.max_batch,
            settings.max_queued,
            declared.prefill_tokens_per_s,
            declared.decode_tokens_per_s,
        )),
    }
}

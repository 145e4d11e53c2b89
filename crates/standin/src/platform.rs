//! Faults, limits and counters that the stand-ins of platform services share.

use std::future;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use dw_store::NodeBudget;
use dw_store::StoreError;
use http::StatusCode;
use serde::Deserialize;
use serde::Serialize;

use crate::server::error_reply;
use crate::server::Cut;
use crate::server::Reply;

/// How an outage shows.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Outage {
    /// No outage.
    #[default]
    None,
    /// Each call is refused with 503 and not carried out.
    Refuse,
    /// Each connection is closed without an answer, and the call is not carried out.
    Cut,
    /// No call is answered or carried out.
    Hang,
}

/// Fault switches of the table service, object store, VM list and weight store.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Outage.
    pub outage: Outage,
    /// Time by which each call is delayed.
    pub delay_ms: u64,
    /// Number of the next writes that take effect and whose answers are then lost.
    pub lose_answers: u64,
}

/// Calls that a stand-in has received.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Counters {
    /// Reads carried out.
    pub reads: u64,
    /// Writes carried out, including those refused by their conditions.
    pub writes: u64,
    /// Calls refused by the rate limit.
    pub rate_limited: u64,
    /// Calls that met an outage.
    pub outage: u64,
    /// Writes whose answers were lost.
    pub lost_answers: u64,
}

/// Limits of a platform service.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformLimits {
    /// Most reads per second.
    pub reads_per_s: f64,
    /// Most writes per second.
    pub writes_per_s: f64,
}

impl Default for PlatformLimits {
    /// Returns the rates of section 1 of the design page.
    fn default() -> Self {
        PlatformLimits {
            reads_per_s: 2_000.0,
            writes_per_s: 400.0,
        }
    }
}

impl PlatformLimits {
    /// Returns rates that no test reaches.
    pub fn unlimited() -> Self {
        PlatformLimits {
            reads_per_s: 1e12,
            writes_per_s: 1e12,
        }
    }
}

/// Gate that each call of a platform service passes before it is carried out.
#[derive(Debug)]
pub(crate) struct Gate {
    service: &'static str,
    budget: NodeBudget,
    state: Mutex<GateState>,
}

#[derive(Debug, Default)]
struct GateState {
    faults: PlatformFaults,
    counters: Counters,
}

impl Gate {
    pub(crate) fn new(service: &'static str, limits: PlatformLimits) -> Self {
        Gate {
            service,
            budget: NodeBudget::new(limits.reads_per_s, limits.writes_per_s),
            state: Mutex::default(),
        }
    }

    pub(crate) fn set_faults(&self, faults: PlatformFaults) {
        self.state().faults = faults;
    }

    pub(crate) fn counters(&self) -> Counters {
        self.state().counters
    }

    /// Lets a read pass or returns its fault.
    pub(crate) async fn read(&self) -> Result<(), StoreError> {
        self.enter(self.budget.take_read(), false).await?;
        self.state().counters.reads += 1;
        Ok(())
    }

    /// Lets a write pass or returns its fault.
    pub(crate) async fn write(&self) -> Result<(), StoreError> {
        self.enter(self.budget.take_write(), true).await?;
        self.state().counters.writes += 1;
        Ok(())
    }

    /// Decides after a write took effect whether its answer is lost.
    pub(crate) fn after_write(&self) -> Result<(), StoreError> {
        let mut state = self.state();
        if state.faults.lose_answers == 0 {
            return Ok(());
        }
        state.faults.lose_answers -= 1;
        state.counters.lost_answers += 1;
        Err(self.unknown("answer lost"))
    }

    async fn enter(&self, within_rate: bool, write: bool) -> Result<(), StoreError> {
        let delay_ms = self.state().faults.delay_ms;
        if delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
        let outage = self.count_outage();
        match outage {
            Outage::None if within_rate => Ok(()),
            Outage::None => {
                self.state().counters.rate_limited += 1;
                Err(self.unavailable("rate limit of the service"))
            }
            Outage::Refuse => Err(self.unavailable("outage")),
            Outage::Cut if write => Err(self.unknown("connection closed")),
            Outage::Cut => Err(self.unavailable("connection closed")),
            Outage::Hang => future::pending().await,
        }
    }

    fn count_outage(&self) -> Outage {
        let mut state = self.state();
        let outage = state.faults.outage;
        state.counters.outage += u64::from(outage != Outage::None);
        outage
    }

    fn unavailable(&self, detail: &str) -> StoreError {
        StoreError::Unavailable {
            service: self.service,
            detail: detail.to_owned(),
        }
    }

    fn unknown(&self, detail: &str) -> StoreError {
        StoreError::UnknownOutcome {
            service: self.service,
            detail: detail.to_owned(),
        }
    }

    fn state(&self) -> MutexGuard<'_, GateState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Turns an error of the in-memory service into its form on the network.
pub(crate) fn store_error_reply(error: &StoreError) -> Reply {
    match error {
        StoreError::UnknownOutcome { .. } => Err(Cut),
        StoreError::Unavailable { .. } => error_reply(
            StatusCode::SERVICE_UNAVAILABLE,
            "unavailable",
            &error.to_string(),
        ),
        StoreError::RateLimited { .. } => error_reply(
            StatusCode::TOO_MANY_REQUESTS,
            "rate_limited",
            &error.to_string(),
        ),
        StoreError::Rejected { .. } => {
            error_reply(StatusCode::BAD_REQUEST, "bad_request", &error.to_string())
        }
    }
}

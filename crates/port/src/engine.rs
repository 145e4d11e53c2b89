//! Calls to a model engine beside its requests.

use async_trait::async_trait;
use dw_base::DurationMs;
use dw_base::FenceNumber;
use dw_base::ModelId;
use dw_base::Tokens;
use dw_base::WeightsVersion;
use thiserror::Error;

/// What an engine says of itself.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Report {
    /// Models with their weights.
    pub models: Vec<(ModelId, WeightsVersion)>,
    /// Whether an order is in progress.
    pub busy: bool,
    /// Orders accepted since the engine started.
    pub orders: u64,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that run.
    pub running: u32,
    /// Tokens in the KV memory that cannot yield.
    pub kv_used: Tokens,
    /// Tokens that the KV memory holds, if the engine tells them.
    pub kv_total: Option<Tokens>,
    /// Start of the engine in milliseconds since the Unix epoch; differs after a restart.
    pub started_ms: u64,
}

/// An order to load weights once running requests are complete.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Order {
    /// Model.
    pub model: ModelId,
    /// Weights.
    pub weights: WeightsVersion,
    /// Sender; one process for each engine.
    pub holder: String,
    /// Fencing number.
    pub fence: FenceNumber,
    /// Orders that the engine must have accepted before; a delayed order fails because of it.
    pub expected_orders: u64,
}

/// Answer to an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderResult {
    /// It is being carried out.
    Accepted,
    /// It holds already.
    Holds,
    /// Another order is in progress, or other orders were accepted meanwhile.
    Conflict,
    /// The engine has seen a greater fencing number.
    Fenced,
    /// The engine cannot carry it out.
    Rejected(u16),
}

/// An engine did not answer a call.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("the engine did not answer: {0}")]
pub struct EngineError(pub String);

/// One model engine.
#[async_trait]
pub trait Engine: Send {
    /// Reads the engine's state.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no readable answer within `timeout_ms`.
    async fn report(&mut self, timeout_ms: DurationMs) -> Result<Report, EngineError>;

    /// Sends an order.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no answer within `timeout_ms`; the order may be carried out
    /// all the same.
    async fn order(
        &mut self,
        order: &Order,
        timeout_ms: DurationMs,
    ) -> Result<OrderResult, EngineError>;
}

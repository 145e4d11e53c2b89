//! Datagrams between routers and the sidecars of model engines.
//!
//! Each carries the whole state of its sender, so a lost one is repaired by the next.

use std::net::SocketAddr;

use dw_base::DurationMs;
use dw_base::FenceNumber;
use dw_base::MeasuredSpeeds;
use dw_base::ModelId;
use dw_base::NodeId;
use dw_base::Tokens;
use dw_base::WeightsVersion;
use serde::Deserialize;
use serde::Serialize;

use crate::cached_parts::CachedParts;

/// Longest datagram.
pub const MAX_DATAGRAM_BYTES: usize = 8_192;

/// Whether an engine takes requests.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Phase {
    /// It takes requests.
    Open,
    /// It takes requests and is to load weights soon; long answers would delay that.
    LoadsSoon,
    /// It takes no requests and finishes those that run, before it loads weights.
    Closing,
    /// It loads weights.
    Loading,
    /// It does not answer its sidecar.
    Unreachable,
}

/// Weights that an operator has named, as a router heard of it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WeightsNews {
    /// Model.
    pub model: ModelId,
    /// Weights.
    pub weights: WeightsVersion,
    /// Fencing number of orders for them.
    pub fence: FenceNumber,
    /// Time since they were named, as far as the sender knows.
    pub age_ms: DurationMs,
    /// Some earlier weights with the time since their naming.
    pub earlier: Vec<(WeightsVersion, DurationMs)>,
}

/// State of a router, as one sidecar receives it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RouterState {
    /// Router.
    pub router: NodeId,
    /// Start of the router's process; a later one has a greater number.
    pub started_ms: u64,
    /// Grows with each datagram of the process.
    pub seq: u64,
    /// Prompt tokens that it has sent to the engine and that have no first token yet.
    pub outstanding_tokens: Tokens,
    /// What it has measured of the engine's speed.
    pub speeds: MeasuredSpeeds,
    /// Named weights.
    pub weights: Vec<WeightsNews>,
    /// Addresses of the engines of the same service.
    pub engines: Vec<SocketAddr>,
}

/// State of an engine, as its sidecar tells routers and the other sidecars.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineState {
    /// Address of the engine.
    pub engine: SocketAddr,
    /// Start of the sidecar's process; a later one has a greater number.
    pub started_ms: u64,
    /// Grows with each datagram of the process.
    pub seq: u64,
    /// Whether the engine takes requests.
    pub phase: Phase,
    /// Start of the engine.
    pub born_ms: u64,
    /// Models with their weights.
    pub models: Vec<(ModelId, WeightsVersion)>,
    /// Requests that wait at the engine.
    pub waiting: u32,
    /// Requests that run at the engine.
    pub running: u32,
    /// Outstanding prompt tokens of all routers.
    pub outstanding_tokens: Tokens,
    /// Part of them that belongs to the receiver, as the sidecar knows it.
    pub own_tokens: Tokens,
    /// What all routers have measured of the engine's speed.
    pub speeds: MeasuredSpeeds,
    /// Routers that the sidecar hears.
    pub routers: u32,
    /// Parts of prompts that the engine has cached; absent if they were told a moment ago, and in
    /// a datagram to a sidecar.
    pub cached: Option<CachedParts>,
    /// Weights that the sidecar has heard of.
    pub weights: Vec<WeightsNews>,
}

/// A datagram.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Datagram {
    /// From a router.
    Router(RouterState),
    /// From a sidecar.
    Engine(EngineState),
}

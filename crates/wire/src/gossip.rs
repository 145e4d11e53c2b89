//! Datagrams between routers and the sidecars of model engines.
//!
//! In each data centre a few sidecars are relays. Routers and sidecars tell the relays of their own
//! data centre; a relay tells those of the others and passes on what it hears from them. A lost
//! datagram is repaired by a later one, since everything is told again after a while.
//!
//! | datagram | from | to |
//! | --- | --- | --- |
//! | [`RouterState`] | router | relays of its data centre |
//! | [`EngineState`] | sidecar | relays of its data centre |
//! | [`CachedState`] | sidecar, relay | relays, routers |
//! | [`DataCentreState`] | relay | routers and sidecars of its data centre, relays of the others |
//! | [`Roster`] | router, relay | relays, sidecars |
//! | [`KvUpdate`] | relay | routers of its data centre |

use std::net::SocketAddr;

use dw_base::ConfigVersion;
use dw_base::DataCentreId;
use dw_base::DurationMs;
use dw_base::FenceNumber;
use dw_base::MeasuredSpeeds;
use dw_base::ModelId;
use dw_base::NodeId;
use dw_base::PartKey;
use dw_base::ServiceId;
use dw_base::TimeMs;
use dw_base::Tokens;
use dw_base::WeightsVersion;
use serde::Deserialize;
use serde::Serialize;

use crate::cached_parts::CachedParts;

/// Longest datagram.
pub const MAX_DATAGRAM_BYTES: usize = 16_384;

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
pub struct WeightsUpdate {
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

/// How far routers have read the platform's tables.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TableProgress {
    /// Newest configuration.
    pub config_version: ConfigVersion,
    /// Position of the last change of registrations that concerns all routers.
    pub registrations: u64,
    /// Time since the tables last answered.
    pub age_ms: DurationMs,
}

impl TableProgress {
    /// Returns the configuration and the position of the registrations.
    pub fn positions(&self) -> (ConfigVersion, u64) {
        (self.config_version, self.registrations)
    }
}

/// State of a router.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RouterState {
    /// Router.
    pub router: NodeId,
    /// When it was sent, by the clock of the router; later ones replace earlier ones.
    pub stamp: TimeMs,
    /// Whether the receiver is to tell the router of the fleet.
    pub subscribed: bool,
    /// Engines with prompt tokens that the router has sent and that have no first token yet.
    pub outstanding: Vec<(SocketAddr, Tokens)>,
    /// What it has measured of the speed of some engines.
    pub speeds: Vec<(SocketAddr, MeasuredSpeeds)>,
    /// Named weights.
    pub weights: Vec<WeightsUpdate>,
    /// What it has read; absent if it reads only what others tell it to read.
    pub tables: Option<TableProgress>,
}

/// State of an engine, as its sidecar tells it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineState {
    /// Address of the engine.
    pub engine: SocketAddr,
    /// When it was told, by the clock of the sidecar; later ones replace earlier ones.
    pub stamp: TimeMs,
    /// Whether the engine takes requests.
    pub phase: Phase,
    /// Start of the engine.
    pub started_ms: u64,
    /// Models with their weights.
    pub models: Vec<(ModelId, WeightsVersion)>,
    /// Requests that wait at the engine.
    pub waiting: u32,
    /// Requests that run at the engine.
    pub running: u32,
}

/// Parts of prompts that an engine has cached.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CachedState {
    /// Address of the engine.
    pub engine: SocketAddr,
    /// When it was told, by the clock of the sidecar; later ones replace earlier ones.
    pub stamp: TimeMs,
    /// The parts.
    pub parts: CachedParts,
}

/// What the routers of one data centre do, as a relay there adds it up.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RouterLoads {
    /// Routers that the relay hears.
    pub routers: u32,
    /// Engines with the outstanding prompt tokens of these routers.
    pub outstanding: Vec<(SocketAddr, Tokens)>,
    /// What these routers have measured of the speed of some engines.
    pub speeds: Vec<(SocketAddr, MeasuredSpeeds)>,
    /// Stamps of the last states that are in the sums, by the hash of the router's name; told
    /// within the data centre only.
    pub heard: Vec<(u32, TimeMs)>,
}

/// State of a data centre, as one of its relays tells it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DataCentreState {
    /// Data centre.
    pub data_centre: DataCentreId,
    /// When it was told, by the clock of the relay.
    pub stamp: TimeMs,
    /// Engines whose state has changed, or all.
    pub engines: Vec<EngineState>,
    /// What routers do; absent if only engines have changed.
    pub loads: Option<RouterLoads>,
    /// Named weights that the relay has heard of.
    pub weights: Vec<WeightsUpdate>,
    /// What the routers of the data centre have read.
    pub tables: Option<TableProgress>,
}

/// Changes of what a store of kept KV cache holds, between two positions.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KvSpan {
    /// Position before the changes.
    pub since: u64,
    /// Position after them.
    pub next: u64,
    /// Parts with the tokens that are kept now.
    pub changes: Vec<(PartKey, Tokens)>,
}

/// What a relay has read of a store of kept KV cache.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KvUpdate {
    /// Address of the store.
    pub store: SocketAddr,
    /// Life of the store.
    pub epoch: u64,
    /// Spans that follow one another; the first ones are repeated, as a datagram may be lost. None if
    /// the store does not answer.
    pub spans: Vec<KvSpan>,
}

/// One registered model engine.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RosterEntry {
    /// Address.
    pub engine: SocketAddr,
    /// Data centre, as a position in [`Roster::data_centres`].
    pub data_centre: u8,
    /// Service, as a position in [`Roster::services`].
    pub service: u8,
}

/// All registered model engines.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Roster {
    /// Position of the registrations in the history of the platform's table; it only grows.
    pub version: u64,
    /// Data centres with engines.
    pub data_centres: Vec<DataCentreId>,
    /// Services with engines.
    pub services: Vec<ServiceId>,
    /// Engines in the order of their addresses.
    pub engines: Vec<RosterEntry>,
}

/// A datagram.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Datagram {
    /// From a router.
    Router(RouterState),
    /// From a sidecar.
    Engine(EngineState),
    /// From a sidecar or a relay.
    Cached(Vec<CachedState>),
    /// From a relay.
    DataCentre(DataCentreState),
    /// From a router or a relay.
    Roster(Roster),
    /// From a relay.
    Kv(KvUpdate),
}

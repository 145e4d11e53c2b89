//! Datagrams between routers and the sidecars of model engines.
//!
//! In each data centre a few sidecars act as relays. Routers and sidecars announce their state to the
//! relays of their own data centre; a relay sends it to the relays of other data centres and forwards
//! what it receives from them. All state is announced periodically, so a later datagram makes up for
//! a lost one.
//!
//! | datagram | from | to |
//! | --- | --- | --- |
//! | [`RouterState`] | router | relays of its data centre |
//! | [`EngineState`] | sidecar | relays of its data centre |
//! | [`CachedState`] | sidecar, relay | relays, routers |
//! | [`DataCentreState`] | relay | routers and sidecars of its data centre, relays of the others |
//! | [`Roster`] | router, relay | relays, sidecars |
//! | [`KvUpdate`] | relay | routers of its data centre |
//! | [`SuspectReport`] | router, relay | relays, routers |
//! | [`LimitReport`] | router, relay | relays, routers |
//! | [`PermitRequest`] | router | sidecar that issues the permits of an upstream |
//! | [`PermitAnswer`] | sidecar | router |
//! | [`QuotaQuestion`], [`QuotaReturn`] | router | sidecar that counts for an organisation |
//! | [`QuotaAnswer`] | sidecar | router |
//! | [`QuotaHandover`] | sidecar that ceases to count | sidecar that begins |
//! | [`AdmissionQuestion`], [`AdmissionReturn`] | router | sidecar of an engine |
//! | [`AdmissionAnswer`] | sidecar | router |
//! | [`OriginRecord`], [`OriginQuery`] | router | sidecars that keep the origin of a stream |
//! | [`OriginAnswer`] | sidecar | router |

use std::net::SocketAddr;

use dw_base::ConfigVersion;
use dw_base::DataCentreId;
use dw_base::DurationMs;
use dw_base::FenceNumber;
use dw_base::MeasuredSpeeds;
use dw_base::ModelId;
use dw_base::ModelPart;
use dw_base::NodeId;
use dw_base::PartKey;
use dw_base::PrefixKey;
use dw_base::RequestDigest;
use dw_base::ServiceId;
use dw_base::TimeMs;
use dw_base::Tokens;
use dw_base::UpstreamId;
use dw_base::WeightsVersion;
use serde::Deserialize;
use serde::Serialize;

use crate::admission::AdmissionAnswer;
use crate::admission::AdmissionQuestion;
use crate::admission::AdmissionReturn;
use crate::cached_parts::CachedParts;
use crate::origins::OriginAnswer;
use crate::origins::OriginQuery;
use crate::origins::OriginRecord;
use crate::permits::LimitReport;
use crate::permits::PermitAnswer;
use crate::permits::PermitRequest;
use crate::quota::QuotaAnswer;
use crate::quota::QuotaHandover;
use crate::quota::QuotaQuestion;
use crate::quota::QuotaReturn;

/// Maximum length of a datagram.
pub const MAX_DATAGRAM_BYTES: usize = 16_384;

/// Whether an engine takes requests.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Phase {
    /// The engine takes requests.
    Open,
    /// The engine takes requests and will load weights soon; long answers would delay the load.
    LoadsSoon,
    /// The engine takes no new requests and finishes the running ones before it loads weights.
    Closing,
    /// The engine is loading weights.
    Loading,
    /// The engine does not answer its sidecar.
    Unreachable,
}

/// Weights that an operator has published, as known to the sender.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WeightsUpdate {
    /// Model that the weights belong to.
    pub model: ModelId,
    /// Newest published version.
    pub weights: WeightsVersion,
    /// Position of its publication, from which the fencing number of orders is selected.
    pub fence: FenceNumber,
    /// Time since publication, as far as the sender knows.
    pub age_ms: DurationMs,
    /// Some earlier versions, each with the time since its publication.
    pub earlier: Vec<(WeightsVersion, DurationMs)>,
}

/// Positions up to which routers have read the platform's tables.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TableProgress {
    /// Newest configuration version read.
    pub config_version: ConfigVersion,
    /// Position of the last registration change that affects all routers.
    pub registrations: u64,
    /// Time since the sender last followed both tables: a change would have reached it at once.
    pub age_ms: DurationMs,
}

impl TableProgress {
    /// Returns the configuration version and the position in the registrations.
    pub fn positions(&self) -> (ConfigVersion, u64) {
        (self.config_version, self.registrations)
    }
}

/// State of a router.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RouterState {
    /// Router.
    pub router: NodeId,
    /// Time of sending by the router's clock; a later state replaces an earlier one.
    pub stamp: TimeMs,
    /// Whether the router asks the receiver to send it announcements.
    pub subscribed: bool,
    /// Prompt tokens sent to each engine in requests that have no first token yet.
    pub outstanding: Vec<(SocketAddr, Tokens)>,
    /// Speeds that the router has measured at some engines.
    pub speeds: Vec<(SocketAddr, MeasuredSpeeds)>,
    /// Published weights.
    pub weights: Vec<WeightsUpdate>,
    /// Table positions; absent if the router reads the tables only when announcements prompt it to.
    pub tables: Option<TableProgress>,
}

/// State of an engine, as announced by its sidecar.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineState {
    /// Address of the engine.
    pub engine: SocketAddr,
    /// Time of sending by the sidecar's clock; a later state replaces an earlier one.
    pub stamp: TimeMs,
    /// Whether the engine takes requests.
    pub phase: Phase,
    /// Start time of the engine.
    pub started_ms: u64,
    /// Served models with their loaded weights.
    pub models: Vec<(ModelId, WeightsVersion)>,
    /// Number of requests waiting at the engine.
    pub waiting: u32,
    /// Number of requests running at the engine.
    pub running: u32,
}

/// Prompt parts that an engine has cached.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CachedState {
    /// Address of the engine.
    pub engine: SocketAddr,
    /// Time of sending by the sidecar's clock; a later state replaces an earlier one.
    pub stamp: TimeMs,
    /// Hints about the cached parts.
    pub parts: CachedParts,
}

/// Loads of the routers of one data centre, summed by one of its relays.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RouterLoads {
    /// Number of routers from which the relay receives announcements.
    pub routers: u32,
    /// Outstanding prompt tokens of these routers at each engine.
    pub outstanding: Vec<(SocketAddr, Tokens)>,
    /// Speeds that these routers have measured at some engines.
    pub speeds: Vec<(SocketAddr, MeasuredSpeeds)>,
    /// Stamps of the router states included in the sums, by the hash of the router's name; sent
    /// only within the data centre.
    pub heard: Vec<(u32, TimeMs)>,
}

/// State of a data centre, as announced by one of its relays.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DataCentreState {
    /// Data centre.
    pub data_centre: DataCentreId,
    /// Time of sending by the relay's clock.
    pub stamp: TimeMs,
    /// Either the engines whose state has changed or all engines.
    pub engines: Vec<EngineState>,
    /// Loads of the routers; absent if only engine states have changed.
    pub loads: Option<RouterLoads>,
    /// Published weights known to the relay.
    pub weights: Vec<WeightsUpdate>,
    /// Table positions of the routers of the data centre.
    pub tables: Option<TableProgress>,
}

/// Changes in the contents of a KV store between two positions.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KvSpan {
    /// Position before the changes.
    pub since: u64,
    /// Position after the changes.
    pub next: u64,
    /// Changed parts with the number of tokens stored now; zero if the part was removed.
    pub changes: Vec<(PartKey, Tokens)>,
}

/// Changes that a relay has read from a KV store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KvUpdate {
    /// Address of the store.
    pub store: SocketAddr,
    /// Epoch of the store; it changes when the store restarts.
    pub epoch: u64,
    /// Consecutive spans; the first ones repeat earlier datagrams, which may have been lost. Empty if
    /// the store does not answer.
    pub spans: Vec<KvSpan>,
}

/// One registered model engine.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RosterEntry {
    /// Address of the engine.
    pub engine: SocketAddr,
    /// Index of its data centre in [`Roster::data_centres`].
    pub data_centre: u8,
    /// Index of its service in [`Roster::services`].
    pub service: u8,
}

/// All registered model engines.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Roster {
    /// Position of the registrations in the platform's table; it never decreases.
    pub version: u64,
    /// Data centres with engines.
    pub data_centres: Vec<DataCentreId>,
    /// Services with engines.
    pub services: Vec<ServiceId>,
    /// Engines, sorted by address.
    pub engines: Vec<RosterEntry>,
}

/// Key of one start of an upstream: an upstream that starts again has another one.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct UpstreamStart(pub u64);

impl UpstreamStart {
    /// Returns the key of the start of an upstream at a time.
    pub fn new(upstream: &UpstreamId, started_ms: u64) -> Self {
        UpstreamStart(PrefixKey::root(upstream.as_str()).0 ^ started_ms)
    }
}

/// Evidence about a part of prompts, or a whole request, under which upstreams ended.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SuspectReport<K = ModelPart> {
    /// Part or request.
    pub key: K,
    /// Upstreams that ended since the last answer, with the time since then.
    pub ends: Vec<(UpstreamStart, DurationMs)>,
    /// Time since the last answer, if there was one lately.
    pub answered_age_ms: Option<DurationMs>,
}

/// A datagram between routers, sidecars and relays.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Datagram {
    /// State of a router, sent by the router.
    Router(RouterState),
    /// State of an engine, sent by its sidecar.
    Engine(EngineState),
    /// Cached parts of engines, sent by a sidecar or a relay.
    Cached(Vec<CachedState>),
    /// State of a data centre, sent by a relay.
    DataCentre(DataCentreState),
    /// Registered engines, sent by a router or a relay.
    Roster(Roster),
    /// Changes in a KV store, sent by a relay.
    Kv(KvUpdate),
    /// Prompt parts under which upstreams ended, sent by a router or a relay.
    Suspects(Vec<SuspectReport>),
    /// Request limits of upstreams, sent by a router or a relay.
    Limits(Vec<LimitReport>),
    /// Request of a router for a permit.
    PermitRequest(PermitRequest),
    /// Answer of a sidecar to a request for a permit.
    PermitAnswer(PermitAnswer),
    /// Whole requests under which upstreams ended, sent by a router or a relay.
    SuspectRequests(Vec<SuspectReport<RequestDigest>>),
    /// Origin of a stream, sent by a router to a sidecar.
    OriginRecord(OriginRecord),
    /// Question of a router for the origin of a stream.
    OriginQuery(OriginQuery),
    /// Answer of a sidecar to a question for the origin of a stream.
    OriginAnswer(OriginAnswer),
    /// Question of a router whether a request is within the quota of its organisation.
    QuotaQuestion(QuotaQuestion),
    /// Answer of a sidecar to such a question.
    QuotaAnswer(QuotaAnswer),
    /// What a router gives back of a quota.
    QuotaReturn(QuotaReturn),
    /// Question of a router whether a request is to be sent to an engine.
    AdmissionQuestion(AdmissionQuestion),
    /// Answer of a sidecar to such a question.
    AdmissionAnswer(AdmissionAnswer),
    /// Accounts of organisations, sent by a sidecar that ceases to count for them.
    QuotaHandover(Vec<QuotaHandover>),
    /// Admission whose request a router has not sent.
    AdmissionReturn(AdmissionReturn),
}

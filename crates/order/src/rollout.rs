//! Decision on when one engine of a fleet loads newly published weights.
//!
//! New weights may be published every two seconds under load. An engine accepts no requests while
//! it loads, more than a few concurrent loads slow each other down, and all engines must have the
//! new weights within a time limit. Each sidecar decides for its own engine, based on the reports
//! of its peers. If too few peers report, it falls back to a schedule by rank, which needs no
//! communication.

use std::net::SocketAddr;

use dw_base::rendezvous_score;
use dw_base::DurationMs;
use dw_base::WeightsVersion;

/// One engine may load for each group of this many engines.
const ENGINES_PER_CONCURRENT_LOAD: usize = 5;

/// Minimum number of concurrent loads that are allowed, for small fleets.
const MIN_CONCURRENT_LOADS: usize = 2;

/// Number of additional engines that finish their requests while others load, so that the next load
/// can start without delay.
const EXTRA_FINISHING_ENGINES: usize = 1;

/// Number of groups after the active one whose engines are told that they load soon. Long responses
/// take about as long as the loads of one group.
const LOOKAHEAD_GROUPS: usize = 1;

/// Time before its scheduled load from which an engine is told that it loads soon, in the schedule
/// by rank.
const LOOKAHEAD_MS: DurationMs = DurationMs(2_000);

/// Fraction of the time limit within which all engines start their loads in the schedule by rank.
const SCHEDULE_FRACTION: f64 = 0.7;

/// Numbers of requests are compared in units of this size, so that the load order is stable.
const REQUESTS_PER_LEVEL: u32 = 4;

/// Another engine of the same service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Peer {
    /// Address of the engine.
    pub engine: SocketAddr,
    /// Weights that it has loaded; `None` if it has not reported recently.
    pub weights: Option<WeightsVersion>,
    /// Number of requests that are queued or running on it.
    pub requests: u32,
    /// Whether it is loading weights.
    pub loading: bool,
    /// Whether it is finishing its requests before a load.
    pub closing: bool,
}

/// Inputs of the decision.
#[derive(Clone, Debug)]
pub struct Rollout<'a> {
    /// Address of this sidecar's engine.
    pub engine: SocketAddr,
    /// Weights that this engine has loaded.
    pub weights: WeightsVersion,
    /// Number of requests that are queued or running on this engine.
    pub requests: u32,
    /// Newest published weights.
    pub declared: WeightsVersion,
    /// Time since the first publication of weights newer than those of this engine.
    pub behind_ms: DurationMs,
    /// Time after their publication within which all engines must have loaded new weights.
    pub limit_ms: DurationMs,
    /// Other engines of the service.
    pub peers: &'a [Peer],
}

/// Values that determine whether this engine may load, for logs.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TurnInputs {
    /// Time since the first publication of newer weights.
    pub behind_ms: DurationMs,
    /// Number of other engines.
    pub peers: usize,
    /// Number of other engines that have reported recently. If it is less than half of them, the
    /// schedule by rank applies.
    pub peers_heard: usize,
    /// Number of engines that are active or come before this one.
    pub place: usize,
    /// Maximum number of active engines.
    pub most_at_work: usize,
    /// Number of requests that are queued or running on this engine.
    pub requests: u32,
}

/// Sort key of an engine in the load order; the least loads first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct LoadOrderKey {
    weights: WeightsVersion,
    /// Number of requests, in units of [`REQUESTS_PER_LEVEL`].
    requests: u32,
    score: u64,
}

impl Rollout<'_> {
    /// Returns whether this engine is to load now.
    pub fn is_due(&self) -> bool {
        if self.weights >= self.declared {
            return false;
        }
        if self.behind_ms >= self.limit_ms {
            // Routers no longer send it requests, so its load does not reduce the capacity.
            return true;
        }
        match self.enough_peers_report() {
            true => self.load_position() < self.max_active(),
            false => self.is_scheduled_within(DurationMs::ZERO),
        }
    }

    /// Returns whether this engine is to load soon and should accept no requests with long
    /// responses. Once it is due to load, it accepts no requests at all until the running ones are
    /// finished.
    pub fn is_soon(&self) -> bool {
        if self.weights >= self.declared {
            return false;
        }
        let max_position = self.max_active() * (1 + LOOKAHEAD_GROUPS);
        match self.enough_peers_report() {
            true => self.load_position() < max_position,
            false => self.is_scheduled_within(LOOKAHEAD_MS),
        }
    }

    /// Returns the values that determine the decision.
    pub fn inputs(&self) -> TurnInputs {
        TurnInputs {
            behind_ms: self.behind_ms,
            peers: self.peers.len(),
            peers_heard: self.reporting_peers(),
            place: self.load_position(),
            most_at_work: self.max_active(),
            requests: self.requests,
        }
    }

    fn reporting_peers(&self) -> usize {
        let reporting = self.peers.iter().filter(|peer| peer.weights.is_some());
        reporting.count()
    }

    /// Returns the maximum number of concurrent loads. It is lower while engines are unavailable,
    /// because the remaining ones have less spare capacity.
    fn max_concurrent_loads(&self) -> usize {
        let engines = match self.enough_peers_report() {
            true => self.reporting_peers() + 1,
            false => self.peers.len() + 1,
        };
        (engines / ENGINES_PER_CONCURRENT_LOAD).max(MIN_CONCURRENT_LOADS)
    }

    /// Returns the sort key of an engine. Engines with the oldest weights load first, so that none
    /// is starved when versions follow each other quickly. Among these, the engines with the fewest
    /// requests load first, because an engine accepts no requests while it finishes the running
    /// ones before a load.
    fn order_key(
        &self,
        engine: SocketAddr,
        weights: WeightsVersion,
        requests: u32,
    ) -> LoadOrderKey {
        let score = rendezvous_score(u128::from(self.declared.0), &engine.to_string(), 1.0);
        LoadOrderKey {
            weights,
            requests: requests / REQUESTS_PER_LEVEL,
            score: score.to_bits(),
        }
    }

    fn enough_peers_report(&self) -> bool {
        !self.peers.is_empty() && self.reporting_peers() * 2 >= self.peers.len()
    }

    /// Returns the maximum number of active engines, which load or finish their requests before a
    /// load.
    fn max_active(&self) -> usize {
        self.max_concurrent_loads() + EXTRA_FINISHING_ENGINES
    }

    /// Returns the number of engines that are active or come before this one in the load order.
    fn load_position(&self) -> usize {
        let own_key = self.order_key(self.engine, self.weights, self.requests);
        let is_active = |peer: &&Peer| peer.loading || peer.closing;
        let active = self.peers.iter().filter(is_active).count();
        let loads_earlier = |peer: &&Peer| {
            let old_weights = peer.weights.filter(|weights| *weights < self.declared);
            let peer_key = |weights| self.order_key(peer.engine, weights, peer.requests);
            !is_active(peer) && old_weights.is_some_and(|weights| peer_key(weights) < own_key)
        };
        active + self.peers.iter().filter(loads_earlier).count()
    }

    /// Returns whether the load of this engine starts within `lookahead_ms` by the schedule, which
    /// spreads the starts evenly by rank.
    fn is_scheduled_within(&self, lookahead_ms: DurationMs) -> bool {
        let rank_key = |engine| self.order_key(engine, WeightsVersion(0), 0);
        let own_key = rank_key(self.engine);
        let loads_earlier = |peer: &&Peer| rank_key(peer.engine) < own_key;
        let rank = self.peers.iter().filter(loads_earlier).count();
        let fraction = match self.peers.is_empty() {
            true => (own_key.score % 100) as f64 / 100.0,
            false => rank as f64 / self.peers.len() as f64,
        };
        let scheduled_ms = self.limit_ms.0 as f64 * SCHEDULE_FRACTION * fraction.max(0.1);
        (self.behind_ms + lookahead_ms).0 as f64 >= scheduled_ms
    }
}

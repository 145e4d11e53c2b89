//! When one engine of many loads newly named weights.
//!
//! Load pattern: new weights are named, at times every two seconds, while requests keep coming.
//! Each engine that loads takes no requests, more than a few loads at once lengthen each other,
//! and engines on the old weights must all have gone over in time. Each sidecar decides for its own
//! engine from what the others tell; a plan by rank holds where they cannot be heard.

use std::net::SocketAddr;

use dw_base::rendezvous_score;
use dw_base::DurationMs;
use dw_base::WeightsVersion;

/// Engines for each one that loads at the same time.
const ENGINES_PER_LOAD: usize = 5;

/// Loads at once in a small fleet.
const FEWEST_LOADS: usize = 2;

/// Engines that finish their requests while others load, so that the next load starts at once.
const CLOSING_AHEAD: usize = 1;

/// Groups of engines after those at work that are told to load soon. Long answers take about as
/// long as one group.
const GROUPS_SOON: usize = 1;

/// The same for the plan by rank.
const SOON_MS: DurationMs = DurationMs(2_000);

/// Part of the time limit within which the plan by rank has every engine start its load.
const PLANNED_PART: f64 = 0.7;

/// Requests at an engine that count alike for its turn, so that the order of turns is steady.
const REQUESTS_ALIKE: u32 = 4;

/// Another engine of the same service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Peer {
    /// Address.
    pub engine: SocketAddr,
    /// Weights that it has; absent if it has not been heard lately.
    pub weights: Option<WeightsVersion>,
    /// Requests that wait or run there.
    pub requests: u32,
    /// Whether it loads.
    pub loading: bool,
    /// Whether it finishes its requests for a load.
    pub closing: bool,
}

/// Everything that the decision depends on.
#[derive(Clone, Debug)]
pub struct Rollout<'a> {
    /// Address of the own engine.
    pub engine: SocketAddr,
    /// Weights of the own engine.
    pub weights: WeightsVersion,
    /// Requests that wait or run at the own engine.
    pub requests: u32,
    /// Weights that are named.
    pub declared: WeightsVersion,
    /// For how long weights newer than those of the own engine have been named.
    pub behind_ms: DurationMs,
    /// Time from the naming within which all engines must have them.
    pub limit_ms: DurationMs,
    /// The other engines.
    pub peers: &'a [Peer],
}

/// What decides whether the own engine has its turn, for logs.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TurnInputs {
    /// For how long newer weights have been named.
    pub behind_ms: DurationMs,
    /// Other engines.
    pub peers: usize,
    /// Those that are heard; the plan by rank decides if they are less than half.
    pub peers_heard: usize,
    /// Engines at work or before the own one in line.
    pub place: usize,
    /// Most engines at work at once.
    pub most_at_work: usize,
    /// Requests that wait or run at the own engine.
    pub requests: u32,
}

/// Place of an engine in the order of turns; the least goes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Turn {
    weights: WeightsVersion,
    /// In steps of [`REQUESTS_ALIKE`].
    requests: u32,
    score: u64,
}

impl Rollout<'_> {
    /// Returns whether the own engine is to load now.
    pub fn is_due(&self) -> bool {
        if self.weights >= self.declared {
            return false;
        }
        if self.behind_ms >= self.limit_ms {
            // No router sends it requests, so its load costs no room.
            return true;
        }
        match self.hears_others() {
            true => self.place_in_line() < self.at_work_at_once(),
            false => self.is_planned(DurationMs::ZERO),
        }
    }

    /// Returns whether the own engine is to load soon, so that it should start no long answers: it
    /// takes no requests at all from its turn until they are finished.
    pub fn is_soon(&self) -> bool {
        if self.weights >= self.declared {
            return false;
        }
        let soon = self.at_work_at_once() * (1 + GROUPS_SOON);
        match self.hears_others() {
            true => self.place_in_line() < soon,
            false => self.is_planned(SOON_MS),
        }
    }

    /// Returns what decides.
    pub fn inputs(&self) -> TurnInputs {
        TurnInputs {
            behind_ms: self.behind_ms,
            peers: self.peers.len(),
            peers_heard: self.peers_heard(),
            place: self.place_in_line(),
            most_at_work: self.at_work_at_once(),
            requests: self.requests,
        }
    }

    fn peers_heard(&self) -> usize {
        let heard = self.peers.iter().filter(|peer| peer.weights.is_some());
        heard.count()
    }

    /// Returns the most loads at once; engines that are away leave less room for it.
    fn concurrency(&self) -> usize {
        let engines = match self.hears_others() {
            true => self.peers_heard() + 1,
            false => self.peers.len() + 1,
        };
        (engines / ENGINES_PER_LOAD).max(FEWEST_LOADS)
    }

    /// Engines with the oldest weights go first, so that quickly following versions starve none.
    /// Of these, those with the fewest requests go first: an engine takes none while it finishes
    /// its answers for a load.
    fn turn(&self, engine: SocketAddr, weights: WeightsVersion, requests: u32) -> Turn {
        let score = rendezvous_score(u128::from(self.declared.0), &engine.to_string(), 1.0);
        Turn {
            weights,
            requests: requests / REQUESTS_ALIKE,
            score: score.to_bits(),
        }
    }

    fn hears_others(&self) -> bool {
        !self.peers.is_empty() && self.peers_heard() * 2 >= self.peers.len()
    }

    /// Returns the most engines at once that load or finish their requests for it.
    fn at_work_at_once(&self) -> usize {
        self.concurrency() + CLOSING_AHEAD
    }

    /// Returns how many engines are at work or have their turn before the own one.
    fn place_in_line(&self) -> usize {
        let own = self.turn(self.engine, self.weights, self.requests);
        let at_work = |peer: &&Peer| peer.loading || peer.closing;
        let busy = self.peers.iter().filter(at_work).count();
        let ahead = |peer: &&Peer| {
            let behind = peer.weights.filter(|weights| *weights < self.declared);
            let turn = |weights| self.turn(peer.engine, weights, peer.requests);
            !at_work(peer) && behind.is_some_and(|weights| turn(weights) < own)
        };
        busy + self.peers.iter().filter(ahead).count()
    }

    /// Returns whether the start lies at most `ahead_ms` ahead by the plan, which needs no talk: an
    /// even spread of the starts by rank.
    fn is_planned(&self, ahead_ms: DurationMs) -> bool {
        let turn = |engine| self.turn(engine, WeightsVersion(0), 0);
        let own = turn(self.engine);
        let before = |peer: &&Peer| turn(peer.engine) < own;
        let rank = self.peers.iter().filter(before).count();
        let share = match self.peers.is_empty() {
            true => (own.score % 100) as f64 / 100.0,
            false => rank as f64 / self.peers.len() as f64,
        };
        let planned_ms = self.limit_ms.0 as f64 * PLANNED_PART * share.max(0.1);
        (self.behind_ms + ahead_ms).0 as f64 >= planned_ms
    }
}

//! Routers and the two relays of their data centre in virtual time.

use std::collections::VecDeque;
use std::net::IpAddr;
use std::net::SocketAddr;

use dw_base::DurationMs;
use dw_base::TimeMs;
use dw_fleet::is_reader;
use dw_fleet::router_hash;
use dw_fleet::Aggregate;
use dw_fleet::FollowedTable;
use dw_fleet::RELAY_MAX_PAUSE_MS;
use dw_fleet::RELAY_MIN_PAUSE_MS;
use dw_fleet::RELAY_ROUND_PAUSE_MS;
use dw_wire::RouterState;

use crate::common::data_centre;
use crate::router::Bounds;
use crate::router::Loss;
use crate::router::Router;
use crate::router::STEP_MS;
use crate::router::TABLES;

#[derive(Default)]
pub(crate) struct Relay {
    pub(crate) aggregate: Aggregate,
    pub(crate) announced_at: TimeMs,
    /// What has arrived and when it is read.
    pub(crate) arrived: VecDeque<(TimeMs, SocketAddr, RouterState)>,
}

impl Relay {
    pub(crate) fn read_arrived(&mut self, now: TimeMs) {
        while self.arrived.front().is_some_and(|(at, ..)| *at <= now) {
            if let Some((_, from, state)) = self.arrived.pop_front() {
                self.aggregate.update_router(from, state, now);
            }
        }
    }
}

pub(crate) struct Fleet {
    pub(crate) bounds: Bounds,
    pub(crate) routers: Vec<Router>,
    pub(crate) relays: [Relay; 2],
    pub(crate) are_relays_lost: bool,
    /// Time after which each relay reads what has arrived.
    pub(crate) relay_lags_ms: [DurationMs; 2],
    pub(crate) lost_at: Option<TimeMs>,
    pub(crate) now: TimeMs,
    /// Calls that wait for changes.
    pub(crate) calls: usize,
}

impl Fleet {
    pub(crate) fn new(routers: u8, bound_ms: u64) -> Self {
        Fleet {
            bounds: Bounds {
                bound_ms: DurationMs(bound_ms),
                positions: [1; 2],
                old_positions: None,
            },
            routers: (0..routers).map(Router::new).collect(),
            relays: Default::default(),
            are_relays_lost: false,
            relay_lags_ms: [DurationMs::ZERO; 2],
            lost_at: None,
            now: TimeMs(100_000),
            calls: 0,
        }
    }

    pub(crate) fn step(&mut self) {
        self.now = self.now + STEP_MS;
        let now = self.now;
        for router in &mut self.routers {
            if router.loss == Some(Loss::Ended) {
                continue;
            }
            for table in TABLES {
                let waited = router.follows[table as usize].waits_until.is_some();
                router.poll(table, &self.bounds, self.lost_at, now);
                let waits = router.follows[table as usize].waits_until.is_some();
                self.calls += usize::from(waits && !waited);
            }
            if let Some(state) = router.announcement(now) {
                for (relay, lag_ms) in self.relays.iter_mut().zip(self.relay_lags_ms) {
                    let read_at = now + lag_ms;
                    let arrived = (read_at, router.from, state.clone());
                    relay.arrived.push_back(arrived);
                }
            }
        }
        for (number, relay) in self.relays.iter_mut().enumerate() {
            relay.read_arrived(now);
            let pause_ms = RELAY_MIN_PAUSE_MS + RELAY_MAX_PAUSE_MS + RELAY_ROUND_PAUSE_MS;
            if self.are_relays_lost || now.since(relay.announced_at) < pause_ms {
                continue;
            }
            relay.announced_at = now;
            relay.aggregate.remove_stale(now);
            let loads = relay.aggregate.loads(&mut None);
            let tables = relay.aggregate.tables(now);
            let source = IpAddr::from([10, 0, 2, number as u8]);
            for router in &mut self.routers {
                if router.loss == Some(Loss::CutFromRelays) {
                    continue;
                }
                router.state.is_reader = is_reader(&router.node, &loads);
                let own_hash = router_hash(&router.node);
                if let Some((_, stamp)) = loads.heard.iter().find(|(hash, _)| *hash == own_hash) {
                    router.state.hints.record_echo(source, *stamp, now);
                }
                if let Some(tables) = tables {
                    let source = (source, &data_centre(0));
                    router.state.hints.update(source, tables, now);
                }
            }
        }
    }

    pub(crate) fn run(&mut self, time_ms: u64) {
        for _ in 0..time_ms / STEP_MS.0 {
            self.step();
        }
    }

    /// Loses all routers that announce what they read, and the relays with them if asked.
    pub(crate) fn lose_readers(&mut self, loss: Loss, with_relays: bool) {
        self.lost_at = Some(self.now);
        self.are_relays_lost = with_relays;
        for router in &mut self.routers {
            router.loss = router.state.is_reader.then_some(loss);
        }
    }

    /// Loses the answers to all calls of the routers that read the tables for others.
    pub(crate) fn lose_answers_of_readers(&mut self) {
        let readers = self.routers.iter_mut().filter(|router| router.is_silenced);
        for follow in readers.flat_map(|router| &mut router.follows) {
            follow.is_lost |= follow.waits_until.is_some();
        }
    }

    /// Loses the answers to all calls that wait now, of the routers whose bit is set in `routers`.
    pub(crate) fn lose_answers(&mut self, routers: u16) {
        let is_silenced = |at: usize| routers & (1 << (at % 16)) != 0;
        let silenced = self.routers.iter_mut().enumerate();
        let silenced = silenced.filter(|(at, _)| is_silenced(*at));
        let follows = silenced.flat_map(|(_, router)| &mut router.follows);
        for follow in follows {
            follow.is_lost |= follow.waits_until.is_some();
        }
    }

    pub(crate) fn has_been_read(&self, table: FollowedTable) -> bool {
        let is_calm = |router: &&Router| router.loss.is_none() && !router.is_silenced;
        let calm = self.routers.iter().filter(is_calm);
        let position = self.bounds.positions[table as usize];
        calm.into_iter()
            .all(|router| router.follows[table as usize].position == position)
    }
}

//! Log of cache events, with configurable delay and loss.

use std::collections::VecDeque;

use dw_api::engine::CacheEvent;
use dw_api::engine::CacheEventKind;
use dw_base::seeded_rng;
use dw_base::BlockHash;
use dw_base::Rng;
use rand::RngExt;

/// Number of events kept; slower readers miss the older ones.
const MAX_EVENTS: usize = 65_536;

#[derive(Debug)]
pub(crate) struct EventLog {
    rng: Rng,
    last_seq: u64,
    events: VecDeque<(f64, CacheEvent)>,
}

impl EventLog {
    pub(crate) fn new(seed: u64) -> Self {
        EventLog {
            rng: seeded_rng(seed),
            last_seq: 0,
            events: VecDeque::new(),
        }
    }

    pub(crate) fn last_seq(&self) -> u64 {
        self.last_seq
    }

    /// Assigns the next sequence number to an event and publishes it at `publish_at_ms`.
    ///
    /// With probability `loss_rate`, the event is dropped and leaves a gap in the sequence numbers.
    pub(crate) fn push(
        &mut self,
        kind: CacheEventKind,
        hashes: &[BlockHash],
        publish_at_ms: f64,
        loss_rate: f64,
    ) {
        self.last_seq += 1;
        if self.rng.random::<f64>() < loss_rate {
            return;
        }
        if self.events.len() == MAX_EVENTS {
            self.events.pop_front();
        }
        let event = CacheEvent {
            hashes: hashes.iter().map(ToString::to_string).collect(),
            kind,
            seq: self.last_seq,
        };
        self.events.push_back((publish_at_ms, event));
    }

    /// Returns the events with a sequence number above `after` that are published by `now_ms`.
    pub(crate) fn published(&self, after: u64, now_ms: f64) -> Vec<CacheEvent> {
        let first = self.events.partition_point(|(_, event)| event.seq <= after);
        self.events
            .range(first..)
            .filter(|(at_ms, _)| *at_ms <= now_ms)
            .map(|(_, event)| event.clone())
            .collect()
    }
}

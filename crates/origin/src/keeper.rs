//! Origins that one process keeps.

use std::collections::HashMap;

use dw_base::DurationMs;
use dw_base::StreamKey;
use dw_base::TimeMs;
use dw_wire::OriginRecord;
use dw_wire::StreamOrigin;

/// Maximum number of origins kept; those that expire first are dropped.
const MAX_ORIGINS: usize = 65_536;

/// Longest time for which an origin is kept.
const MAX_RETENTION_MS: DurationMs = DurationMs(3_600_000);

/// Origins of streams, as one process was told.
#[derive(Clone, Debug, Default)]
pub struct OriginKeeper {
    origins: HashMap<StreamKey, (StreamOrigin, TimeMs)>,
}

impl OriginKeeper {
    /// Keeps the origin of a stream for a time. What is kept about a stream does not change: a stream
    /// begins once.
    pub fn record(
        &mut self,
        stream: StreamKey,
        origin: StreamOrigin,
        retention_ms: DurationMs,
        now: TimeMs,
    ) {
        let until = now + retention_ms.min(MAX_RETENTION_MS);
        if self.origins.len() >= MAX_ORIGINS && !self.origins.contains_key(&stream) {
            self.drop_first_to_expire();
        }
        let known = self.origins.entry(stream).or_insert((origin, until));
        known.1 = known.1.max(until);
    }

    /// Returns where a stream began, if that is kept.
    pub fn get(&self, stream: StreamKey, now: TimeMs) -> Option<&StreamOrigin> {
        let (origin, until) = self.origins.get(&stream)?;
        (now < *until).then_some(origin)
    }

    /// Returns what is kept, to tell it to another process.
    pub fn records(&self, now: TimeMs) -> Vec<OriginRecord> {
        let kept = self.origins.iter().filter(|(_, (_, until))| now < *until);
        let record =
            |(stream, (origin, until)): (&StreamKey, &(StreamOrigin, TimeMs))| OriginRecord {
                stream: *stream,
                origin: origin.clone(),
                retention_ms: until.since(now),
            };
        kept.map(record).collect()
    }

    /// Returns the number of origins kept.
    pub fn len(&self) -> usize {
        self.origins.len()
    }

    /// Returns whether no origin is kept.
    pub fn is_empty(&self) -> bool {
        self.origins.is_empty()
    }

    /// Drops what has expired.
    pub fn expire(&mut self, now: TimeMs) {
        self.origins.retain(|_, (_, until)| now < *until);
    }

    fn drop_first_to_expire(&mut self) {
        let mut ends: Vec<TimeMs> = self.origins.values().map(|(_, until)| *until).collect();
        ends.sort_unstable();
        let last_dropped = ends.get(ends.len() / 4).copied().unwrap_or_default();
        self.origins.retain(|_, (_, until)| *until > last_dropped);
    }
}

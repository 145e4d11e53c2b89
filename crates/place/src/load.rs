//! What a router knows of one upstream: at most 256 bytes.

use dw_base::DurationMs;
use dw_base::Priority;
use dw_base::TimeMs;

use crate::nested::MAX_LEVELS;
use crate::speed::SpeedEstimator;

/// Assumed time for which a cached prefix survives without use, before it is learned.
const INITIAL_LIFETIME_MS: f64 = 20_000.0;

/// Weight of the newest observation of a lifetime.
const LIFETIME_SMOOTHING: f64 = 0.1;

/// Bounds of the learned lifetime; the floor keeps one odd eviction from disabling hints.
const LIFETIME_MS: (f64, f64) = (500.0, 600_000.0);

/// Ages in a probe that were not known.
const UNKNOWN_AGE: u16 = u16::MAX;

/// Unit of the ages in a probe.
const AGE_UNIT_MS: u64 = 64;

/// A probe whose answer does not arrive within this time is replaced.
const PROBE_TIMEOUT: DurationMs = DurationMs(30_000);

/// Ages of the hints for one request at the time of its placement.
///
/// They are compared with what the engine then had cached. The ages in the sketch cannot be used,
/// because the placement itself has refreshed them: lifetimes learned from those fell to the time
/// of one request.
#[derive(Clone, Copy, Debug)]
struct Probe {
    key: u64,
    placed: TimeMs,
    ages: [u16; MAX_LEVELS],
}

/// Load, speed and cache lifetime of one upstream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Upstream {
    /// Learned speed.
    pub(crate) speed: SpeedEstimator,
    wait_ms: [f64; 3],
    sent_ms: [f64; 3],
    reported: TimeMs,
    lifetime_ms: f64,
    probe: Option<Probe>,
    /// When the upstream was last a candidate.
    pub(crate) seen: TimeMs,
}

impl Upstream {
    /// Creates the state of an upstream of which nothing is known.
    pub(crate) fn new(now: TimeMs) -> Self {
        Upstream {
            speed: SpeedEstimator::default(),
            wait_ms: [0.0; 3],
            sent_ms: [0.0; 3],
            reported: now,
            lifetime_ms: INITIAL_LIFETIME_MS,
            probe: None,
            seen: now,
        }
    }

    /// Takes over a report.
    pub(crate) fn report(&mut self, wait_ms: &[DurationMs; 3], now: TimeMs) {
        self.wait_ms = wait_ms.map(|wait| wait.0 as f64);
        self.sent_ms = [0.0; 3];
        self.reported = now;
    }

    /// Adds work that was sent after the last report.
    pub(crate) fn sent(&mut self, priority: Priority, work_ms: f64) {
        self.sent_ms[priority.index()] += work_ms;
    }

    /// Returns the expected wait: the report less the time since, plus what was sent since.
    ///
    /// Work of a lower priority is not counted, because the agent starts it later.
    pub(crate) fn wait_ms(&self, priority: Priority, now: TimeMs) -> f64 {
        let at = priority.index();
        let sent: f64 = self.sent_ms[..=at].iter().sum();
        (self.wait_ms[at] + sent - now.since(self.reported).0 as f64).max(0.0)
    }

    /// Remembers the ages of the hints for a request, unless another request is remembered.
    pub(crate) fn probe(
        &mut self,
        key: u64,
        ages_ms: impl Iterator<Item = Option<u64>>,
        now: TimeMs,
    ) {
        let pending = |probe: &Probe| now.since(probe.placed) < PROBE_TIMEOUT;
        if self.probe.as_ref().is_some_and(pending) {
            return;
        }
        let mut ages = [UNKNOWN_AGE; MAX_LEVELS];
        for (slot, age) in ages.iter_mut().zip(ages_ms) {
            let units = age.map(|age| (age / AGE_UNIT_MS).min(u64::from(UNKNOWN_AGE - 1)));
            *slot = units.map_or(UNKNOWN_AGE, |units| units as u16);
        }
        self.probe = Some(Probe {
            key,
            placed: now,
            ages,
        });
    }

    /// Learns the lifetime from the depth that a remembered request found in the cache.
    pub(crate) fn answered(&mut self, key: u64, depth: usize) {
        let Some(probe) = self.probe.take_if(|probe| probe.key == key) else {
            return;
        };
        let age = |level: usize| {
            let known = probe.ages.get(level).filter(|age| **age != UNKNOWN_AGE)?;
            Some(f64::from(*known) * AGE_UNIT_MS as f64)
        };
        let kept = depth.checked_sub(1).and_then(age);
        if let Some(age) = kept.filter(|age| *age > self.lifetime_ms) {
            self.move_lifetime(age);
        }
        if let Some(age) = age(depth).filter(|age| *age < self.lifetime_ms) {
            self.move_lifetime(age);
        }
    }

    fn move_lifetime(&mut self, age_ms: f64) {
        let moved = self.lifetime_ms + LIFETIME_SMOOTHING * (age_ms - self.lifetime_ms);
        self.lifetime_ms = moved.clamp(LIFETIME_MS.0, LIFETIME_MS.1);
    }

    /// Returns the probability that a prefix last used `age_ms` ago is still cached.
    pub(crate) fn survival(&self, age_ms: u64) -> f64 {
        1.0 / (1.0 + (age_ms as f64 / self.lifetime_ms).powi(4))
    }
}

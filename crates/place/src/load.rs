//! State that a router keeps for each upstream, at most 256 bytes.

use dw_base::DurationMs;
use dw_base::Priority;
use dw_base::TimeMs;

use crate::nested::MAX_LEVELS;
use crate::speed::SpeedEstimator;

/// Assumed time until an unused prefix is evicted, before the first measurement.
const INITIAL_LIFETIME_MS: f64 = 20_000.0;

/// Weight of the newest observation in the moving average of the lifetime.
const LIFETIME_SMOOTHING: f64 = 0.1;

/// Bounds of the estimated lifetime; the lower one keeps a single early eviction from disabling
/// hints.
const LIFETIME_RANGE_MS: (f64, f64) = (500.0, 600_000.0);

/// Marks an unknown age in a probe.
const UNKNOWN_AGE: u16 = u16::MAX;

/// Unit of the ages in a probe.
const AGE_UNIT_MS: u64 = 64;

/// Time without an answer after which a probe is replaced.
const PROBE_TIMEOUT: DurationMs = DurationMs(30_000);

/// Ages of the warm hints for one request when it was placed.
///
/// They are compared with the cached depth that the engine reports. The ages in the sketch cannot be
/// used, because the placement itself refreshes them: estimates from those ages fell to the duration
/// of one request.
#[derive(Clone, Copy, Debug)]
struct Probe {
    key: u64,
    placed_at: TimeMs,
    ages: [u16; MAX_LEVELS],
}

/// Load, speed and cache lifetime of one upstream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UpstreamState {
    /// Estimated prefill speed.
    pub(crate) speed: SpeedEstimator,
    wait_ms: [f64; 3],
    sent_ms: [f64; 3],
    reported_at: TimeMs,
    lifetime_ms: f64,
    probe: Option<Probe>,
    /// Time at which the upstream was last a candidate.
    pub(crate) last_seen: TimeMs,
}

impl UpstreamState {
    /// Creates the initial state of an upstream.
    pub(crate) fn new(now: TimeMs) -> Self {
        UpstreamState {
            speed: SpeedEstimator::default(),
            wait_ms: [0.0; 3],
            sent_ms: [0.0; 3],
            reported_at: now,
            lifetime_ms: INITIAL_LIFETIME_MS,
            probe: None,
            last_seen: now,
        }
    }

    /// Replaces the expected waits by those of a report.
    pub(crate) fn set_report(&mut self, wait_ms: &[DurationMs; 3], now: TimeMs) {
        self.wait_ms = wait_ms.map(|wait| wait.0 as f64);
        self.sent_ms = [0.0; 3];
        self.reported_at = now;
    }

    /// Adds work sent since the last report.
    pub(crate) fn add_sent(&mut self, priority: Priority, work_ms: f64) {
        self.sent_ms[priority.index()] += work_ms;
    }

    /// Returns the expected wait: the reported wait minus the time since the report, plus work sent
    /// since.
    ///
    /// Work of lower priority is not counted, because the agent starts it later.
    pub(crate) fn wait_ms(&self, priority: Priority, now: TimeMs) -> f64 {
        let at = priority.index();
        let sent: f64 = self.sent_ms[..=at].iter().sum();
        (self.wait_ms[at] + sent - now.since(self.reported_at).0 as f64).max(0.0)
    }

    /// Starts a probe with the ages of a request's hints, unless another probe is pending.
    pub(crate) fn start_probe(
        &mut self,
        key: u64,
        ages_ms: impl Iterator<Item = Option<u64>>,
        now: TimeMs,
    ) {
        let is_pending = |probe: &Probe| now.since(probe.placed_at) < PROBE_TIMEOUT;
        if self.probe.as_ref().is_some_and(is_pending) {
            return;
        }
        let mut ages = [UNKNOWN_AGE; MAX_LEVELS];
        for (slot, age) in ages.iter_mut().zip(ages_ms) {
            let units = age.map(|age| (age / AGE_UNIT_MS).min(u64::from(UNKNOWN_AGE - 1)));
            *slot = units.map_or(UNKNOWN_AGE, |units| units as u16);
        }
        self.probe = Some(Probe {
            key,
            placed_at: now,
            ages,
        });
    }

    /// Updates the lifetime from the cached depth of the probed request.
    pub(crate) fn finish_probe(&mut self, key: u64, depth: usize) {
        let Some(probe) = self.probe.take_if(|probe| probe.key == key) else {
            return;
        };
        let age = |level: usize| {
            let known = probe.ages.get(level).filter(|age| **age != UNKNOWN_AGE)?;
            Some(f64::from(*known) * AGE_UNIT_MS as f64)
        };
        let cached_age = depth.checked_sub(1).and_then(age);
        if let Some(age) = cached_age.filter(|age| *age > self.lifetime_ms) {
            self.update_lifetime(age);
        }
        if let Some(age) = age(depth).filter(|age| *age < self.lifetime_ms) {
            self.update_lifetime(age);
        }
    }

    fn update_lifetime(&mut self, age_ms: f64) {
        let updated = self.lifetime_ms + LIFETIME_SMOOTHING * (age_ms - self.lifetime_ms);
        self.lifetime_ms = updated.clamp(LIFETIME_RANGE_MS.0, LIFETIME_RANGE_MS.1);
    }

    /// Returns the probability that a prefix last used `age_ms` ago is still cached.
    pub(crate) fn hit_probability(&self, age_ms: u64) -> f64 {
        1.0 / (1.0 + (age_ms as f64 / self.lifetime_ms).powi(4))
    }
}

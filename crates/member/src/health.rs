//! Health of one upstream, from its answers and failures.

use dw_base::DurationMs;
use dw_base::TimeMs;

/// First and longest pause before a request may probe an upstream that failed.
const PROBE_BACKOFF_MS: (u64, u64) = (150, 2_000);

/// Weight of the latest outcome in the failure rate, an exponential moving average.
const SMOOTHING_FACTOR: f64 = 0.15;

/// Consecutive failures after which an upstream is suspect.
const SUSPECT_AFTER_FAILURES: u32 = 2;

/// Half-life of the failure rate. It decays so that a recovered upstream is used again.
const FAILURE_RATE_HALF_LIFE_MS: f64 = 2_000.0;

/// Health of one upstream.
#[derive(Clone, Debug, Default)]
pub struct Health {
    failure_rate: f64,
    rate_updated_at: TimeMs,
    consecutive_failures: u32,
    probe: Option<Probe>,
}

#[derive(Clone, Copy, Debug)]
struct Probe {
    due_at: TimeMs,
    pause_ms: DurationMs,
}

impl Health {
    /// Records that no connection to the upstream could be made; it is suspect at once.
    pub fn record_unreachable(&mut self, now: TimeMs) {
        self.update_failure_rate(1.0, now);
        self.consecutive_failures += 1;
        self.mark_suspect(now);
    }

    /// Records that a request got no answer, a truncated one or an error.
    pub fn record_failure(&mut self, now: TimeMs) {
        self.update_failure_rate(1.0, now);
        self.consecutive_failures += 1;
        if self.consecutive_failures >= SUSPECT_AFTER_FAILURES {
            self.mark_suspect(now);
        }
    }

    /// Records a successful answer.
    pub fn record_success(&mut self, now: TimeMs) {
        self.update_failure_rate(0.0, now);
        self.consecutive_failures = 0;
        self.probe = None;
    }

    /// Returns whether a request may be sent; to a suspect upstream it is a probe.
    pub fn is_usable(&self, now: TimeMs) -> bool {
        self.probe.is_none_or(|probe| now >= probe.due_at)
    }

    /// Records that a request was sent, so that a suspect upstream gets one probe per pause.
    pub fn record_sent(&mut self, now: TimeMs) {
        if let Some(probe) = &mut self.probe {
            probe.due_at = now + probe.pause_ms;
        }
    }

    /// Returns the failure rate of recent requests, between 0 and 1.
    pub fn failure_rate(&self, now: TimeMs) -> f64 {
        self.failure_rate * self.decay(now)
    }

    fn update_failure_rate(&mut self, outcome: f64, now: TimeMs) {
        let old = self.failure_rate(now);
        self.failure_rate = old + SMOOTHING_FACTOR * (outcome - old);
        self.rate_updated_at = now;
    }

    fn decay(&self, now: TimeMs) -> f64 {
        0.5f64.powf(now.since(self.rate_updated_at).0 as f64 / FAILURE_RATE_HALF_LIFE_MS)
    }

    fn mark_suspect(&mut self, now: TimeMs) {
        let pause_ms = match self.probe {
            Some(probe) => DurationMs((probe.pause_ms.0 * 2).min(PROBE_BACKOFF_MS.1)),
            None => DurationMs(PROBE_BACKOFF_MS.0),
        };
        self.probe = Some(Probe {
            due_at: now + pause_ms,
            pause_ms,
        });
    }
}

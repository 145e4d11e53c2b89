//! What answers and failures say of one upstream.

use dw_base::DurationMs;
use dw_base::TimeMs;

/// First and greatest pause before a request may probe an upstream that failed.
const PROBE_MS: (u64, u64) = (150, 2_000);

/// Weight of the newest outcome in the failure rate.
const SMOOTHING: f64 = 0.15;

/// Failures in a row, without an answer between them, after which an upstream is suspect.
const SILENT_FAILURES: u32 = 2;

/// Time in which a failure rate falls to half, so that a recovered upstream is used again.
const HALF_LIFE_MS: f64 = 2_000.0;

/// Health of one upstream.
#[derive(Clone, Debug, Default)]
pub struct Health {
    failure_rate: f64,
    rated: TimeMs,
    failures: u32,
    probe: Option<Probe>,
}

#[derive(Clone, Copy, Debug)]
struct Probe {
    due: TimeMs,
    pause: DurationMs,
}

impl Health {
    /// Records that the upstream accepted no connection.
    pub fn record_unreachable(&mut self, now: TimeMs) {
        self.rate(1.0, now);
        self.failures += 1;
        self.suspect(now);
    }

    /// Records that a request got no answer, a broken one or a failure.
    pub fn record_failure(&mut self, now: TimeMs) {
        self.rate(1.0, now);
        self.failures += 1;
        if self.failures >= SILENT_FAILURES {
            self.suspect(now);
        }
    }

    /// Records a good answer.
    pub fn record_success(&mut self, now: TimeMs) {
        self.rate(0.0, now);
        self.failures = 0;
        self.probe = None;
    }

    /// Returns whether a request may be sent, which for a suspect upstream is a probe.
    pub fn is_usable(&self, now: TimeMs) -> bool {
        self.probe.is_none_or(|probe| now >= probe.due)
    }

    /// Records that a request is sent, so that a suspect upstream gets one probe at a time.
    pub fn record_sent(&mut self, now: TimeMs) {
        if let Some(probe) = &mut self.probe {
            probe.due = now + probe.pause;
        }
    }

    /// Returns the share of recent requests that failed.
    pub fn failure_rate(&self, now: TimeMs) -> f64 {
        self.failure_rate * self.decay(now)
    }

    fn rate(&mut self, outcome: f64, now: TimeMs) {
        let old = self.failure_rate(now);
        self.failure_rate = old + SMOOTHING * (outcome - old);
        self.rated = now;
    }

    fn decay(&self, now: TimeMs) -> f64 {
        0.5f64.powf(now.since(self.rated).0 as f64 / HALF_LIFE_MS)
    }

    fn suspect(&mut self, now: TimeMs) {
        let pause = match self.probe {
            Some(probe) => DurationMs((probe.pause.0 * 2).min(PROBE_MS.1)),
            None => DurationMs(PROBE_MS.0),
        };
        self.probe = Some(Probe {
            due: now + pause,
            pause,
        });
    }
}

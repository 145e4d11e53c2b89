//! Pace of the calls with which origins are stored and read.
//!
//! Load pattern: all routers store the streams that they begin, and all of them read what is stored when many
//! processes have ended at one moment and callers take their streams up.

use dw_base::DurationMs;
use dw_base::TimeMs;

/// Part of the table's calls that origins may take, over all routers.
const MAX_CALL_SHARE: f64 = 0.1;

/// Shortest time between two writes of a router while one software version serves: origins are needed then only if all
/// routers have started again.
pub const ONE_VERSION_INTERVAL_MS: DurationMs = DurationMs(3_000);

/// Shortest time between two writes of a router. Origins that are not stored yet are lost with the processes that know
/// them; streams worth going on with last several times as long.
pub const MIN_WRITE_INTERVAL_MS: DurationMs = DurationMs(1_000);

/// Shortest time between two reads of a router, for which callers wait.
pub const MIN_READ_INTERVAL_MS: DurationMs = DurationMs(250);

/// First additional pause after a call that failed.
const MIN_BACKOFF_MS: DurationMs = DurationMs(250);

/// Longest additional pause after several calls that failed.
const MAX_BACKOFF_MS: DurationMs = DurationMs(8_000);

/// Returns the time between two rounds of calls of one router, so that all of them together take at most a tenth of the
/// calls that the table bears.
pub fn fleet_interval_ms(
    min_interval_ms: DurationMs,
    routers: u32,
    calls_per_round: usize,
    table_calls_per_s: f64,
) -> DurationMs {
    let calls = f64::from(routers.max(1)) * calls_per_round.max(1) as f64;
    let interval_s = calls / (table_calls_per_s * MAX_CALL_SHARE).max(f64::MIN_POSITIVE);
    DurationMs((interval_s * 1_000.0).ceil() as u64).max(min_interval_ms)
}

/// When one router may call the platform's table for origins again.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallPace {
    started_at: Option<TimeMs>,
    backoff_ms: DurationMs,
}

impl CallPace {
    /// Returns the time until the next round may begin, with this time between two rounds.
    pub fn pause_ms(&self, interval_ms: DurationMs, now: TimeMs) -> DurationMs {
        let next_at = |started_at| started_at + interval_ms.max(self.backoff_ms);
        self.started_at.map_or(DurationMs::ZERO, |started_at| {
            next_at(started_at).since(now)
        })
    }

    /// Records a round that has begun.
    pub fn record_start(&mut self, now: TimeMs) {
        self.started_at = Some(now);
    }

    /// Records that the table has answered.
    pub fn record_success(&mut self) {
        self.backoff_ms = DurationMs::ZERO;
    }

    /// Records that the table has refused a call or has not answered; the pauses, which begin now, double.
    pub fn record_failure(&mut self, now: TimeMs) {
        self.started_at = Some(now);
        let doubled_ms = DurationMs(self.backoff_ms.0.saturating_mul(2));
        self.backoff_ms = doubled_ms.max(MIN_BACKOFF_MS).min(MAX_BACKOFF_MS);
    }
}

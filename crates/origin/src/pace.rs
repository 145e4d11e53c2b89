//! Pace of the calls with which origins are stored and read.
//!
//! Load pattern: all routers store the streams that they begin, and all of them read what is stored when many
//! processes have ended at one moment and callers take their streams up.

use dw_base::DurationMs;
use dw_base::TimeMs;

/// Part of the calls that the table bears which origins may take.
const MAX_TABLE_SHARE: f64 = 0.1;

/// How often the routers may call the platform's table, which has a price for each call.
#[derive(Clone, Copy, Debug)]
pub struct CallLimit {
    /// Shortest time between two rounds of calls of one router.
    min_interval_ms: DurationMs,
    /// Calls of all routers together.
    max_calls_per_s: f64,
}

impl CallLimit {
    /// Writes while upstreams of several software versions serve. Origins that are not stored yet are lost with the
    /// processes that know them; streams worth going on with last several times as long.
    pub const WRITES: CallLimit = CallLimit {
        min_interval_ms: DurationMs(1_000),
        max_calls_per_s: 20.0,
    };

    /// Writes while one software version serves: origins are needed then only if all routers have started again.
    pub const WRITES_OF_ONE_VERSION: CallLimit = CallLimit {
        min_interval_ms: DurationMs(3_000),
        max_calls_per_s: 3.0,
    };

    /// Reads, for which callers wait and which are needed only after a loss of many processes.
    pub const READS: CallLimit = CallLimit {
        min_interval_ms: DurationMs(250),
        max_calls_per_s: 200.0,
    };

    /// Returns the time between two rounds of calls of one router.
    pub fn interval_ms(
        self,
        routers: u32,
        calls_per_round: usize,
        table_calls_per_s: f64,
    ) -> DurationMs {
        let calls = f64::from(routers.max(1)) * calls_per_round.max(1) as f64;
        let bearable = (table_calls_per_s * MAX_TABLE_SHARE).max(f64::MIN_POSITIVE);
        let calls_per_s = self.max_calls_per_s.min(bearable);
        let interval_ms = DurationMs((calls / calls_per_s * 1_000.0).ceil() as u64);
        interval_ms.max(self.min_interval_ms)
    }
}

/// First additional pause after a call that failed.
const MIN_BACKOFF_MS: DurationMs = DurationMs(250);

/// Longest additional pause after several calls that failed.
const MAX_BACKOFF_MS: DurationMs = DurationMs(8_000);

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

//! The clock type of the project, in milliseconds.

use std::fmt;
use std::ops::Add;
use std::ops::Sub;
use std::str::FromStr;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use serde::Deserialize;
use serde::Serialize;

use crate::number::ParseNumberError;

/// A point in time in milliseconds since the Unix epoch.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct TimeMs(pub u64);

/// A length of time in milliseconds.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct DurationMs(pub u64);

impl TimeMs {
    /// Returns the time elapsed since `earlier`, or zero if `earlier` lies in the future.
    pub fn since(self, earlier: TimeMs) -> DurationMs {
        DurationMs(self.0.saturating_sub(earlier.0))
    }
}

impl DurationMs {
    /// The empty duration.
    pub const ZERO: DurationMs = DurationMs(0);

    /// Returns the difference, or zero if `other` is longer.
    pub fn saturating_sub(self, other: DurationMs) -> DurationMs {
        DurationMs(self.0.saturating_sub(other.0))
    }

    /// Returns the duration in seconds.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1000.0
    }
}

impl Add<DurationMs> for TimeMs {
    type Output = TimeMs;

    fn add(self, rhs: DurationMs) -> TimeMs {
        TimeMs(self.0.saturating_add(rhs.0))
    }
}

impl Sub<DurationMs> for TimeMs {
    type Output = TimeMs;

    fn sub(self, rhs: DurationMs) -> TimeMs {
        TimeMs(self.0.saturating_sub(rhs.0))
    }
}

impl Add for DurationMs {
    type Output = DurationMs;

    fn add(self, rhs: DurationMs) -> DurationMs {
        DurationMs(self.0.saturating_add(rhs.0))
    }
}

impl From<DurationMs> for Duration {
    fn from(value: DurationMs) -> Duration {
        Duration::from_millis(value.0)
    }
}

impl From<Duration> for DurationMs {
    fn from(value: Duration) -> DurationMs {
        DurationMs(u64::try_from(value.as_millis()).unwrap_or(u64::MAX))
    }
}

impl fmt::Display for TimeMs {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}ms", self.0)
    }
}

impl fmt::Display for DurationMs {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}ms", self.0)
    }
}

impl FromStr for DurationMs {
    type Err = ParseNumberError;

    /// Parses a whole number followed by `ms`, `s`, `m` or `h`.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        const EXPECTED: &str = "a whole number followed by ms, s, m or h, for example 250ms";
        let error = || ParseNumberError::new(text, EXPECTED);
        let split = text.find(|c: char| !c.is_ascii_digit()).ok_or_else(error)?;
        let (digits, unit) = text.split_at(split);
        let count: u64 = digits.parse().map_err(|_| error())?;
        let factor = match unit {
            "ms" => 1,
            "s" => 1_000,
            "m" => 60_000,
            "h" => 3_600_000,
            _ => return Err(error()),
        };
        count.checked_mul(factor).map(DurationMs).ok_or_else(error)
    }
}

/// Source of the current time.
pub trait Clock: Send + Sync {
    /// Returns the current time.
    fn now(&self) -> TimeMs;
}

/// A clock that starts at the wall-clock time and then advances monotonically.
#[derive(Debug)]
pub struct SystemClock {
    origin: Instant,
    origin_time: TimeMs,
}

impl SystemClock {
    /// Creates a clock anchored at the current wall-clock time.
    pub fn new() -> Self {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        SystemClock {
            origin: Instant::now(),
            origin_time: TimeMs(DurationMs::from(unix).0),
        }
    }
}

impl Default for SystemClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for SystemClock {
    fn now(&self) -> TimeMs {
        self.origin_time + DurationMs::from(self.origin.elapsed())
    }
}

/// A clock that also advances while the VM is suspended.
#[derive(Debug)]
pub struct BootClock {
    origin_ms: u64,
    origin_time: TimeMs,
}

impl BootClock {
    /// Creates a clock anchored at the current wall-clock time.
    pub fn new() -> Self {
        BootClock {
            origin_ms: boot_ms(),
            origin_time: SystemClock::new().origin_time,
        }
    }
}

impl Default for BootClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for BootClock {
    fn now(&self) -> TimeMs {
        self.origin_time + DurationMs(boot_ms().saturating_sub(self.origin_ms))
    }
}

fn boot_ms() -> u64 {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    // The time since boot is never negative.
    now.tv_sec as u64 * 1_000 + now.tv_nsec as u64 / 1_000_000
}

/// A clock that moves only when told to.
#[derive(Debug, Default)]
pub struct ManualClock {
    now_ms: AtomicU64,
}

impl ManualClock {
    /// Creates a clock that shows `now`.
    pub fn new(now: TimeMs) -> Self {
        ManualClock {
            now_ms: AtomicU64::new(now.0),
        }
    }

    /// Moves the clock forward.
    pub fn advance(&self, by: DurationMs) {
        self.now_ms.fetch_add(by.0, Ordering::SeqCst);
    }
}

impl Clock for ManualClock {
    fn now(&self) -> TimeMs {
        TimeMs(self.now_ms.load(Ordering::SeqCst))
    }
}

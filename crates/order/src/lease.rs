//! Leases that limit how many engines load weights at the same time.

use dw_base::DurationMs;
use dw_base::Incarnation;
use dw_base::NodeId;
use dw_base::TimeMs;
use serde::Deserialize;
use serde::Serialize;

/// Duration of a lease after its last write. A load takes up to about 1.3 s, or longer if several
/// run concurrently; the holder renews the lease during a load.
pub const LEASE_MS: DurationMs = DurationMs(10_000);

/// Additional time after the end of a lease before another agent may take it, to allow for clock
/// skew.
const CLOCK_SKEW_MS: DurationMs = DurationMs(2_000);

/// Time since the last write after which a lease must be renewed before use. It is short because
/// the holder may have been paused.
const MAX_UNRENEWED_MS: DurationMs = DurationMs(1_000);

/// Value of `lease/weights/<n>`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Lease {
    /// Agent that holds the lease.
    pub holder: NodeId,
    /// Incarnation of that agent.
    pub incarnation: Incarnation,
    /// Time at which the lease ends, on the clock of the holder.
    pub until: TimeMs,
}

/// A lease that the agent holds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeldLease {
    /// Number of the lease.
    pub slot: u64,
    /// Version of its key in the table.
    pub version: u64,
    /// Time at which the last write was started; the lease ends [`LEASE_MS`] later.
    pub written: TimeMs,
}

impl HeldLease {
    /// Returns whether the lease is recent enough to send an order without renewing it.
    pub fn confirmed(&self, now: TimeMs) -> bool {
        now.since(self.written) <= MAX_UNRENEWED_MS
    }

    /// Returns whether the lease is due for renewal: a third of its duration has passed.
    pub fn due(&self, now: TimeMs) -> bool {
        now.since(self.written).0 * 3 >= LEASE_MS.0
    }
}

/// A lease that can be acquired with a conditional write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AvailableLease {
    /// Number of the lease.
    pub slot: u64,
    /// Version that the key must have; 0 means that it must be absent.
    pub expected: u64,
}

/// All leases, read at the same time.
#[derive(Clone, Debug, Default)]
pub struct LeaseTable {
    /// Leases with the versions of their keys; `None` for keys that are absent.
    pub leases: Vec<Option<(Lease, u64)>>,
}

impl LeaseTable {
    /// Selects the lease that `me` holds, or else one that is absent or has expired.
    pub fn choose(&self, me: &NodeId, now: TimeMs) -> Option<AvailableLease> {
        let choice = |(slot, lease): (usize, &Option<(Lease, u64)>)| AvailableLease {
            slot: slot as u64,
            expected: lease.as_ref().map_or(0, |(_, version)| *version),
        };
        let is_own = |lease: &Lease| lease.holder == *me;
        let has_expired = |lease: &Lease| now > lease.until + CLOCK_SKEW_MS;
        let find = |test: &dyn Fn(&Lease) -> bool, absent: bool| {
            self.leases
                .iter()
                .enumerate()
                .find(|(_, slot)| slot.as_ref().map_or(absent, |(lease, _)| test(lease)))
                .map(choice)
        };
        find(&is_own, false).or_else(|| find(&has_expired, true))
    }
}

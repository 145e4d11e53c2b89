//! Leases that bound how many engines load weights at the same time.

use dw_base::DurationMs;
use dw_base::Incarnation;
use dw_base::NodeId;
use dw_base::TimeMs;
use serde::Deserialize;
use serde::Serialize;

/// Life of a lease from its last write. Loads take up to about 1.3 s, or longer when crowded, and
/// the holder writes the lease again during a load.
pub const LEASE_MS: DurationMs = DurationMs(10_000);

/// Time after the end of a lease until another agent takes it, for clocks that differ.
const SKEW_MS: DurationMs = DurationMs(2_000);

/// Age of the last confirmation beyond which a lease is written again before use. It is short,
/// because the holder may have been paused.
const CONFIRMED_MS: DurationMs = DurationMs(1_000);

/// Value of `lease/weights/<n>`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Lease {
    /// Agent that holds it.
    pub holder: NodeId,
    /// Incarnation of the agent.
    pub incarnation: Incarnation,
    /// End, on the clock of the holder.
    pub until: TimeMs,
}

/// A lease that the agent has written.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeldLease {
    /// Number of the lease.
    pub slot: u64,
    /// Version of its table key.
    pub version: u64,
    /// When the write was begun; the lease ends [`LEASE_MS`] later.
    pub written: TimeMs,
}

impl HeldLease {
    /// Returns whether an order may rely on the lease without writing it again.
    pub fn confirmed(&self, now: TimeMs) -> bool {
        now.since(self.written) <= CONFIRMED_MS
    }

    /// Returns whether a third of the life has passed.
    pub fn due(&self, now: TimeMs) -> bool {
        now.since(self.written).0 * 3 >= LEASE_MS.0
    }
}

/// A lease that can be taken by a conditional write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AvailableLease {
    /// Number of the lease.
    pub slot: u64,
    /// Version that the key must have; 0 means absent.
    pub expected: u64,
}

/// All leases as read at one moment.
#[derive(Clone, Debug, Default)]
pub struct LeaseTable {
    /// Leases and the versions of their keys; absent keys are `None`.
    pub leases: Vec<Option<(Lease, u64)>>,
}

impl LeaseTable {
    /// Chooses the own lease, or else one that is absent or has ended.
    pub fn choose(&self, me: &NodeId, now: TimeMs) -> Option<AvailableLease> {
        let choice = |(slot, lease): (usize, &Option<(Lease, u64)>)| AvailableLease {
            slot: slot as u64,
            expected: lease.as_ref().map_or(0, |(_, version)| *version),
        };
        let is_own = |lease: &Lease| lease.holder == *me;
        let ended = |lease: &Lease| now > lease.until + SKEW_MS;
        let find = |test: &dyn Fn(&Lease) -> bool, absent: bool| {
            self.leases
                .iter()
                .enumerate()
                .find(|(_, slot)| slot.as_ref().map_or(absent, |(lease, _)| test(lease)))
                .map(choice)
        };
        find(&is_own, false).or_else(|| find(&ended, true))
    }
}

//! Pauses between datagrams: those of announcements, and those that bound the bytes sent per second.

use dw_base::DurationMs;

/// Shortest time between two announcements of a router.
pub const ROUTER_MIN_PAUSE_MS: DurationMs = DurationMs(60);

/// Longest time that a router waits for a change before it announces its state again.
pub const ROUTER_MAX_PAUSE_MS: DurationMs = DurationMs(500);

/// Shortest time between two announcements of a relay.
pub const RELAY_MIN_PAUSE_MS: DurationMs = DurationMs(60);

/// Longest time between two announcements of a relay.
pub const RELAY_MAX_PAUSE_MS: DurationMs = DurationMs(500);

/// Shortest pause between two rounds of announcements of a relay.
pub const RELAY_ROUND_PAUSE_MS: DurationMs = DurationMs(20);

/// Rate limit for the datagrams that a relay sends to one kind of receivers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SendPacing {
    /// Shortest pause.
    pub min_pause_ms: DurationMs,
    /// Longest pause; takes precedence over `bytes_per_s`.
    pub max_pause_ms: DurationMs,
    /// Bytes per second to all receivers together.
    pub bytes_per_s: u64,
}

impl SendPacing {
    /// Returns the pause after a datagram of `bytes` was sent to each of `receivers` receivers.
    pub fn pause_ms(&self, bytes: usize, receivers: usize) -> DurationMs {
        let sent = bytes as u64 * receivers as u64;
        let pause_ms = DurationMs(sent * 1_000 / self.bytes_per_s.max(1));
        pause_ms.clamp(self.min_pause_ms, self.max_pause_ms)
    }
}

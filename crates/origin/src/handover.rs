//! Pace of a process that ends and tells others what it keeps.

use dw_base::DurationMs;

/// Number of streams that are handed over before a pause, so that no receiver is flooded.
pub const HANDOVER_BATCH: usize = 20;

/// Pause between two batches of a handover.
pub const HANDOVER_PAUSE_MS: DurationMs = DurationMs(10);

//! Batching of writes into transactions.

use dw_base::DurationMs;
use dw_base::TimeMs;

/// Maximum number of records written by one transaction.
pub const MAX_BATCH_ITEMS: usize = 25;

/// Maximum time for which a write waits for others.
pub const MAX_BATCH_WAIT_MS: DurationMs = DurationMs(20);

/// Collects items until the batch is full or the oldest item has waited for [`MAX_BATCH_WAIT_MS`].
#[derive(Debug)]
pub struct Batcher<T> {
    items: Vec<T>,
    oldest: Option<TimeMs>,
}

impl<T> Default for Batcher<T> {
    fn default() -> Self {
        Self::new()
    }
}

impl<T> Batcher<T> {
    /// Creates an empty batcher.
    pub fn new() -> Self {
        Batcher {
            items: Vec::new(),
            oldest: None,
        }
    }

    /// Adds an item; returns the batch if it is full.
    pub fn push(&mut self, item: T, now: TimeMs) -> Option<Vec<T>> {
        self.items.push(item);
        self.oldest.get_or_insert(now);
        (self.items.len() >= MAX_BATCH_ITEMS).then(|| self.take())
    }

    /// Returns the time at which the batch must be written, if it is not empty.
    pub fn due(&self) -> Option<TimeMs> {
        self.oldest.map(|oldest| oldest + MAX_BATCH_WAIT_MS)
    }

    /// Returns the batch if it is due.
    pub fn poll(&mut self, now: TimeMs) -> Option<Vec<T>> {
        self.due()
            .is_some_and(|due| now >= due)
            .then(|| self.take())
    }

    /// Returns the collected items and starts a new batch.
    pub fn take(&mut self) -> Vec<T> {
        self.oldest = None;
        std::mem::take(&mut self.items)
    }
}

//! Contention between concurrent weight loads of a deployment.

use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;

/// Tracks the concurrent weight loads of a deployment; loads above the limit are slowed down.
#[derive(Debug)]
pub struct WeightLoadTracker {
    limit: usize,
    running: AtomicUsize,
    peak: AtomicUsize,
}

/// A weight load in progress; dropping it ends the load.
#[derive(Debug)]
pub struct WeightLoad {
    tracker: Arc<WeightLoadTracker>,
    slowdown: f64,
}

impl WeightLoad {
    /// Returns the factor by which the duration of this load is multiplied.
    pub fn slowdown(&self) -> f64 {
        self.slowdown
    }
}

impl WeightLoadTracker {
    /// Creates a tracker; up to `limit` concurrent loads run at full speed.
    pub fn new(limit: usize) -> Self {
        WeightLoadTracker {
            limit: limit.max(1),
            running: AtomicUsize::new(0),
            peak: AtomicUsize::new(0),
        }
    }

    /// Returns the highest number of concurrent loads so far.
    pub fn peak(&self) -> usize {
        self.peak.load(Ordering::SeqCst)
    }

    /// Starts a load; its slowdown is fixed by the number of loads that run at this moment.
    pub fn begin(self: &Arc<Self>) -> WeightLoad {
        let running = self.running.fetch_add(1, Ordering::SeqCst) + 1;
        self.peak.fetch_max(running, Ordering::SeqCst);
        WeightLoad {
            tracker: Arc::clone(self),
            slowdown: (running as f64 / self.limit as f64).max(1.0),
        }
    }
}

impl Drop for WeightLoad {
    fn drop(&mut self) {
        self.tracker.running.fetch_sub(1, Ordering::SeqCst);
    }
}

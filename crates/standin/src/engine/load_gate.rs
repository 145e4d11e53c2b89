//! Counts the weight loads that run at once in a deployment.

use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;

/// Shared by the engines of one deployment; loads take longer when more than a limit run at once.
#[derive(Debug)]
pub struct LoadGate {
    limit: usize,
    running: AtomicUsize,
    most: AtomicUsize,
}

/// One load in progress; dropping it ends the load.
#[derive(Debug)]
pub struct Loading {
    gate: Arc<LoadGate>,
    factor: f64,
}

impl Loading {
    /// Returns the factor by which this load is slower than one within the limit.
    pub fn factor(&self) -> f64 {
        self.factor
    }
}

impl LoadGate {
    /// Creates a gate; up to `limit` loads at once run at full speed.
    pub fn new(limit: usize) -> Self {
        LoadGate {
            limit: limit.max(1),
            running: AtomicUsize::new(0),
            most: AtomicUsize::new(0),
        }
    }

    /// Returns the greatest number of loads that ran at once.
    pub fn most(&self) -> usize {
        self.most.load(Ordering::SeqCst)
    }

    /// Begins a load.
    pub fn enter(self: &Arc<Self>) -> Loading {
        let running = self.running.fetch_add(1, Ordering::SeqCst) + 1;
        self.most.fetch_max(running, Ordering::SeqCst);
        Loading {
            gate: Arc::clone(self),
            factor: (running as f64 / self.limit as f64).max(1.0),
        }
    }
}

impl Drop for Loading {
    fn drop(&mut self) {
        self.gate.running.fetch_sub(1, Ordering::SeqCst);
    }
}

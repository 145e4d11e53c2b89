//! Projection of when the request slots of the upstream become free.

/// Expected times until the slots of the upstream become free.
#[derive(Clone, Debug)]
pub(crate) struct LeaseTable {
    free_at_ms: Vec<f64>,
}

impl LeaseTable {
    /// Creates a projection from the remaining times of the running requests.
    pub(crate) fn new(count: usize, remaining_ms: impl Iterator<Item = f64>) -> Self {
        let mut free_at_ms: Vec<f64> = remaining_ms.collect();
        free_at_ms.resize(count.max(free_at_ms.len()).max(1), 0.0);
        LeaseTable { free_at_ms }
    }

    fn next_free(&self) -> usize {
        let indices = 0..self.free_at_ms.len();
        indices
            .min_by(|a, b| self.free_at_ms[*a].total_cmp(&self.free_at_ms[*b]))
            .unwrap_or_default()
    }

    /// Returns the time until the next slot becomes free.
    pub(crate) fn wait_ms(&self) -> f64 {
        self.free_at_ms[self.next_free()]
    }

    /// Assigns the next free slot to a request with this service time.
    pub(crate) fn assign(&mut self, service_ms: f64) {
        let next_free = self.next_free();
        self.free_at_ms[next_free] += service_ms;
    }
}

//! Projection of when the upstream has room.

/// Expected times at which the slots of the upstream become free.
#[derive(Clone, Debug)]
pub(crate) struct Slots {
    free_at_ms: Vec<f64>,
}

impl Slots {
    /// Creates the projection from the remaining times of the requests that run.
    pub(crate) fn new(count: usize, remaining_ms: impl Iterator<Item = f64>) -> Self {
        let mut free_at_ms: Vec<f64> = remaining_ms.collect();
        free_at_ms.resize(count.max(free_at_ms.len()).max(1), 0.0);
        Slots { free_at_ms }
    }

    fn first(&self) -> usize {
        let all = 0..self.free_at_ms.len();
        all.min_by(|a, b| self.free_at_ms[*a].total_cmp(&self.free_at_ms[*b]))
            .unwrap_or_default()
    }

    /// Returns the time until a slot is free.
    pub(crate) fn wait_ms(&self) -> f64 {
        self.free_at_ms[self.first()]
    }

    /// Gives the next free slot to a request.
    pub(crate) fn take(&mut self, service_ms: f64) {
        let first = self.first();
        self.free_at_ms[first] += service_ms;
    }
}

//! Random choice of items with skewed popularity.

use dw_base::Rng;
use rand::seq::SliceRandom;
use rand::RngExt;

/// Zipf distribution over the items `0..count`.
#[derive(Clone, Debug)]
pub struct Zipf {
    cumulative: Vec<f64>,
    items_by_rank: Vec<usize>,
}

impl Zipf {
    /// Creates a distribution over `count` items in which rank `r` has weight `1 / r^exponent`.
    ///
    /// Item `i` initially has rank `i + 1`.
    pub fn new(count: usize, exponent: f64) -> Self {
        let mut sum = 0.0;
        let cumulative = (1..=count.max(1))
            .map(|rank| {
                sum += (rank as f64).powf(-exponent);
                sum
            })
            .collect();
        Zipf {
            cumulative,
            items_by_rank: (0..count.max(1)).collect(),
        }
    }

    /// Assigns the ranks to the items at random.
    pub fn shuffle(&mut self, rng: &mut Rng) {
        self.items_by_rank.shuffle(rng);
    }

    /// Draws an item.
    pub fn choose(&self, rng: &mut Rng) -> usize {
        let total = self.cumulative.last().copied().unwrap_or(1.0);
        let threshold = rng.random::<f64>() * total;
        let rank = self.cumulative.partition_point(|sum| *sum <= threshold);
        self.items_by_rank[rank.min(self.items_by_rank.len() - 1)]
    }
}

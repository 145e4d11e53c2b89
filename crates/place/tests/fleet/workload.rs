//! Seeded random requests with nested prefixes.

use dw_base::seeded_rng;
use dw_base::BlockHash;
use dw_base::Chain;
use dw_base::Priority;
use dw_base::Rng;
use dw_base::Tokens;
use dw_base::BLOCK_TOKENS;
use rand::RngExt;

use super::engine::Job;

/// Parameters of a simulated deployment.
#[derive(Clone, Debug)]
pub(crate) struct Deployment {
    pub(crate) speeds: Vec<f64>,
    pub(crate) max_batch: u32,
    pub(crate) cache_blocks: usize,
    pub(crate) requests_per_s: f64,
    pub(crate) urgent_share: f64,
    /// Numbers of catalogues, venues per catalogue and clients per venue.
    pub(crate) fanout: [u64; 3],
    /// Blocks per catalogue, blocks per venue and maximum blocks per client.
    pub(crate) blocks: [u64; 3],
    pub(crate) decode_ms: (f64, f64),
    pub(crate) deadline_ms: f64,
    /// Whether agents exchange blocks through a KV store.
    pub(crate) kv_store: bool,
}

impl Deployment {
    pub(crate) fn division() -> Self {
        let speeds = [4, 4, 6, 8, 8, 10, 12, 16, 16];
        Deployment {
            speeds: speeds.iter().map(|k| f64::from(*k) * 1_000.0).collect(),
            max_batch: 16,
            cache_blocks: 220,
            requests_per_s: 7.2,
            urgent_share: 0.0,
            fanout: [8, 12, 12],
            blocks: [3, 4, 12],
            decode_ms: (1_000.0, 5_000.0),
            deadline_ms: 15_000.0,
            kv_store: true,
        }
    }

    pub(crate) fn letargo() -> Self {
        let speeds = [6, 6, 8, 8, 10, 12];
        Deployment {
            speeds: (0..18)
                .map(|i| f64::from(speeds[i % 6]) * 1_000.0)
                .collect(),
            max_batch: 16,
            cache_blocks: 120,
            requests_per_s: 39.0,
            urgent_share: 0.2,
            fanout: [8, 12, 25],
            blocks: [2, 2, 4],
            decode_ms: (500.0, 2_500.0),
            deadline_ms: 10_000.0,
            kv_store: true,
        }
    }
}

fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

fn block_hash(parent: u128, content: u64) -> u128 {
    let low = mix((parent as u64).wrapping_add(mix(content + 1)));
    let high = mix(((parent >> 64) as u64) ^ low.rotate_left(17) ^ content);
    u128::from(high) << 64 | u128::from(low)
}

/// Returns a random value from 0..n, with weight 1/(i+1) for i.
fn zipf(n: u64, rng: &mut Rng) -> u64 {
    let total: f64 = (1..=n).map(|i| 1.0 / i as f64).sum();
    let mut left = rng.random::<f64>() * total;
    for i in 0..n {
        left -= 1.0 / (i + 1) as f64;
        if left < 0.0 {
            return i;
        }
    }
    n - 1
}

/// Generator of requests.
pub(crate) struct Workload {
    deployment: Deployment,
    rng: Rng,
    shift: u64,
    next: usize,
}

impl Workload {
    pub(crate) fn new(deployment: &Deployment, seed: u64) -> Self {
        Workload {
            deployment: deployment.clone(),
            rng: seeded_rng(seed),
            shift: 0,
            next: 0,
        }
    }

    /// Shifts the popularity to other catalogues and venues.
    pub(crate) fn shift(&mut self) {
        self.shift += 5;
    }

    /// Returns the time until the next request.
    pub(crate) fn next_arrival_ms(&mut self) -> f64 {
        let u: f64 = self.rng.random();
        -(1.0 - u).ln() * 1_000.0 / self.deployment.requests_per_s
    }

    pub(crate) fn request(&mut self, router: usize, now: f64) -> Job {
        let deployment = &self.deployment;
        let rng = &mut self.rng;
        let urgent = rng.random::<f64>() < deployment.urgent_share;
        let catalogue = (zipf(deployment.fanout[0], rng) + self.shift) % deployment.fanout[0];
        let venue = (zipf(deployment.fanout[1], rng) + self.shift) % deployment.fanout[1];
        let client = zipf(deployment.fanout[2], rng);
        // The number of blocks of a client is the same in all its requests.
        let client_blocks =
            mix(catalogue * 10_007 + venue * 101 + client) % (deployment.blocks[2] + 1);
        let mut contents = vec![catalogue; deployment.blocks[0] as usize];
        contents.extend(vec![1_000 + venue; deployment.blocks[1] as usize]);
        // An urgent request contains at most one block of its client's record.
        let own = if urgent {
            client_blocks.min(1)
        } else {
            client_blocks
        };
        contents.extend(vec![2_000 + client; own as usize]);
        let mut parent = 7;
        let blocks: Vec<BlockHash> = contents
            .into_iter()
            .map(|content| {
                parent = block_hash(parent, content);
                BlockHash(parent)
            })
            .collect();
        let tail = if urgent { 50..300 } else { 300..1_500 };
        let prompt = blocks.len() as u64 * BLOCK_TOKENS + rng.random_range(tail);
        let decode = rng.random_range(deployment.decode_ms.0..deployment.decode_ms.1);
        self.next += 1;
        Job {
            id: self.next,
            router,
            chain: Chain {
                root: BlockHash(7),
                blocks,
                prompt_tokens: Tokens(prompt),
            },
            priority: if urgent {
                Priority::Urgent
            } else {
                Priority::Normal
            },
            arrived_ms: now,
            queued_ms: now,
            deadline_ms: now
                + if urgent {
                    3_000.0
                } else {
                    deployment.deadline_ms
                },
            decode_ms: if urgent { decode / 5.0 } else { decode },
            excluded: Vec::new(),
            known: Vec::new(),
            interrupted: None,
        }
    }
}

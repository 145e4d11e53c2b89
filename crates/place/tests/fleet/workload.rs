//! Seeded requests with nested prefixes.

use dw_base::seeded_rng;
use dw_base::BlockHash;
use dw_base::Chain;
use dw_base::Priority;
use dw_base::Rng;
use dw_base::Tokens;
use dw_base::BLOCK_TOKENS;
use rand::RngExt;

use super::engine::Job;

/// Sizes of one deployment.
#[derive(Clone, Debug)]
pub(crate) struct Deployment {
    pub(crate) speeds: Vec<f64>,
    pub(crate) max_batch: u32,
    pub(crate) cache_blocks: usize,
    pub(crate) requests_per_s: f64,
    pub(crate) urgent_share: f64,
    /// Catalogues, venues a catalogue, clients a venue.
    pub(crate) fanout: [u64; 3],
    /// Pieces of a catalogue and of a venue, most pieces of a client.
    pub(crate) pieces: [u64; 3],
    pub(crate) decode_ms: (f64, f64),
    pub(crate) deadline_ms: f64,
    /// Whether the agents exchange cache pieces through a KV store.
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
            pieces: [3, 4, 12],
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
            pieces: [2, 2, 4],
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

fn block(parent: u128, piece: u64) -> u128 {
    let low = mix((parent as u64).wrapping_add(mix(piece + 1)));
    let high = mix(((parent >> 64) as u64) ^ low.rotate_left(17) ^ piece);
    u128::from(high) << 64 | u128::from(low)
}

/// Draws from 0..n, with weight 1/(i+1).
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

/// Source of requests.
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

    /// Makes other catalogues and venues hot.
    pub(crate) fn shift(&mut self) {
        self.shift += 5;
    }

    /// Time to the next request.
    pub(crate) fn gap_ms(&mut self) -> f64 {
        let u: f64 = self.rng.random();
        -(1.0 - u).ln() * 1_000.0 / self.deployment.requests_per_s
    }

    pub(crate) fn request(&mut self, router: usize, now: f64) -> Job {
        let d = &self.deployment;
        let rng = &mut self.rng;
        let urgent = rng.random::<f64>() < d.urgent_share;
        let catalogue = (zipf(d.fanout[0], rng) + self.shift) % d.fanout[0];
        let venue = (zipf(d.fanout[1], rng) + self.shift) % d.fanout[1];
        let client = zipf(d.fanout[2], rng);
        // The length of a client's part belongs to the client.
        let client_pieces = mix(catalogue * 10_007 + venue * 101 + client) % (d.pieces[2] + 1);
        let mut pieces = vec![catalogue; d.pieces[0] as usize];
        pieces.extend(vec![1_000 + venue; d.pieces[1] as usize]);
        // A flag asks about a client with no more than the newest piece of its record.
        let own = if urgent {
            client_pieces.min(1)
        } else {
            client_pieces
        };
        pieces.extend(vec![2_000 + client; own as usize]);
        let mut parent = 7;
        let blocks: Vec<BlockHash> = pieces
            .into_iter()
            .map(|piece| {
                parent = block(parent, piece);
                BlockHash(parent)
            })
            .collect();
        let tail = if urgent { 50..300 } else { 300..1_500 };
        let prompt = blocks.len() as u64 * BLOCK_TOKENS + rng.random_range(tail);
        let decode = rng.random_range(d.decode_ms.0..d.decode_ms.1);
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
            deadline_ms: now + if urgent { 3_000.0 } else { d.deadline_ms },
            decode_ms: if urgent { decode / 5.0 } else { decode },
            excluded: Vec::new(),
            known: Vec::new(),
            interrupted: None,
        }
    }
}

//! Newest chains of one engine, reported to each router once.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use dw_base::Chain;
use dw_base::Fingerprint;
use dw_base::Incarnation;
use dw_base::NodeId;

/// Maximum number of retained chains. Routers that send requests less often miss the older ones.
const MAX_CHAINS: usize = 4;

/// Maximum number of retained blocks per chain.
const MAX_BLOCKS: usize = 24;

/// Maximum number of tracked routers; the one with the oldest report is dropped first.
const MAX_ROUTERS: usize = 1_024;

#[derive(Debug)]
struct RecentChain {
    seq: u64,
    router: NodeId,
    blocks: Vec<Fingerprint>,
}

/// The newest chains that an engine has computed.
///
/// Each router sees only part of the traffic. Without these reports, a router's hints miss the blocks
/// cached by requests of other routers; in the fleet model with 4 routers, that lowers the hit rate
/// by 0.03.
#[derive(Debug, Default)]
pub struct RecentChains {
    incarnation: Incarnation,
    last_seq: u64,
    chains: VecDeque<RecentChain>,
    reported: BTreeMap<NodeId, u64>,
}

impl RecentChains {
    /// Creates an empty list.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds the chain of a router's request that the engine has started to answer. A new incarnation of
    /// the engine clears the list.
    pub fn add(&mut self, incarnation: Incarnation, router: &NodeId, chain: &Chain) {
        if self.incarnation != incarnation {
            self.incarnation = incarnation;
            self.chains.clear();
        }
        let blocks = chain.blocks.iter().take(MAX_BLOCKS);
        let blocks = blocks.map(|block| block.fingerprint()).collect();
        self.last_seq += 1;
        self.chains.push_back(RecentChain {
            seq: self.last_seq,
            router: router.clone(),
            blocks,
        });
        if self.chains.len() > MAX_CHAINS {
            self.chains.pop_front();
        }
    }

    /// Returns the blocks of other routers' chains not yet reported to `router`, without duplicates.
    pub fn take_unreported(&mut self, router: &NodeId) -> Vec<Fingerprint> {
        let reported = self.reported.insert(router.clone(), self.last_seq);
        let reported = reported.unwrap_or_default();
        self.drop_oldest_router();
        let mut blocks = Vec::new();
        let unreported = self.chains.iter().filter(|chain| chain.seq > reported);
        for chain in unreported.filter(|chain| chain.router != *router) {
            for block in &chain.blocks {
                if !blocks.contains(block) {
                    blocks.push(*block);
                }
            }
        }
        blocks
    }

    fn drop_oldest_router(&mut self) {
        if self.reported.len() <= MAX_ROUTERS {
            return;
        }
        let oldest = self.reported.iter().min_by_key(|(_, seq)| **seq);
        if let Some(router) = oldest.map(|(router, _)| router.clone()) {
            self.reported.remove(&router);
        }
    }
}

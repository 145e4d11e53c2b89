//! Processes of a fleet in virtual time, and what they hear.

use std::net::SocketAddr;

use dw_base::QuotaLimit;
use dw_base::TimeMs;
use dw_quota::Counter;
use dw_quota::Requester;

use crate::data::addr;

/// Age at which a sidecar that is not heard counts as gone.
const EXPIRY_MS: u64 = 1_300;

/// A sidecar that counts.
pub(crate) struct Sidecar {
    pub(crate) counter: Counter,
    /// When each sidecar was last heard; 0 if never.
    pub(crate) heard: Vec<u64>,
    /// Until when it is not there.
    pub(crate) gone_until: u64,
    pub(crate) frozen_until: u64,
    pub(crate) cut_until: u64,
    /// Until when it hears no other sidecar, though routers hear it.
    pub(crate) deaf_until: u64,
    /// Until when it is slow, and how long its answers then take.
    pub(crate) slow: (u64, u64),
}

impl Sidecar {
    pub(crate) fn new(own: usize, sidecars: usize, now: u64) -> Self {
        Sidecar {
            counter: Counter::new(addr(own), TimeMs(now)),
            heard: vec![0; sidecars],
            gone_until: 0,
            frozen_until: 0,
            cut_until: 0,
            deaf_until: 0,
            slow: (0, 0),
        }
    }

    pub(crate) fn runs(&self, now: u64) -> bool {
        now >= self.frozen_until.max(self.gone_until)
    }

    pub(crate) fn is_reachable(&self, now: u64) -> bool {
        self.runs(now) && now >= self.cut_until
    }
}

/// A router.
pub(crate) struct Router {
    pub(crate) requester: Requester,
    pub(crate) heard: Vec<u64>,
    pub(crate) cut_until: u64,
    /// Quota of each organisation that it knows.
    pub(crate) limits: Vec<QuotaLimit>,
    pub(crate) number: u32,
}

impl Router {
    pub(crate) fn new(sidecars: usize, limits: Vec<QuotaLimit>) -> Self {
        Router {
            requester: Requester::default(),
            heard: vec![0; sidecars],
            cut_until: 0,
            limits,
            number: 0,
        }
    }
}

/// Returns the sidecars that were heard lately, and this one.
pub(crate) fn live(heard: &[u64], own: Option<usize>, now: u64) -> Vec<SocketAddr> {
    let is_live = |at: &usize| Some(*at) == own || (heard[*at] > 0 && now < heard[*at] + EXPIRY_MS);
    (0..heard.len()).filter(is_live).map(addr).collect()
}

//! Questions of one router to the counters.

use std::collections::HashMap;

use dw_base::DurationMs;
use dw_base::OrgId;
use dw_base::QuotaAmount;
use dw_base::QuotaLimit;
use dw_base::TimeMs;
use dw_wire::QuotaResult;

/// Part of its equal share that a router uses while no counter answers it.
pub const ISOLATED_FRACTION: f64 = 0.25;

/// Shortest time after which a request that found no counter and no turn may come back.
const MIN_ISOLATED_WAIT_MS: DurationMs = DurationMs(200);

/// Longest time after which it may come back, as the counter may answer again.
const MAX_ISOLATED_WAIT_MS: DurationMs = DurationMs(1_000);

/// Time for which a turn that is not used stays valid.
const TURN_MS: DurationMs = DurationMs(1_000);

/// Number of urgencies; 0 is the most urgent.
const URGENCIES: usize = 10;

/// A router's use of a quota without a counter.
#[derive(Clone, Copy, Debug)]
pub struct Isolated {
    /// Quota.
    pub limit: QuotaLimit,
    /// Number of routers that share it, as last known; 0 if it was never known.
    pub routers: u32,
    /// Hash of the router's name, uniformly distributed.
    pub router_hash: u32,
}

#[derive(Clone, Copy, Debug, Default)]
struct Asked {
    /// Until when requests of each urgency are denied.
    denied_until: [TimeMs; URGENCIES],
    /// When this router has its next turn without a counter.
    next_turn: TimeMs,
}

/// What a router knows of the answers of the counters.
#[derive(Clone, Debug, Default)]
pub struct Requester {
    asked: HashMap<OrgId, Asked>,
}

impl Requester {
    /// Returns until when a request of this urgency is denied, if that is known.
    pub fn denied_until(&self, org: &OrgId, urgency: u8, now: TimeMs) -> Option<TimeMs> {
        let until = self.asked.get(org)?.denied_until[index(urgency)];
        (now < until).then_some(until)
    }

    /// Records the answer of a counter; returns the time to wait if the request may not be sent.
    ///
    /// # Errors
    ///
    /// Returns the time after which a request of this urgency may be sent.
    pub fn record(
        &mut self,
        org: &OrgId,
        urgency: u8,
        result: QuotaResult,
        now: TimeMs,
    ) -> Result<(), DurationMs> {
        let wait_ms = match result {
            QuotaResult::Granted => return Ok(()),
            QuotaResult::Denied(wait_ms) => wait_ms,
            QuotaResult::NotCounter => return Err(MIN_ISOLATED_WAIT_MS),
        };
        // Less urgent requests are granted no sooner.
        let asked = self.asked.entry(org.clone()).or_default();
        for until in &mut asked.denied_until[index(urgency)..] {
            *until = (*until).max(now + wait_ms);
        }
        Err(wait_ms)
    }

    /// Decides without a counter.
    ///
    /// The routers take turns, each as far apart as its part of its share needs to cover the last
    /// request, and an unused turn lapses: requests that hundreds of routers saved up would be more than a
    /// small quota allows.
    ///
    /// # Errors
    ///
    /// Returns the time after which the request may come back.
    pub fn take_isolated(
        &mut self,
        org: &OrgId,
        amount: QuotaAmount,
        share: &Isolated,
        now: TimeMs,
    ) -> Result<(), DurationMs> {
        if share.routers == 0 || share.limit.rate.0 == 0 {
            return Err(MIN_ISOLATED_WAIT_MS);
        }
        let rate_per_ms = share.limit.rate.per_s() * ISOLATED_FRACTION / 1_000.0;
        let interval_ms = amount.0 as f64 * f64::from(share.routers) / rate_per_ms;
        let asked = self.asked.entry(org.clone()).or_default();
        if now >= asked.next_turn + TURN_MS {
            let place = f64::from(share.router_hash) / f64::from(u32::MAX);
            asked.next_turn = now + DurationMs((interval_ms * place).ceil() as u64);
        }
        if now >= asked.next_turn {
            asked.next_turn = now + DurationMs(interval_ms.ceil() as u64);
            return Ok(());
        }
        let wait_ms = asked.next_turn.since(now);
        Err(wait_ms.clamp(MIN_ISOLATED_WAIT_MS, MAX_ISOLATED_WAIT_MS))
    }

    /// Removes the state of organisations for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&OrgId) -> bool) {
        self.asked.retain(|org, _| keep(org));
    }
}

fn index(urgency: u8) -> usize {
    usize::from(urgency).min(URGENCIES - 1)
}

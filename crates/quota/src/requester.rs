//! Questions of one router to the counters.

use std::collections::HashMap;

use dw_base::DurationMs;
use dw_base::OrgId;
use dw_base::QuotaAmount;
use dw_base::QuotaLimit;
use dw_base::TimeMs;
use dw_wire::QuotaResult;

use crate::claim::Claim;

/// Part of its equal share that a router uses while no counter answers it.
pub const ISOLATED_FRACTION: f64 = 0.05;

/// Shortest time after which a request that found no counter and no turn may come back.
const MIN_ISOLATED_WAIT_MS: DurationMs = DurationMs(200);

/// Longest time after which it may come back, as the counter may answer again.
const MAX_ISOLATED_WAIT_MS: DurationMs = DurationMs(1_000);

/// Time for which a turn that is not used stays valid.
const TURN_MS: DurationMs = DurationMs(1_000);

/// Longest time for which a denial is applied without another question: others may have given something
/// back, or the quota may have been raised.
const MAX_CACHED_DENIAL_MS: DurationMs = DurationMs(1_000);

/// A router's place among those that use a quota without a counter.
#[derive(Clone, Copy, Debug)]
pub struct Isolated {
    /// Number of routers that share it, as last known; 0 if it was never known.
    pub routers: u32,
    /// Hash of the router's name, uniformly distributed.
    pub router_hash: u32,
}

/// Answer of a counter to requests of one urgency.
#[derive(Clone, Copy, Debug)]
struct Denial {
    urgency: u8,
    /// Least amount that is denied.
    amount: QuotaAmount,
    limit: QuotaLimit,
    until: TimeMs,
    ask_again: TimeMs,
}

#[derive(Clone, Debug, Default)]
struct Asked {
    denials: Vec<Denial>,
    /// When the time to this router's next turn without a counter begins.
    turn_from: Option<TimeMs>,
}

/// What a router knows of the answers of the counters.
#[derive(Clone, Debug, Default)]
pub struct Requester {
    asked: HashMap<OrgId, Asked>,
}

impl Requester {
    /// Memory of an organisation, without its name and denials.
    pub const ORGANISATION_BYTES: usize = size_of::<(OrgId, Asked)>();

    /// Memory of the last denial of one urgency.
    pub const DENIAL_BYTES: usize = size_of::<Denial>();

    /// Returns until when a request is denied, if that is known.
    ///
    /// Less urgent requests have a part of the quota of their own, so that the denial of an urgent one does
    /// not apply to them.
    pub fn denied_until(&self, claim: &Claim, now: TimeMs) -> Option<TimeMs> {
        let denials = &self.asked.get(&claim.org)?.denials;
        let denial = denials.iter().find(|denial| {
            denial.urgency == claim.urgency
                && denial.amount <= claim.amount
                && denial.limit == claim.limit
                && now < denial.until.min(denial.ask_again)
        });
        denial.map(|denial| denial.until)
    }

    /// Records the answer of a counter.
    ///
    /// # Errors
    ///
    /// Returns the time after which a request like this one may be sent.
    pub fn record(
        &mut self,
        claim: &Claim,
        result: QuotaResult,
        now: TimeMs,
    ) -> Result<(), DurationMs> {
        let wait_ms = match result {
            QuotaResult::Granted => return Ok(()),
            QuotaResult::Denied(wait_ms) => wait_ms,
            QuotaResult::NotCounter => return Err(MIN_ISOLATED_WAIT_MS),
        };
        let denials = &mut self.asked.entry(claim.org.clone()).or_default().denials;
        denials.retain(|denial| denial.urgency != claim.urgency);
        denials.push(Denial {
            urgency: claim.urgency,
            amount: claim.amount,
            limit: claim.limit,
            until: now + wait_ms,
            ask_again: now + MAX_CACHED_DENIAL_MS,
        });
        Err(wait_ms)
    }

    /// Decides without a counter.
    ///
    /// The routers take turns, as far apart as their part of the share needs to cover the request, and a
    /// turn that is not used lapses: requests that hundreds of routers saved up would be more than a small
    /// quota allows. The time to a turn depends on the request, as all routers may send a long one after a
    /// short one.
    ///
    /// # Errors
    ///
    /// Returns the time after which the request may come back.
    pub fn take_isolated(
        &mut self,
        claim: &Claim,
        share: &Isolated,
        now: TimeMs,
    ) -> Result<(), DurationMs> {
        if share.routers == 0 || claim.limit.rate.0 == 0 {
            return Err(MIN_ISOLATED_WAIT_MS);
        }
        let rate_per_ms = claim.limit.rate.per_s() * ISOLATED_FRACTION / 1_000.0;
        let interval_ms = claim.amount.0 as f64 * f64::from(share.routers) / rate_per_ms;
        let place = f64::from(share.router_hash) / f64::from(u32::MAX);
        let to_turn_ms = DurationMs((interval_ms * place).ceil() as u64);
        let asked = self.asked.entry(claim.org.clone()).or_default();
        let from = asked
            .turn_from
            .filter(|from| now < *from + to_turn_ms + TURN_MS);
        let turn = from.unwrap_or(now) + to_turn_ms;
        if now >= turn {
            let rest_ms = DurationMs((interval_ms * (1.0 - place)).ceil() as u64);
            asked.turn_from = Some(now + rest_ms);
            return Ok(());
        }
        asked.turn_from = Some(from.unwrap_or(now));
        Err(turn
            .since(now)
            .clamp(MIN_ISOLATED_WAIT_MS, MAX_ISOLATED_WAIT_MS))
    }

    /// Removes the state of organisations for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&OrgId) -> bool) {
        self.asked.retain(|org, _| keep(org));
    }
}

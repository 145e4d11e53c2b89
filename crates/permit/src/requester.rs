//! Requests of one router for permits.

use std::collections::HashMap;

use dw_base::DurationMs;
use dw_base::RequestsPerS;
use dw_base::TimeMs;
use dw_limit::Turns;
use dw_wire::PermitResult;
use dw_wire::UpstreamStart;

/// Time after which an issuer that gave no answer, or that is none, is asked again.
const RETRY_MS: DurationMs = DurationMs(200);

/// Part of a limit that routers which hear no other process use together.
const ISOLATED_FRACTION: f64 = 0.5;

/// Lowest rate of all routers together that hear no other process, so that a changed limit shows.
const ISOLATED_PROBES_PER_S: f64 = 0.1;

/// A router's use of an upstream without an issuer.
#[derive(Clone, Copy, Debug)]
pub struct Isolated {
    /// Limit of the upstream.
    pub limit: RequestsPerS,
    /// Number of routers that share it, as last known; 0 if it was never known.
    pub routers: u32,
    /// Hash of the router's name, uniformly distributed.
    pub router_hash: u32,
}

#[derive(Clone, Copy, Debug, Default)]
struct Asked {
    denied_until: TimeMs,
    /// Turns at the limit without an issuer.
    turns: Turns,
}

/// When a router may ask again for permits of upstreams.
#[derive(Clone, Debug, Default)]
pub struct Requester {
    asked: HashMap<UpstreamStart, Asked>,
}

impl Requester {
    /// Returns until when no permit is to be had for an upstream, if that is known.
    pub fn denied_until(&self, upstream: UpstreamStart, now: TimeMs) -> Option<TimeMs> {
        let until = self.asked.get(&upstream)?.denied_until;
        (now < until).then_some(until)
    }

    /// Records the answer of the issuer, or none in time; returns whether the request may be sent.
    pub fn record(
        &mut self,
        upstream: UpstreamStart,
        result: Option<PermitResult>,
        now: TimeMs,
    ) -> bool {
        let pause_ms = match result {
            Some(PermitResult::Granted) => return true,
            Some(PermitResult::Denied(pause_ms)) => pause_ms,
            Some(PermitResult::NotIssuer) | None => RETRY_MS,
        };
        self.asked.entry(upstream).or_default().denied_until = now + pause_ms;
        false
    }

    /// Decides without an issuer, for a router that hears no other process; returns whether the
    /// request may be sent.
    ///
    /// Each router has one turn in a cycle: permits saved by hundreds of routers would be more than a
    /// small limit allows.
    pub fn take_isolated(
        &mut self,
        upstream: UpstreamStart,
        share: &Isolated,
        now: TimeMs,
    ) -> bool {
        let asked = self.asked.entry(upstream).or_default();
        if share.routers == 0 {
            asked.denied_until = now + RETRY_MS;
            return false;
        }
        let rate_per_s = (share.limit.get() * ISOLATED_FRACTION).max(ISOLATED_PROBES_PER_S);
        let cycle_ms = (f64::from(share.routers) * 1_000.0 / rate_per_s).ceil() as u64;
        match asked
            .turns
            .take(DurationMs(cycle_ms), share.router_hash, now)
        {
            Ok(()) => true,
            Err(next_ms) => {
                asked.denied_until = now + next_ms.min(RETRY_MS);
                false
            }
        }
    }

    /// Removes the state of upstreams for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(UpstreamStart) -> bool) {
        self.asked.retain(|upstream, _| keep(*upstream));
    }
}

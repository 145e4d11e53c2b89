//! Issues the permits of upstreams with a limit.

use std::collections::HashMap;
use std::net::SocketAddr;

use dw_base::DurationMs;
use dw_base::RequestsPerS;
use dw_base::TimeMs;
use dw_limit::Bucket;
use dw_wire::LimitReport;
use dw_wire::PermitResult;
use dw_wire::UpstreamStart;

use crate::limits::UpstreamLimits;
use crate::order::first_issuer;

/// Fraction of a limit that is issued. The remainder is for requests that are delayed on their way and
/// then arrive together with later ones.
const ISSUED_FRACTION: f64 = 0.9;

/// Lowest rate at which permits are issued: under a limit of next to nothing, the answers to these
/// requests show when it changes.
const PROBES_PER_S: f64 = 0.2;

/// Most permits that are saved up for later.
const BURST: f64 = 2.0;

/// Longest time between two calls of [`Issuer::tick`] of a process that was not stopped meanwhile.
const MAX_TICK_GAP_MS: DurationMs = DurationMs(1_500);

/// Time for which the next permit is kept for a request that is as urgent as one that got none.
const RESERVATION_MS: DurationMs = DurationMs(500);

/// Shortest time after which a router that got no permit is to ask again.
const MIN_DENIAL_MS: DurationMs = DurationMs(20);

/// Longest time after which a router that got no permit is to ask again, as the limit may have risen.
const MAX_DENIAL_MS: DurationMs = DurationMs(2_000);

/// Time after which the state of an upstream is dropped if no permit was requested.
const IDLE_EXPIRY_MS: DurationMs = DurationMs(60_000);

/// Maximum number of upstreams with a state.
const MAX_UPSTREAMS: usize = 4_096;

/// Requests that got no permit lately.
#[derive(Clone, Copy, Debug)]
struct Reservation {
    priority: u8,
    until: TimeMs,
}

#[derive(Clone, Debug)]
struct Issued {
    bucket: Bucket,
    reservation: Option<Reservation>,
    requested_at: TimeMs,
}

/// Issuer of permits in one process.
///
/// Processes take over from each other without an agreement. For a moment two may issue, which the
/// issued fraction of a limit leaves room for, as each begins without saved permits.
#[derive(Clone, Debug)]
pub struct Issuer {
    own: SocketAddr,
    limits: UpstreamLimits,
    issued: HashMap<UpstreamStart, Issued>,
    ticked_at: TimeMs,
}

impl Issuer {
    /// Creates an issuer in the process beside the engine at `own`.
    pub fn new(own: SocketAddr, now: TimeMs) -> Self {
        Issuer {
            own,
            limits: UpstreamLimits::default(),
            issued: HashMap::new(),
            ticked_at: now,
        }
    }

    /// Drops state that has expired; must be called at least every second.
    pub fn tick(&mut self, now: TimeMs) {
        self.restart_after_gap(now);
        self.limits.expire(now);
        self.issued
            .retain(|_, issued| now.since(issued.requested_at) < IDLE_EXPIRY_MS);
    }

    /// Discards saved permits if this process was stopped, as another has taken over meanwhile.
    fn restart_after_gap(&mut self, now: TimeMs) {
        if now.since(self.ticked_at) > MAX_TICK_GAP_MS {
            self.issued.clear();
        }
        self.ticked_at = now;
    }

    /// Decides about a request of a router that knows of a limit of an upstream. `live` are the
    /// candidates from which announcements arrive, and this process.
    pub fn request(
        &mut self,
        report: &LimitReport,
        priority: u8,
        live: impl Iterator<Item = SocketAddr>,
        now: TimeMs,
    ) -> PermitResult {
        self.restart_after_gap(now);
        self.limits.merge(&[*report], now);
        let upstream = report.upstream;
        if first_issuer(upstream, live) != Some(self.own) {
            self.issued.remove(&upstream);
            return PermitResult::NotIssuer;
        }
        let Some(limit) = self.limits.get(upstream) else {
            // A later answer than the one that the router knows has withdrawn the limit.
            return PermitResult::Granted;
        };
        match self.issued(upstream, limit, now) {
            Some(issued) => issued.take(priority, now),
            None => PermitResult::Denied(MAX_DENIAL_MS),
        }
    }

    fn issued(
        &mut self,
        upstream: UpstreamStart,
        limit: RequestsPerS,
        now: TimeMs,
    ) -> Option<&mut Issued> {
        if !self.issued.contains_key(&upstream) && self.issued.len() >= MAX_UPSTREAMS {
            return None;
        }
        let rate = rate(limit);
        let issued = self.issued.entry(upstream).or_insert_with(|| Issued {
            bucket: Bucket::new(rate, BURST, now),
            reservation: None,
            requested_at: now,
        });
        issued.requested_at = now;
        issued.bucket.set_rate(rate, BURST, now);
        Some(issued)
    }
}

/// Returns the permits per second under a limit.
fn rate(limit: RequestsPerS) -> f64 {
    (limit.get() * ISSUED_FRACTION).max(PROBES_PER_S)
}

impl Issued {
    fn take(&mut self, priority: u8, now: TimeMs) -> PermitResult {
        let reserved = self.reservation.filter(|kept| now < kept.until);
        let is_kept = reserved.is_some_and(|kept| kept.priority < priority);
        if !is_kept && self.bucket.take(1.0, now) {
            self.reservation = None;
            return PermitResult::Granted;
        }
        if !is_kept {
            self.reservation = Some(Reservation {
                priority,
                until: now + RESERVATION_MS,
            });
        }
        let wait_ms = self.bucket.wait_ms(1.0, now);
        PermitResult::Denied(wait_ms.clamp(MIN_DENIAL_MS, MAX_DENIAL_MS))
    }
}

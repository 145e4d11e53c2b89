//! Named parts of what may be used beyond a quota.

use dw_base::QuotaLimit;
use dw_quota::ISOLATED_FRACTION;
use dw_quota::LESS_URGENT_DEBT_FRACTION;
use dw_quota::MIN_BURST_MS;

use crate::data::limit;
use crate::fleet::allowed;
use crate::fleet::WINDOW_MS;

/// Largest request of the deployments.
const LARGEST_REQUEST: f64 = 71_000.0;

/// Longest time from a grant to the arrival at an upstream.
const ARRIVAL_MS: f64 = 300.0;

/// Returns the parts in tokens, with the routers that hear no sidecar.
fn parts(limit: QuotaLimit, (routers, isolated): (u32, u32)) -> [(&'static str, f64); 7] {
    let rate_per_ms = limit.rate.per_s() / 1_000.0;
    let burst = limit.burst.0 as f64;
    let window = rate_per_ms * WINDOW_MS as f64;
    let is_isolated = f64::from(u8::from(isolated > 0));
    [
        ("overdraft of one request", LARGEST_REQUEST),
        ("less urgent debt", burst * LESS_URGENT_DEBT_FRACTION),
        // The new counter begins when the other one has heard it, and grants no debts for a window.
        ("overlap of two counters", 0.0),
        (
            "shares of isolated routers",
            window * ISOLATED_FRACTION * f64::from(isolated) / f64::from(routers),
        ),
        // The turns are uniform, but a request is not divided.
        (
            "one request of an isolated router",
            is_isolated * LARGEST_REQUEST,
        ),
        ("least burst", (rate_per_ms * MIN_BURST_MS - burst).max(0.0)),
        ("requests on their way", rate_per_ms * ARRIVAL_MS),
    ]
}

/// Guards against a mechanism whose parts together exceed what the deployments allow.
#[test]
fn sum_of_the_parts_is_allowed() {
    for routers in [25, 45, 340] {
        for rate in [709_743, 36_000] {
            for isolated in [0, 1, routers / 4, routers] {
                let limit = limit(1, rate, rate);
                let quota = rate * WINDOW_MS / 1_000 + rate;
                let excess = allowed(limit) - quota;
                let parts = parts(limit, (routers, isolated));
                let sum: f64 = parts.iter().map(|(_, amount)| amount).sum();
                println!("{routers} routers, {isolated} isolated, {rate}/s: {sum:.0} of {excess}, {parts:.0?}");
                assert!(sum <= excess as f64, "{sum:.0} of {excess}: {parts:.0?}");
            }
        }
    }
}

//! Rules for a request whose head has been read and whose body has not.
//!
//! Load pattern: callers send ten times the usual load, most of which is refused. A refusal here costs
//! neither the memory of a body nor a placement. The rules are checked in this order:
//!
//! | rule | if it does not hold |
//! | --- | --- |
//! | the configuration is not older than it may be ([`is_stale`]) | 503 |
//! | [`dw_admit::Congestion`]: the gateway's own tasks run in time | 503, least urgent first |
//! | the quota of its organisation is not known to be used up | 429 |

use dw_admit::retry_after;
use dw_admit::retry_after_overload;
use dw_base::DurationMs;
use dw_port::RequestHead;
use dw_route::Resolved;

use crate::answer::GatewayAnswer;
use crate::configuration_lag::is_stale;
use crate::quotas;
use crate::request::request_hash;
use crate::shared::Shared;

/// Returns the answer to a request that is refused without its body being read.
pub(crate) fn check(
    shared: &Shared,
    request_head: &RequestHead,
    resolved: &Resolved,
    remaining_ms: DurationMs,
) -> Option<GatewayAnswer> {
    let point = request_hash(&request_head.request_id);
    if is_stale(shared, shared.now()) {
        return Some(GatewayAnswer::NotRun {
            reason: "configuration_stale",
            retry_after_ms: retry_after(remaining_ms, point),
        });
    }
    let mut congestion = shared.congestion.borrow_mut();
    if congestion.refuses(priority(resolved), point, shared.now()) {
        return Some(GatewayAnswer::NotRun {
            reason: "congested",
            retry_after_ms: retry_after_overload(remaining_ms, point),
        });
    }
    drop(congestion);
    quotas::known_denial(shared, (request_head, resolved), (remaining_ms, point))
}

/// Returns the priority of a request; 0 is the highest.
pub(crate) fn priority(resolved: &Resolved) -> u8 {
    let organisation = resolved.organisation.as_ref();
    let priority = organisation.and_then(|organisation| organisation.priority);
    priority.unwrap_or(resolved.route.priority)
}

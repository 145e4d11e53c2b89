//! Request limits that upstreams name in their answers.

use std::cell::RefCell;
use std::collections::HashSet;

use dw_base::RequestsPerS;
use dw_base::TimeMs;
use dw_permit::UpstreamLimits;
use dw_port::NamedLimit;
use dw_wire::UpstreamStart;

use crate::context::RequestContext;
use crate::selection::AttemptPlan;
use crate::shared::Shared;

/// Maximum number of upstreams whose unreadable limits are remembered.
const MAX_UNREADABLE: usize = 4_096;

/// Limits of upstreams as this gateway knows them.
#[derive(Debug, Default)]
pub(crate) struct RequestLimits {
    limits: RefCell<UpstreamLimits>,
    /// Upstreams with an unreadable limit, which is logged once.
    unreadable: RefCell<HashSet<UpstreamStart>>,
}

impl RequestLimits {
    /// Removes limits about which nothing was learned for long.
    pub(crate) fn expire(&self, now: TimeMs) {
        self.limits.borrow_mut().expire(now);
    }

    /// Records that an upstream has named something that is not a rate; returns whether this is new.
    fn record_unreadable(&self, upstream: UpstreamStart) -> bool {
        let mut unreadable = self.unreadable.borrow_mut();
        if unreadable.len() >= MAX_UNREADABLE {
            unreadable.clear();
        }
        unreadable.insert(upstream)
    }
}

/// Records what an answer says about the limit of its upstream.
pub(crate) fn record_answer(
    shared: &Shared,
    context: &RequestContext,
    plan: &AttemptPlan,
    (named, sent_at): (NamedLimit, TimeMs),
) {
    let limit = match named {
        NamedLimit::Unlimited => None,
        NamedLimit::Limit(limit) => Some(limit),
        NamedLimit::Unreadable => {
            if shared.limits.record_unreadable(plan.start()) {
                log::warn!(
                    request_id = context.request_head.request_id.as_str(),
                    upstream:% = plan.choice.upstream;
                    "ignoring the request limit of an upstream: it is not a rate"
                );
            }
            return;
        }
    };
    let now = shared.now();
    let mut limits = shared.limits.limits.borrow_mut();
    if let Some(change) = limits.record_answer(plan.start(), limit, (sent_at, now)) {
        log::info!(
            request_id = context.request_head.request_id.as_str(),
            upstream:% = plan.choice.upstream, before = describe(change.before),
            limit = describe(change.after), sent_ms = now.since(sent_at).0;
            "upstream changed its request limit"
        );
    }
}

/// Counts a request that is sent to an upstream with a limit.
pub(crate) fn record_sent(shared: &Shared, context: &RequestContext, plan: &AttemptPlan) {
    if shared.limits.limits.borrow().get(plan.start()).is_some() {
        let is_retry = context.attempts.get() > 0;
        shared.metrics.record_sent_to_limited(is_retry);
    }
}

fn describe(limit: Option<RequestsPerS>) -> String {
    limit.map_or_else(|| "none".to_owned(), |limit| limit.to_string())
}

//! Rule of the first try: prompts are rejected while first tokens are late.

use dw_admit::retry_after_overload;
use dw_admit::Offer;

use crate::answer::GatewayAnswer;
use crate::context::RequestContext;
use crate::request::request_hash;
use crate::selection::AttemptPlan;
use crate::shared::Shared;

fn offer(context: &RequestContext, plan: &AttemptPlan) -> Offer {
    Offer {
        priority: context.priority(),
        tokens: context.request_head.prompt_tokens(),
        expected_ms: plan.choice.first_token_ms,
        objective_ms: context.route.objective_ms,
        point: request_hash(&context.request_head.request_id),
    }
}

/// Returns the shed ratio of a service, and whether a prompt would be rejected, without recording it.
pub(crate) fn foresee(
    shared: &Shared,
    context: &RequestContext,
    plan: &AttemptPlan,
) -> (f64, bool) {
    let overload = shared.overload.borrow().get(&context.service).cloned();
    let mut overload = overload.unwrap_or_default();
    let is_prompt = plan.choice.weights.is_some();
    let is_rejected = is_prompt
        && overload
            .reject(&offer(context, plan), shared.now())
            .is_some();
    (overload.share(), is_rejected)
}

/// Returns the answer to a prompt that is rejected because the service's first tokens are late.
pub(crate) fn check(
    shared: &Shared,
    context: &RequestContext,
    plan: &AttemptPlan,
) -> Option<GatewayAnswer> {
    plan.choice.weights?;
    let now = shared.now();
    let offer = offer(context, plan);
    let (before, rank, share) = shared.with_overload(&context.service, |overload| {
        let before = overload.share();
        let rank = overload.reject(&offer, now);
        (before, rank, overload.share())
    });
    if (before == 0.0) != (share == 0.0) {
        log::warn!(
            service:% = context.service, share_before = before, share;
            "overload state changed"
        );
    }
    let rank = rank?;
    if shared.metrics.may_log_refusal(now) {
        log::warn!(
            request_id = context.request_head.request_id.as_str(), priority = offer.priority, share,
            tokens = offer.tokens.0, expected_ms = offer.expected_ms.0,
            objective_ms = offer.objective_ms.0;
            "request rejected because of overload"
        );
    }
    Some(GatewayAnswer::NotRun {
        reason: "overload",
        retry_after_ms: retry_after_overload(context.remaining(now), rank),
    })
}

//! Rule of a try: nothing is sent that is in quarantine, but for probes.

use dw_admit::retry_after_pause;
use dw_quarantine::Verdict;
use dw_retry::RetryState;

use crate::answer::GatewayAnswer;
use crate::context::RequestContext;
use crate::quarantine;
use crate::quarantine::Admission;
use crate::quarantine::ProbeKind;
use crate::request::request_hash;
use crate::shared::Shared;

/// Returns the answer to a request that must not be sent, or not be sent again, because upstreams ended
/// under it or a part of its prompt.
pub(crate) async fn check(
    shared: &Shared,
    context: &RequestContext,
    retry_state: &RetryState,
) -> Option<GatewayAnswer> {
    if retry_state.may_have_run() {
        let may_end_another = quarantine::verdict(shared, context) != Verdict::Clear;
        return may_end_another.then_some(GatewayAnswer::Unknown);
    }
    let admission = match context.probe.get() {
        Some(ProbeKind::Part) => return None,
        Some(ProbeKind::Request) if context.attempts.get() == 0 => return None,
        Some(ProbeKind::Request) | None => quarantine::admit(shared, context).await,
    };
    match admission {
        Admission::Open => None,
        Admission::Probe(kind) => {
            context.probe.set(Some(kind));
            None
        }
        Admission::Rejected(rejection) => Some(GatewayAnswer::NotRun {
            reason: match rejection.kind {
                ProbeKind::Part => "quarantined_part",
                ProbeKind::Request => "quarantined_request",
            },
            retry_after_ms: retry_after_pause(
                context.remaining(shared.now()),
                request_hash(&context.request_head.request_id),
                rejection.pause_ms,
            ),
        }),
    }
}

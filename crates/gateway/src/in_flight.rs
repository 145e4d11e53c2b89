//! Accounting of a request's load on its upstream.

use std::rc::Rc;

use dw_base::TimeMs;
use dw_base::UpstreamId;
use dw_place::SentRequest;

use crate::context::SharedContext;
use crate::selection::AttemptPlan;
use crate::shared::Shared;

/// Accounts for a running request until its first token, its end or its cancellation.
pub(crate) struct InFlight {
    shared: Rc<Shared>,
    context: SharedContext,
    upstream: UpstreamId,
    sent: SentRequest,
    is_prompt: bool,
    awaits_first_token: bool,
}

impl InFlight {
    /// Records that a request is sent to the selected upstream.
    pub(crate) fn start(shared: &Rc<Shared>, context: &SharedContext, plan: &AttemptPlan) -> Self {
        let is_prompt = plan.choice.weights.is_some();
        let prompt = if is_prompt {
            &context.request_head.prompt[..]
        } else {
            &[]
        };
        let now = shared.now();
        let mut placement = shared.placement.borrow_mut();
        let sent = placement.record_sent(&plan.choice, &plan.scope, prompt, now);
        drop(placement);
        shared.announcement_due.notify_one();
        InFlight {
            shared: shared.clone(),
            context: context.clone(),
            upstream: plan.choice.upstream.clone(),
            sent,
            is_prompt,
            awaits_first_token: true,
        }
    }

    /// Returns when the request was sent.
    pub(crate) fn sent_at(&self) -> TimeMs {
        self.sent.at
    }

    /// Records the first token, or the head of an answer that is not a stream.
    pub(crate) fn record_first_token(&mut self) {
        if std::mem::replace(&mut self.awaits_first_token, false) {
            let now = self.shared.now();
            let mut placement = self.shared.placement.borrow_mut();
            placement.record_first_token(&self.upstream, &self.sent, now);
            self.record_wait(now);
            self.shared.announcement_due.notify_one();
        }
    }

    /// Records the wait for the first token, or until the request ended without one.
    fn record_wait(&self, now: TimeMs) {
        if self.is_prompt {
            let waited_ms = now.since(self.sent.at);
            let objective_ms = self.context.route.objective_ms;
            self.shared
                .with_overload(&self.context.service, |overload| {
                    overload.record_first_token(waited_ms, objective_ms, now);
                });
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let mut placement = self.shared.placement.borrow_mut();
        if self.awaits_first_token {
            placement.record_abandoned(&self.upstream, &self.sent);
            self.record_wait(self.shared.now());
            self.shared.announcement_due.notify_one();
        }
        placement.record_ended(&self.upstream);
    }
}

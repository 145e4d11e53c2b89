//! Rules that decide whether a request may be sent to the selected upstream.
//!
//! They are checked in this order, so that what costs others something, such as a part of a quota or a
//! permit, is taken last:
//!
//! | rule | if it does not hold |
//! | --- | --- |
//! | [`overload_rule`]: first tokens are in time; first try only | answer |
//! | [`quarantine_rule`]: no upstream ended under it | answer |
//! | [`Grant`]: within the quota of its organisation | answer |
//! | [`Denials`]: a busy engine begins it in time | next upstream, then answer |
//! | [`acquire_permit`]: within the limit of the upstream | next upstream |

use std::rc::Rc;

use dw_retry::AttemptOutcome;
use dw_retry::RetryState;

use crate::admission::Denials;
use crate::answer::GatewayAnswer;
use crate::context::SharedContext;
use crate::forward::AttemptResult;
use crate::limits::acquire_permit;
use crate::overload_rule;
use crate::quarantine_rule;
use crate::quotas::Grant;
use crate::selection::AttemptPlan;
use crate::shared::Shared;

/// What the rules say about a try.
pub(crate) enum Ruling {
    /// The request is sent.
    Send,
    /// Another upstream may take it.
    NextUpstream,
    /// It is not sent to any upstream.
    Answer(GatewayAnswer),
}

/// Rules for the tries of one request, and what they hold for it.
pub(crate) struct AttemptRules {
    shared: Rc<Shared>,
    context: SharedContext,
    denials: Denials,
    grant: Grant,
    is_offered: bool,
}

impl AttemptRules {
    /// Creates the rules for a request that was not sent yet.
    pub(crate) fn new(shared: &Rc<Shared>, context: &SharedContext) -> Self {
        AttemptRules {
            shared: shared.clone(),
            context: context.clone(),
            denials: Denials::default(),
            grant: Grant::new(shared, context),
            is_offered: false,
        }
    }

    /// Decides about a try, which the caller starts at once if it may be sent.
    pub(crate) async fn check(&mut self, plan: &AttemptPlan, retry_state: &RetryState) -> Ruling {
        if let Some(answer) = self.find_answer(plan, retry_state).await {
            return Ruling::Answer(answer);
        }
        // The quota comes first, or else requests beyond it take room at the engines.
        if let Err(answer) = self.grant.acquire(&self.context).await {
            return Ruling::Answer(answer);
        }
        // A request that may have run goes on: refusing it would leave its outcome unknown.
        if !retry_state.may_have_run() {
            let ruling = self.denials.check(&self.shared, &self.context, plan);
            if let Some(ruling) = ruling.await {
                return ruling;
            }
        }
        if !acquire_permit(&self.shared, &self.context, plan).await {
            self.denials.give_back();
            return Ruling::NextUpstream;
        }
        self.denials.spend();
        self.grant.spend();
        Ruling::Send
    }

    async fn find_answer(
        &mut self,
        plan: &AttemptPlan,
        retry_state: &RetryState,
    ) -> Option<GatewayAnswer> {
        let is_first = !std::mem::replace(&mut self.is_offered, true);
        if is_first {
            let answer = overload_rule::check(&self.shared, &self.context, plan);
            if answer.is_some() {
                return answer;
            }
        }
        quarantine_rule::check(&self.shared, &self.context, retry_state).await
    }

    /// Returns the answer to a request that no further engine takes, if one has denied it.
    pub(crate) fn denied_answer(&self) -> Option<GatewayAnswer> {
        self.denials.answer(&self.context, self.shared.now())
    }

    /// Records how a try ended.
    pub(crate) fn record_result(&mut self, result: &AttemptResult) {
        if let AttemptResult::NoAnswer(AttemptOutcome::Unsent | AttemptOutcome::NotRun) = result {
            self.denials.give_back();
            self.grant.restore();
        }
    }
}

//! The way of a request through the queue.

use std::sync::atomic::Ordering;
use std::time::Duration;

use dw_admit::Ticket;
use dw_base::Chain;
use dw_base::TimeMs;
use dw_base::Tokens;
use dw_wire::Failure;
use dw_wire::FailureKind;
use dw_wire::Frame;
use dw_wire::RefusalReason;
use dw_wire::RepeatRule;
use dw_wire::RunRequest;
use dw_wire::Work;

use crate::check::ready;
use crate::live::Live;
use crate::queue::Slot;
use crate::queue::Verdict;
use crate::shared::Shared;

/// Prompt tokens of a call of a plain service. Such an upstream declares no prefill speed, and one
/// token at the lowest speed would take 10 s, beyond most deadlines.
const CALL_TOKENS: Tokens = Tokens(0);

/// Returns the block chain of a request that generates.
pub(crate) fn chain_of(request: &RunRequest) -> Option<&Chain> {
    match &request.work {
        Work::Generate { chain, .. } => Some(chain),
        Work::Call { .. } => None,
    }
}

/// Waits for a slot; the error is the last frame of the answer.
pub(crate) async fn wait_for_slot(
    shared: &Shared,
    request: &RunRequest,
    live: &Live,
    ticket: &Ticket,
    resumed: bool,
) -> Result<Slot, Box<Frame>> {
    let id = ticket.id;
    let offered = shared.clock.now();
    let mut verdict = shared.queue.offer(ticket.clone(), resumed);
    let left_ms = ticket.deadline.since(shared.clock.now());
    let too_late = tokio::time::sleep(Duration::from(left_ms));
    let interrupted = tokio::select! {
        biased;
        verdict = &mut verdict => {
            let decided = decide(shared, request, verdict.ok(), resumed);
            if decided.is_ok() {
                let wait_ms = shared.clock.now().since(offered);
                shared.metrics.waited(request.priority, wait_ms);
            }
            return decided;
        }
        () = live.abandoned() => RefusalReason::QueueFull,
        // The deadline is that of the first token.
        () = too_late, if !live.started() => RefusalReason::DeadlineUnmeetable,
    };
    if !shared.queue.withdraw(id) {
        // The verdict was given in the meantime; a slot in it is returned by its drop.
        drop(verdict);
    }
    let (_, wait_ms) = shared.queue.load();
    let retry_after_ms = Some(wait_ms[request.priority.index()]);
    let chain = chain_of(request);
    let frame = shared.refusal(&request.request_id, interrupted, retry_after_ms, chain);
    Err(Box::new(frame))
}

fn decide(
    shared: &Shared,
    request: &RunRequest,
    verdict: Option<Verdict>,
    resumed: bool,
) -> Result<Slot, Box<Frame>> {
    let refuse = |reason, retry_after_ms| {
        let chain = chain_of(request);
        let frame = shared.refusal(&request.request_id, reason, retry_after_ms, chain);
        Err(Box::new(frame))
    };
    match verdict {
        Some(Verdict::Start(slot)) => match ready(shared, request) {
            // Work that has begun is finished before an order changes the upstream.
            Err(_) if resumed => Ok(slot),
            Ok(()) => Ok(slot),
            Err((reason, retry_after_ms)) => refuse(reason, retry_after_ms),
        },
        Some(Verdict::Refuse(reason, retry_after_ms)) => refuse(reason, retry_after_ms),
        None => refuse(RefusalReason::QueueFull, None),
    }
}

/// Creates the ticket of a request that has arrived.
pub(crate) fn ticket(shared: &Shared, request: &RunRequest, deadline: TimeMs) -> Ticket {
    let config = shared.config();
    let (uncached_tokens, max_tokens) = match &request.work {
        Work::Generate {
            chain, max_tokens, ..
        } => {
            let depth = shared.feed.predict(chain).depth;
            (chain.uncached_tokens(depth), Tokens(*max_tokens))
        }
        Work::Call { .. } => (CALL_TOKENS, Tokens(0)),
    };
    Ticket {
        id: shared.next_ticket.fetch_add(1, Ordering::SeqCst),
        org: request.org.clone(),
        share: config
            .organisation(&request.org)
            .map_or(1.0, |org| org.share),
        priority: request.priority,
        worth: request.worth,
        uncached_tokens,
        max_tokens,
        deadline,
        repeatable: request.repeat != RepeatRule::AtMostOnce && chain_of(request).is_some(),
    }
}

/// Creates the frame of a failed request.
pub(crate) fn failed(
    shared: &Shared,
    request: &RunRequest,
    kind: FailureKind,
    may_have_run: bool,
    message: impl Into<String>,
) -> Frame {
    Frame::Failed(Failure {
        request_id: request.request_id.clone(),
        kind,
        may_have_run,
        message: message.into(),
        status: shared.status(chain_of(request)),
    })
}

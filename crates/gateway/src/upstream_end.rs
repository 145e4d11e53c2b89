//! Detection of upstreams that end while they hold requests.
//!
//! A broken connection alone does not tell whether the upstream has ended or the path to it failed.
//! After one, the gateway connects again: if the VM answers that nothing listens, the upstream counts as
//! ended. A path that refuses connections looks the same, so the end is taken back once the sidecar has gone on reaching
//! the same start. An answer alone takes nothing back: another start may give it at the same address.

use std::cell::RefCell;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;

use dw_base::DurationMs;
use dw_base::TimeMs;
use dw_base::UpstreamId;
use dw_member::Entry;
use dw_net::connect;
use dw_net::Dial;
use dw_wire::UpstreamStart;
use http::StatusCode;

use crate::context::SharedContext;
use crate::forward::ACK_TIMEOUT_MS;
use crate::quarantine;
use crate::shared::Shared;

/// Timeout for connecting again. A VM answers within a few milliseconds, and a retry waits for it.
const CHECK_TIMEOUT_MS: DurationMs = DurationMs(100);

/// Time for which a sidecar must have reached a start since its end, which shows that it has not ended: a sidecar notices
/// an end within 0.74 s, and its announcement may be 1 s on its way.
const STEADY_MS: DurationMs = DurationMs(1_750);

/// How far a request was whose connection to its upstream broke.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum LostRequest {
    /// Nothing of its answer had arrived.
    Waiting,
    /// A part of its answer had arrived, the first of it this long before.
    Answering(DurationMs),
}

impl LostRequest {
    /// Returns the name in logs and metrics.
    pub(crate) fn label(self) -> &'static str {
        match self {
            LostRequest::Waiting => "waiting",
            LostRequest::Answering(_) => "answering",
        }
    }

    /// Returns for how long the answer had gone on, if it had begun.
    pub(crate) fn answering_ms(self) -> Option<DurationMs> {
        match self {
            LostRequest::Waiting => None,
            LostRequest::Answering(answering_ms) => Some(answering_ms),
        }
    }
}

/// Starts of upstreams that are known to have ended.
#[derive(Debug, Default)]
pub(crate) struct EndedUpstreams(RefCell<HashMap<UpstreamStart, TimeMs>>);

impl EndedUpstreams {
    /// Records an end; returns whether it was not known.
    fn record(&self, start: UpstreamStart, now: TimeMs) -> bool {
        self.0.borrow_mut().insert(start, now).is_none()
    }

    /// Takes back the ends of upstreams that have not ended, and returns these.
    fn withdraw(
        &self,
        has_not_ended: impl Fn(UpstreamStart, TimeMs) -> bool,
    ) -> Vec<UpstreamStart> {
        let mut ended = self.0.borrow_mut();
        let withdrawn: Vec<UpstreamStart> = ended
            .iter()
            .filter(|(start, at)| has_not_ended(**start, **at))
            .map(|(start, _)| *start)
            .collect();
        for start in &withdrawn {
            ended.remove(start);
        }
        withdrawn
    }

    fn is_empty(&self) -> bool {
        self.0.borrow().is_empty()
    }

    /// Returns whether a start of an upstream is known to have ended.
    pub(crate) fn contains(&self, start: UpstreamStart) -> bool {
        self.0.borrow().contains_key(&start)
    }

    /// Removes all but these starts.
    pub(crate) fn retain(&self, registered: &HashSet<UpstreamStart>) {
        let mut ended = self.0.borrow_mut();
        ended.retain(|start, _| registered.contains(start));
    }
}

/// Starts that their sidecars have gone on reaching.
pub(crate) struct SteadyStarts<'a> {
    shared: &'a Shared,
    /// Addresses and times of the registered starts.
    registered: HashMap<UpstreamStart, (SocketAddr, u64)>,
}

impl<'a> SteadyStarts<'a> {
    pub(crate) fn new(shared: &'a Shared) -> Self {
        let directory = shared.directory.borrow();
        let start = |entry: &Entry| {
            let registration = &entry.registration;
            let known = (registration.addr, registration.started_ms);
            (registered_start(entry), known)
        };
        let has_start = |entry: &&Entry| entry.registration.started_ms > 0;
        SteadyStarts {
            shared,
            registered: directory.all().filter(has_start).map(start).collect(),
        }
    }

    /// Returns whether a start that is said to have ended at a time is known to have gone on after it.
    pub(crate) fn has_not_ended(&self, start: UpstreamStart, at: TimeMs) -> bool {
        let Some((addr, started_ms)) = self.registered.get(&start) else {
            return false;
        };
        let view = self.shared.view.borrow();
        view.steady_ms(*addr, *started_ms, at, self.shared.now()) >= STEADY_MS
    }
}

/// Takes back ends of upstreams that have gone on, with all that rests on them.
pub(crate) fn withdraw_ends(shared: &Rc<Shared>) {
    if shared.ended.is_empty() && shared.quarantine.is_empty() {
        return;
    }
    let steady = SteadyStarts::new(shared);
    for start in shared
        .ended
        .withdraw(|start, at| steady.has_not_ended(start, at))
    {
        log::info!(start = start.0; "upstream has not ended: its sidecar goes on reaching it");
        shared.metrics.record_withdrawn_end();
        shared.origins.withdraw_unknown(start);
    }
    quarantine::withdraw(shared, &steady);
}

/// Returns the key of the start of a registered upstream.
pub(crate) fn registered_start(entry: &Entry) -> UpstreamStart {
    let registration = &entry.registration;
    UpstreamStart::new(&registration.upstream, registration.started_ms)
}

/// An upstream, as a request was sent to it.
#[derive(Clone, Debug)]
pub(crate) struct SentTo {
    /// Id.
    pub(crate) upstream: UpstreamId,
    /// Address.
    pub(crate) addr: SocketAddr,
    /// Key of its start.
    pub(crate) start: UpstreamStart,
}

/// Handles a connection that ended before the whole answer had arrived, or that could end it only by its own
/// end: if the upstream has ended, this is evidence against the request and the parts of its prompt. Returns
/// whether the upstream has ended.
pub(crate) async fn handle_break(
    shared: &Rc<Shared>,
    context: &SharedContext,
    sent_to: &SentTo,
    lost: LostRequest,
) -> bool {
    let upstream = &sent_to.upstream;
    if !shared.ended.contains(sent_to.start) && !has_no_listener(shared, sent_to.addr).await {
        return false;
    }
    shared.metrics.record_lost_request(lost);
    if shared.ended.record(sent_to.start, shared.now()) {
        shared.metrics.record_upstream_end();
    }
    log::warn!(
        request_id = context.request_head.request_id.as_str(), upstream:%,
        request = lost.label(), digest:% = context.digest(), parts = context.logged_parts();
        "upstream ended while it held a request"
    );
    shared.pool.close(sent_to.addr);
    quarantine::record_end(shared, context, sent_to.start, lost);
    true
}

/// Records a whole answer that ended with its connection, unless the upstream has ended too: then nothing
/// shows that the answer was whole.
pub(crate) fn confirm_answer(
    shared: &Rc<Shared>,
    context: &SharedContext,
    sent_to: SentTo,
    (status, answering_ms): (StatusCode, DurationMs),
) {
    let (shared, context) = (shared.clone(), context.clone());
    let lost = LostRequest::Answering(answering_ms);
    tokio::task::spawn_local(async move {
        if !handle_break(&shared, &context, &sent_to, lost).await {
            quarantine::record_answer(&shared, &context, status);
        }
    });
}

/// Runs [`handle_break`] without waiting for it.
pub(crate) fn report_break(
    shared: &Rc<Shared>,
    context: &SharedContext,
    sent_to: SentTo,
    lost: LostRequest,
) {
    let (shared, context) = (shared.clone(), context.clone());
    tokio::task::spawn_local(async move {
        handle_break(&shared, &context, &sent_to, lost).await;
    });
}

async fn has_no_listener(shared: &Shared, addr: SocketAddr) -> bool {
    let dial = Dial {
        addr,
        connect_ms: CHECK_TIMEOUT_MS,
        silence_ms: ACK_TIMEOUT_MS,
    };
    match connect(dial).await {
        Ok(connection) => {
            shared.pool.put(addr, connection, None, shared.now());
            false
        }
        Err(e) => e.has_no_listener(),
    }
}

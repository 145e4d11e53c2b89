//! Where streams began, so that those which callers take up go on where what is written fits together.
//!
//! The router that passes on the first event of a stream tells two sidecars where it began, keeps it itself, and
//! stores it in the platform's table with the next batch. The router at which the stream is taken up asks the
//! sidecars, and reads the table if none of them knows.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use dw_base::DurationMs;
use dw_base::ServiceId;
use dw_base::StreamKey;
use dw_base::TimeMs;
use dw_member::Directory;
use dw_origin::decide_resume;
use dw_origin::keepers;
use dw_origin::CannotResume;
use dw_origin::ObservedSoftware;
use dw_origin::OriginKeeper;
use dw_origin::Resume;
use dw_origin::SoftwareHistory;
use dw_origin::HANDOVER_BATCH;
use dw_origin::HANDOVER_PAUSE_MS;
use dw_origin::KEEPERS;
use dw_port::RequestHead;
use dw_route::Kind;
use dw_route::Organisation;
use dw_route::Resolved;
use dw_route::Route;
use dw_wire::send_datagram;
use dw_wire::Datagram;
use dw_wire::OriginAnswer;
use dw_wire::OriginQuery;
use dw_wire::OriginRecord;
use dw_wire::StreamOrigin;
use dw_wire::UpstreamStart;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::answer::GatewayAnswer;
use crate::candidates::known_software;
use crate::context::RequestContext;
use crate::origin_store;
use crate::origin_store::Lookup;
use crate::origin_store::OriginStore;
use crate::selection::AttemptPlan;
use crate::shared::Shared;
use crate::upstream_end::registered_start;

/// Sidecars that are asked: more than are told, as routers may know different ones at a moment.
const ASKED: usize = 4;

/// Time that a take-up waits for the answers of sidecars.
const ANSWER_TIMEOUT_MS: DurationMs = DurationMs(60);

/// Time after which a caller may take a stream up again while the registrations have not been read.
const NOT_READY_RETRY_AFTER_MS: DurationMs = DurationMs(300);

/// Time for which a stream may be taken up, as a multiple of its route's timeout: callers may wait longer
/// than the route does, and try several times.
const RETENTION_FACTOR: u64 = 4;

/// Shortest time for which a stream may be taken up.
const MIN_RETENTION_MS: DurationMs = DurationMs(10_000);

/// Origins of streams, and questions for them.
pub(crate) struct Origins {
    socket: Rc<UdpSocket>,
    /// Port of the sidecars for datagrams.
    inner_port: u16,
    /// Origins of the streams that this router has passed on.
    own: RefCell<OriginKeeper>,
    /// Origins in the platform's table.
    pub(crate) store: OriginStore,
    history: RefCell<SoftwareHistory>,
    /// Questions that wait for answers, by number.
    pending: RefCell<HashMap<u32, mpsc::UnboundedSender<Option<StreamOrigin>>>>,
    next_number: Cell<u32>,
}

impl Origins {
    /// Creates the state without any origin; changes of registrations are known in `max_gap_ms`.
    pub(crate) fn new(
        socket: Rc<UdpSocket>,
        inner_port: u16,
        max_gap_ms: DurationMs,
        store: OriginStore,
    ) -> Self {
        Origins {
            socket,
            inner_port,
            own: RefCell::default(),
            store,
            history: RefCell::new(SoftwareHistory::new(max_gap_ms)),
            pending: RefCell::default(),
            next_number: Cell::default(),
        }
    }

    /// Passes the answer of a sidecar on to the request that waits for it.
    pub(crate) fn record_answer(&self, answer: OriginAnswer) {
        if let Some(waiting) = self.pending.borrow().get(&answer.number) {
            // The request may have given up in this moment.
            let _ = waiting.send(answer.origin);
        }
    }

    fn keep(&self, stream: StreamKey, origin: StreamOrigin, retention_ms: DurationMs, now: TimeMs) {
        let mut own = self.own.borrow_mut();
        own.record(stream, origin, retention_ms, now);
    }

    /// Takes back that the software of a start was not known, as it has not ended.
    pub(crate) fn withdraw_unknown(&self, start: UpstreamStart) {
        self.history.borrow_mut().withdraw_unknown(start);
    }

    /// Drops origins that have expired.
    pub(crate) fn expire(&self, now: TimeMs) {
        self.own.borrow_mut().expire(now);
        self.store.expire(now);
    }

    /// Returns whether upstreams of several software versions of a service have served lately.
    pub(crate) fn is_mixed(&self, service: &ServiceId) -> bool {
        self.history.borrow().has_several_versions(service)
    }

    /// Returns the origins of the streams that this router has passed on.
    pub(crate) fn own_records(&self, now: TimeMs) -> Vec<OriginRecord> {
        self.own.borrow().records(now)
    }

    fn sidecar(&self, engine: SocketAddr) -> SocketAddr {
        SocketAddr::new(engine.ip(), self.inner_port)
    }

    /// Asks sidecars where a stream began; returns the first origin that one of them was told.
    async fn ask(&self, keepers: Vec<SocketAddr>, stream: StreamKey) -> Option<StreamOrigin> {
        let number = self.next_number.get();
        self.next_number.set(number.wrapping_add(1));
        let (sender, mut answers) = mpsc::unbounded_channel();
        self.pending.borrow_mut().insert(number, sender);
        let query = Datagram::OriginQuery(OriginQuery { number, stream });
        for keeper in &keepers {
            send_datagram(&self.socket, self.sidecar(*keeper), &query).await;
        }
        let first = async {
            for _ in &keepers {
                if let Some(origin) = answers.recv().await? {
                    return Some(origin);
                }
            }
            None
        };
        let origin = timeout(ANSWER_TIMEOUT_MS.into(), first).await;
        self.pending.borrow_mut().remove(&number);
        origin.ok().flatten()
    }
}

fn organisation_name(organisation: Option<&Organisation>) -> &str {
    organisation.map_or("", |organisation| organisation.org.as_str())
}

/// Returns the key of a stream by the attempt that began it: the one that the caller names, or its own.
fn stream_key(request_head: &RequestHead, organisation: Option<&Organisation>) -> StreamKey {
    let began = request_head.resumes.as_ref();
    let began = began.unwrap_or(&request_head.request_id);
    StreamKey::new(organisation_name(organisation), began)
}

/// Records the software versions that are registered, as far as it was known at `complete_at`.
pub(crate) fn observe(shared: &Shared, directory: &Directory, complete_at: TimeMs, now: TimeMs) {
    let software = |entry| {
        let software = match known_software(shared, entry) {
            Some(version) => ObservedSoftware::Version(version),
            None => ObservedSoftware::Unknown(registered_start(entry)),
        };
        (&entry.registration.service, software)
    };
    let registered = directory.all().map(software);
    let mut history = shared.origins.history.borrow_mut();
    history.observe(registered, complete_at, now);
}

fn retention_ms(route: &Route) -> DurationMs {
    let longest = route.timeout_ms.0.saturating_mul(RETENTION_FACTOR);
    DurationMs(longest).max(MIN_RETENTION_MS)
}

fn is_resumable(route: &Route) -> bool {
    matches!(route.kind, Kind::Stream { resumable: true })
}

/// Returns the sidecars of model engines that keep a stream, the live ones if any are known.
fn find_keepers(shared: &Shared, stream: StreamKey, count: usize) -> Vec<SocketAddr> {
    let now = shared.now();
    let view = shared.view.borrow();
    let directory = shared.directory.borrow();
    let all: Vec<SocketAddr> = directory
        .engines()
        .map(|entry| entry.registration.addr)
        .collect();
    let live = all.iter().filter(|addr| view.engine(**addr, now).is_some());
    let live = keepers(stream, live.copied(), count);
    match live.is_empty() {
        true => keepers(stream, all, count),
        false => live,
    }
}

/// Records where a stream began, as its first event is passed on. Nothing is recorded if it is not known which
/// software version the upstream runs: the stream cannot go on then, rather than at a wrong version.
pub(crate) async fn record(shared: &Shared, context: &RequestContext, plan: &AttemptPlan) {
    let software = plan
        .software
        .as_ref()
        .filter(|_| is_resumable(&context.route));
    let Some(software) = software else {
        return;
    };
    let stream = stream_key(&context.request_head, context.organisation.as_deref());
    let origin = StreamOrigin {
        service: context.service.clone(),
        software: software.clone(),
    };
    let retention_ms = retention_ms(&context.route);
    let origins = &shared.origins;
    origins.keep(stream, origin.clone(), retention_ms, shared.now());
    let record = OriginRecord {
        stream,
        origin,
        retention_ms,
    };
    origins.store.add(record.clone());
    tell_keepers(shared, record).await;
}

async fn tell_keepers(shared: &Shared, record: OriginRecord) {
    let origins = &shared.origins;
    let stream = record.stream;
    let record = Datagram::OriginRecord(record);
    for keeper in find_keepers(shared, stream, KEEPERS) {
        let bytes = send_datagram(&origins.socket, origins.sidecar(keeper), &record).await;
        shared.metrics.record_sent("origins", bytes);
    }
}

/// Tells the sidecars where the streams of this router began once more: those that were told may have been
/// started again since, as in a rolling restart, and this router is about to end.
pub(crate) async fn hand_over(shared: &Shared) {
    let kept = shared.origins.own_records(shared.now());
    log::info!(streams = kept.len(); "handing origins of streams over");
    for batch in kept.chunks(HANDOVER_BATCH) {
        for record in batch {
            tell_keepers(shared, record.clone()).await;
        }
        tokio::time::sleep(HANDOVER_PAUSE_MS.into()).await;
    }
    origin_store::flush(shared).await;
}

/// Returns where a stream may go on that a caller takes up; nothing for a new stream.
///
/// # Errors
///
/// Returns the answer to the caller if the stream cannot go on, or if it is too early to tell.
pub(crate) async fn resume(
    shared: &Shared,
    request_head: &RequestHead,
    resolved: &Resolved,
) -> Result<Option<Resume>, GatewayAnswer> {
    let route = &resolved.route;
    let takes_up = request_head.resumes.is_some() || request_head.last_event.is_some();
    if !takes_up || !is_resumable(route) {
        return Ok(None);
    }
    if !shared.registrations_read.get() {
        // Without registrations no sidecar is known that could be asked.
        return Err(GatewayAnswer::NotRun {
            reason: "no_registrations",
            retry_after_ms: NOT_READY_RETRY_AFTER_MS,
        });
    }
    let stream = stream_key(request_head, resolved.organisation.as_deref());
    let destinations = route.destinations.iter();
    let services: Vec<ServiceId> = destinations
        .filter(|destination| destination.weight > 0)
        .map(|destination| destination.service.clone())
        .collect();
    let origin = find_origin(shared, stream).await;
    let mut decided = decide(shared, route, origin, &services);
    if decided == Err(CannotResume::UnknownOrigin) && request_head.resumes.is_some() {
        let origin = match origin_store::look_up(shared, stream, &services).await {
            Lookup::Found(origin) => Some(origin),
            Lookup::Missing => None,
            Lookup::Unread(pause_ms) => return Err(unread(shared, request_head, pause_ms)),
        };
        decided = decide(shared, route, origin, &services);
    }
    log::info!(
        request_id = request_head.request_id.as_str(),
        resumes = request_head.resumes.as_deref().unwrap_or_default(), decided:?;
        "stream is taken up"
    );
    shared.metrics.record_resume(&decided);
    decided.map(Some).map_err(answer)
}

/// Returns where a stream began, as this router or live sidecars know.
async fn find_origin(shared: &Shared, stream: StreamKey) -> Option<StreamOrigin> {
    let own = shared
        .origins
        .own
        .borrow()
        .get(stream, shared.now())
        .cloned();
    match own {
        Some(origin) => Some(origin),
        None => {
            let keepers = find_keepers(shared, stream, ASKED);
            shared.origins.ask(keepers, stream).await
        }
    }
}

fn decide(
    shared: &Shared,
    route: &Route,
    origin: Option<StreamOrigin>,
    services: &[ServiceId],
) -> Result<Resume, CannotResume> {
    let now = shared.now();
    let history = shared.origins.history.borrow();
    decide_resume(origin, services, |service| {
        history.had_one_version(service, retention_ms(route), now)
    })
}

/// Returns the answer to a caller whose stream may be in the platform's table, which cannot be read now.
fn unread(shared: &Shared, request_head: &RequestHead, pause_ms: DurationMs) -> GatewayAnswer {
    log::warn!(
        request_id = request_head.request_id.as_str(),
        resumes = request_head.resumes.as_deref().unwrap_or_default(), pause_ms = pause_ms.0;
        "stream is taken up, and the stored origins cannot be read yet"
    );
    shared.metrics.record_unread_origin();
    GatewayAnswer::NotRun {
        reason: "origins_not_read",
        retry_after_ms: pause_ms,
    }
}

fn answer(reason: CannotResume) -> GatewayAnswer {
    GatewayAnswer::CannotResume(match reason {
        CannotResume::UnknownOrigin => "stream_of_unknown_version",
        CannotResume::OtherService => "stream_of_other_service",
    })
}

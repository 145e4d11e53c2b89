//! Announcements of this router to the relays of its data centre.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use dw_base::ConfigVersion;
use dw_base::DurationMs;
use dw_base::MeasuredSpeeds;
use dw_base::ModelId;
use dw_base::TimeMs;
use dw_base::Tokens;
use dw_base::WeightsVersion;
use dw_fleet::Members;
use dw_fleet::Relays;
use dw_fleet::SentLoads;
use dw_fleet::ROUTER_MAX_PAUSE_MS;
use dw_fleet::ROUTER_MIN_PAUSE_MS;
use dw_wire::send_datagram;
use dw_wire::Datagram;
use dw_wire::RouterState;
use tokio::net::UdpSocket;

use crate::roster::roster;
use crate::shared::Shared;

/// Maximum time between two rosters to a relay.
const ROSTER_INTERVAL_MS: DurationMs = DurationMs(1_000);

/// Maximum number of engines whose measured speeds one datagram announces; the others follow in
/// later datagrams.
const MAX_SPEEDS_PER_DATAGRAM: usize = 8;

/// Requests an announcement to the relays.
pub(crate) fn request_announcement(shared: &Shared) {
    shared.announcement_due.notify_one();
}

/// Content of an announcement, compared with the last one to detect changes.
#[derive(Clone, Debug, Default, PartialEq)]
struct Announcement {
    relays: Vec<SocketAddr>,
    outstanding: Vec<(SocketAddr, Tokens)>,
    published: Vec<(ModelId, WeightsVersion)>,
    /// Configuration in force and position of the registrations, and whether both tables are followed, if
    /// this router reads all changes.
    tables: Option<(ConfigVersion, u64, bool)>,
}

/// Exchange of state between this router and the relays.
pub(crate) struct Gossip {
    pub(crate) shared: Rc<Shared>,
    pub(crate) socket: Rc<UdpSocket>,
    members: RefCell<Members>,
    pub(crate) relays: RefCell<Relays>,
    pub(crate) loads: RefCell<SentLoads>,
    /// Stamp of this router's last announcement that is included in the totals of the data centre.
    pub(crate) included_stamp: Cell<Option<TimeMs>>,
}

impl Gossip {
    pub(crate) fn new(shared: Rc<Shared>, socket: Rc<UdpSocket>) -> Self {
        Gossip {
            shared,
            socket,
            members: RefCell::default(),
            relays: RefCell::default(),
            loads: RefCell::default(),
            included_stamp: Cell::default(),
        }
    }

    /// Announces outstanding work, published weights and the registered engines to the relays until
    /// the task is aborted.
    pub(crate) async fn announce_to_relays(self: Rc<Self>) {
        let mut last = Announcement::default();
        let mut state_sent_at = TimeMs(0);
        let mut roster_sent_at = TimeMs(0);
        let mut speeds_after = None;
        loop {
            let now = self.shared.now();
            let has_new_roster = self.update_roster();
            let announcement = self.next_announcement(now);
            if announcement.relays != last.relays {
                log::info!(relays:? = announcement.relays; "relays changed");
            }
            if has_new_roster
                || announcement.relays != last.relays
                || now.since(roster_sent_at) >= ROSTER_INTERVAL_MS
            {
                roster_sent_at = now;
                self.send_roster(&announcement.relays).await;
            }
            if announcement != last || now.since(state_sent_at) >= ROUTER_MAX_PAUSE_MS {
                state_sent_at = now;
                self.send_state(&announcement, &mut speeds_after, now).await;
                last = announcement;
            }
            self.send_suspects(&last.relays, now).await;
            self.send_limits(&last.relays, now).await;
            tokio::time::sleep(ROUTER_MIN_PAUSE_MS.into()).await;
            let changed = self.shared.announcement_due.notified();
            // Without a change, the next announcement is due after the maximum pause.
            let _ = tokio::time::timeout(ROUTER_MAX_PAUSE_MS.into(), changed).await;
        }
    }

    fn update_roster(&self) -> bool {
        let mut members = self.members.borrow_mut();
        let is_changed = members.replace(roster(&self.shared));
        if is_changed {
            let boot = self.shared.boot();
            let order = members.proxy_order(&boot.node, &boot.data_centre);
            let proxies = order.into_iter().map(|engine| self.sidecar(engine));
            self.shared.proxies.set(proxies.collect());
        }
        is_changed
    }

    fn next_announcement(&self, now: TimeMs) -> Announcement {
        let data_centre = self.shared.boot().data_centre.clone();
        let order = self.members.borrow().relay_order(&data_centre);
        let updates = self.shared.weights.borrow().declarations.updates(now);
        let mut published: Vec<_> = updates
            .into_iter()
            .map(|update| (update.model, update.weights))
            .collect();
        published.sort();
        let tables = self.shared.tables.borrow().progress(now);
        Announcement {
            relays: self.relays.borrow_mut().select(&order, now),
            outstanding: outstanding(&self.shared),
            published,
            tables: tables.map(|tables| {
                let is_followed = tables.age_ms == DurationMs::ZERO;
                (tables.config_version, tables.registrations, is_followed)
            }),
        }
    }

    async fn send_roster(&self, relays: &[SocketAddr]) {
        let roster = self.members.borrow().roster().clone();
        if roster.engines.is_empty() {
            return;
        }
        self.send_to_relays(relays, "roster", &Datagram::Roster(roster))
            .await;
    }

    async fn send_state(
        &self,
        announcement: &Announcement,
        speeds_after: &mut Option<SocketAddr>,
        now: TimeMs,
    ) {
        let mut state = RouterState {
            router: self.shared.boot().node.clone(),
            stamp: now,
            subscribed: true,
            outstanding: announcement.outstanding.clone(),
            speeds: next_speeds(&self.shared, speeds_after),
            weights: self.shared.weights.borrow().declarations.updates(now),
            tables: self.shared.tables.borrow().progress(now),
        };
        self.loads
            .borrow_mut()
            .record(now, announcement.outstanding.clone());
        for relay in &announcement.relays {
            self.relays.borrow_mut().record_sent(*relay, now);
            let datagram = Datagram::Router(state.clone());
            let bytes = send_datagram(&self.socket, self.sidecar(*relay), &datagram).await;
            self.shared.metrics.record_sent("router", bytes);
            // Only the first relay is asked to send the state of the other data centres.
            state.subscribed = false;
        }
    }

    /// Sends evidence about prompt parts and requests, if some is due.
    async fn send_suspects(&self, relays: &[SocketAddr], now: TimeMs) {
        if relays.is_empty() {
            return;
        }
        let due = self.shared.quarantine.take_due(now);
        if !due.requests.is_empty() {
            let datagram = Datagram::SuspectRequests(due.requests);
            self.send_to_relays(relays, "suspect_requests", &datagram)
                .await;
        }
        if !due.parts.is_empty() {
            self.send_to_relays(relays, "suspects", &Datagram::Suspects(due.parts))
                .await;
        }
    }

    /// Sends request limits of upstreams, if some are due.
    async fn send_limits(&self, relays: &[SocketAddr], now: TimeMs) {
        if relays.is_empty() {
            return;
        }
        let reports = self.shared.limits.take_due(now);
        if !reports.is_empty() {
            self.send_to_relays(relays, "limits", &Datagram::Limits(reports))
                .await;
        }
    }

    async fn send_to_relays(&self, relays: &[SocketAddr], kind: &'static str, datagram: &Datagram) {
        for relay in relays {
            let bytes = send_datagram(&self.socket, self.sidecar(*relay), datagram).await;
            self.shared.metrics.record_sent(kind, bytes);
        }
    }

    fn sidecar(&self, engine: SocketAddr) -> SocketAddr {
        SocketAddr::new(engine.ip(), self.shared.boot().inner_ports.0)
    }
}

/// Returns the prompt tokens that this router has outstanding at each engine, if any.
fn outstanding(shared: &Shared) -> Vec<(SocketAddr, Tokens)> {
    let directory = shared.directory.borrow();
    let mut placement = shared.placement.borrow_mut();
    let tokens = directory.engines().map(|entry| {
        let tokens = placement
            .load_mut(&entry.registration.upstream)
            .own_tokens();
        (entry.registration.addr, tokens)
    });
    tokens.filter(|(_, tokens)| tokens.0 > 0).collect()
}

/// Returns the measured speeds of the next engines, in the order of their addresses.
fn next_speeds(
    shared: &Shared,
    after: &mut Option<SocketAddr>,
) -> Vec<(SocketAddr, MeasuredSpeeds)> {
    let directory = shared.directory.borrow();
    let mut placement = shared.placement.borrow_mut();
    let measured = directory.engines().filter_map(|entry| {
        let speeds = placement
            .load_mut(&entry.registration.upstream)
            .measured_speeds();
        (speeds != MeasuredSpeeds::default()).then_some((entry.registration.addr, speeds))
    });
    let is_next = |(addr, _): &(SocketAddr, _)| after.is_none_or(|after| *addr > after);
    let mut next: Vec<_> = measured.filter(is_next).collect();
    next.sort_by_key(|(addr, _)| *addr);
    next.truncate(MAX_SPEEDS_PER_DATAGRAM);
    *after = match next.len() == MAX_SPEEDS_PER_DATAGRAM {
        true => next.last().map(|(addr, _)| *addr),
        false => None,
    };
    next
}

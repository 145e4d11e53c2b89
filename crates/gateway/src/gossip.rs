//! What this router tells the relays of its data centre.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

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
use dw_wire::send_datagram;
use dw_wire::Datagram;
use dw_wire::RouterState;
use dw_wire::TableProgress;
use tokio::net::UdpSocket;

use crate::roster::roster;
use crate::shared::Shared;

/// Shortest time between two datagrams to one relay.
const SHORTEST_PAUSE: Duration = Duration::from_millis(60);

/// Longest time between two datagrams to one relay.
const LONGEST_MS: DurationMs = DurationMs(500);

/// Longest time between two rosters to one relay.
const ROSTER_MS: DurationMs = DurationMs(1_000);

/// Engines whose measured speeds are told at once; the others follow in turn.
const SPEEDS_AT_ONCE: usize = 8;

/// Asks for a datagram to the relays.
pub(crate) fn tell_all(shared: &Shared) {
    shared.work_changed.notify_one();
}

/// What was told last.
#[derive(Clone, Debug, Default, PartialEq)]
struct Told {
    relays: Vec<SocketAddr>,
    outstanding: Vec<(SocketAddr, Tokens)>,
    named: Vec<(ModelId, WeightsVersion)>,
    /// Configuration in force and position of the registrations, if this router reads all changes.
    tables: Option<(ConfigVersion, u64)>,
}

/// Telling and hearing of one router.
pub(crate) struct Gossip {
    pub(crate) shared: Rc<Shared>,
    pub(crate) socket: Rc<UdpSocket>,
    members: RefCell<Members>,
    pub(crate) relays: RefCell<Relays>,
    pub(crate) loads: RefCell<SentLoads>,
    /// Stamp of the last own state that is in the sums of the data centre.
    pub(crate) heard: Cell<Option<TimeMs>>,
}

impl Gossip {
    pub(crate) fn new(shared: Rc<Shared>, socket: Rc<UdpSocket>) -> Self {
        Gossip {
            shared,
            socket,
            members: RefCell::default(),
            relays: RefCell::default(),
            loads: RefCell::default(),
            heard: Cell::default(),
        }
    }

    /// Tells relays of outstanding work, named weights and the registered engines until the task is
    /// aborted.
    pub(crate) async fn tell_relays(self: Rc<Self>) {
        let mut last = Told::default();
        let mut at = TimeMs(0);
        let mut roster_at = TimeMs(0);
        let mut speeds_after = None;
        loop {
            let now = self.shared.now();
            let has_new_roster = self.take_roster();
            let told = self.news(now);
            if told.relays != last.relays {
                log::info!(relays:? = told.relays; "other relays are used");
            }
            if has_new_roster || told.relays != last.relays || now.since(roster_at) >= ROSTER_MS {
                roster_at = now;
                self.tell_roster(&told.relays).await;
            }
            if told != last || now.since(at) >= LONGEST_MS {
                at = now;
                self.tell_state(&told, &mut speeds_after, now).await;
                last = told;
            }
            tokio::time::sleep(SHORTEST_PAUSE).await;
            let changed = self.shared.work_changed.notified();
            // Nothing has to be told earlier than the longest pause.
            let _ = tokio::time::timeout(LONGEST_MS.into(), changed).await;
        }
    }

    fn take_roster(&self) -> bool {
        self.members.borrow_mut().replace(roster(&self.shared))
    }

    fn news(&self, now: TimeMs) -> Told {
        let data_centre = self.shared.boot().data_centre.clone();
        let order = self.members.borrow().relay_order(&data_centre);
        let news = self.shared.weights.borrow().namings.updates(now);
        let mut named: Vec<_> = news.into_iter().map(|n| (n.model, n.weights)).collect();
        named.sort();
        let tables = self.shared.tables.borrow().news(now);
        Told {
            relays: self.relays.borrow_mut().select(&order, now),
            outstanding: outstanding(&self.shared),
            named,
            tables: tables.as_ref().map(TableProgress::positions),
        }
    }

    async fn tell_roster(&self, relays: &[SocketAddr]) {
        let roster = self.members.borrow().roster().clone();
        if roster.engines.is_empty() {
            return;
        }
        let datagram = Datagram::Roster(roster);
        for relay in relays {
            let bytes = send_datagram(&self.socket, self.sidecar(*relay), &datagram).await;
            self.shared.measures.told("roster", bytes);
        }
    }

    async fn tell_state(&self, told: &Told, speeds_after: &mut Option<SocketAddr>, now: TimeMs) {
        let mut state = RouterState {
            router: self.shared.boot().node.clone(),
            stamp: now,
            subscribed: true,
            outstanding: told.outstanding.clone(),
            speeds: next_speeds(&self.shared, speeds_after),
            weights: self.shared.weights.borrow().namings.updates(now),
            tables: self.shared.tables.borrow().news(now),
        };
        self.loads
            .borrow_mut()
            .record(now, told.outstanding.clone());
        for relay in &told.relays {
            self.relays.borrow_mut().record_sent(*relay, now);
            let datagram = Datagram::Router(state.clone());
            let bytes = send_datagram(&self.socket, self.sidecar(*relay), &datagram).await;
            self.shared.measures.told("router", bytes);
            // One relay tells of the other data centres.
            state.subscribed = false;
        }
    }

    fn sidecar(&self, engine: SocketAddr) -> SocketAddr {
        SocketAddr::new(engine.ip(), self.shared.boot().inner_ports.0)
    }
}

/// Returns the engines with outstanding prompt tokens of this router.
fn outstanding(shared: &Shared) -> Vec<(SocketAddr, Tokens)> {
    let directory = shared.directory.borrow();
    let mut place = shared.place.borrow_mut();
    let tokens = directory.engines().map(|entry| {
        let tokens = place.load_mut(&entry.registration.upstream).own_tokens();
        (entry.registration.addr, tokens)
    });
    tokens.filter(|(_, tokens)| tokens.0 > 0).collect()
}

/// Returns the measured speeds of the engines that are next in turn.
fn next_speeds(
    shared: &Shared,
    after: &mut Option<SocketAddr>,
) -> Vec<(SocketAddr, MeasuredSpeeds)> {
    let directory = shared.directory.borrow();
    let mut place = shared.place.borrow_mut();
    let measured = directory.engines().filter_map(|entry| {
        let speeds = place
            .load_mut(&entry.registration.upstream)
            .measured_speeds();
        (speeds != MeasuredSpeeds::default()).then_some((entry.registration.addr, speeds))
    });
    let is_next = |(addr, _): &(SocketAddr, _)| after.is_none_or(|after| *addr > after);
    let mut next: Vec<_> = measured.filter(is_next).collect();
    next.sort_by_key(|(addr, _)| *addr);
    next.truncate(SPEEDS_AT_ONCE);
    *after = match next.len() == SPEEDS_AT_ONCE {
        true => next.last().map(|(addr, _)| *addr),
        false => None,
    };
    next
}

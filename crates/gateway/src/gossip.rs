//! Datagrams to and from the relays of the data centre.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dw_base::DurationMs;
use dw_base::MeasuredSpeeds;
use dw_base::ModelId;
use dw_base::TimeMs;
use dw_base::Tokens;
use dw_base::WeightsVersion;
use dw_cache::KvChange;
use dw_cache::KvPage;
use dw_fleet::is_reader;
use dw_fleet::router_mark;
use dw_fleet::Members;
use dw_fleet::Relays;
use dw_fleet::ToldLoads;
use dw_wire::hear;
use dw_wire::tell;
use dw_wire::DataCentreState;
use dw_wire::Datagram;
use dw_wire::EngineState;
use dw_wire::KvNews;
use dw_wire::Phase;
use dw_wire::Roster;
use dw_wire::RosterEntry;
use dw_wire::RouterState;
use tokio::net::UdpSocket;

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
    /// Positions in the platform's tables.
    tables: Option<(u64, u64)>,
}

/// Telling and hearing of one router.
pub(crate) struct Gossip {
    shared: Rc<Shared>,
    socket: Rc<UdpSocket>,
    members: RefCell<Members>,
    relays: RefCell<Relays>,
    loads: RefCell<ToldLoads>,
    /// Stamp of the last own state that is in the sums of the data centre.
    heard: Cell<Option<TimeMs>>,
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
        self.members.borrow_mut().set(roster(&self.shared))
    }

    fn news(&self, now: TimeMs) -> Told {
        let data_centre = self.shared.boot().data_centre.clone();
        let order = self.members.borrow().relay_order(&data_centre);
        let news = self.shared.weights.borrow().namings.news(now);
        let mut named: Vec<_> = news.into_iter().map(|n| (n.model, n.weights)).collect();
        named.sort();
        let tables = self.shared.tables.borrow().news(now);
        Told {
            relays: self.relays.borrow_mut().choose(&order, now),
            outstanding: outstanding(&self.shared),
            named,
            tables: tables.map(|tables| (tables.declarations, tables.registrations)),
        }
    }

    async fn tell_roster(&self, relays: &[SocketAddr]) {
        let roster = self.members.borrow().roster().clone();
        if roster.engines.is_empty() {
            return;
        }
        let datagram = Datagram::Roster(roster);
        for relay in relays {
            let bytes = tell(&self.socket, self.sidecar(*relay), &datagram).await;
            self.shared.measures.told("roster", bytes);
        }
    }

    async fn tell_state(&self, told: &Told, speeds_after: &mut Option<SocketAddr>, now: TimeMs) {
        let mut state = RouterState {
            router: self.shared.boot().node.clone(),
            stamp: now,
            listens: true,
            outstanding: told.outstanding.clone(),
            speeds: next_speeds(&self.shared, speeds_after),
            weights: self.shared.weights.borrow().namings.news(now),
            tables: self.shared.tables.borrow().news(now),
        };
        self.loads.borrow_mut().told(now, told.outstanding.clone());
        for relay in &told.relays {
            self.relays.borrow_mut().told(*relay, now);
            let datagram = Datagram::Router(state.clone());
            let bytes = tell(&self.socket, self.sidecar(*relay), &datagram).await;
            self.shared.measures.told("router", bytes);
            // One relay tells of the other data centres.
            state.listens = false;
        }
    }

    fn sidecar(&self, engine: SocketAddr) -> SocketAddr {
        SocketAddr::new(engine.ip(), self.shared.boot().inner_ports.0)
    }

    /// Hears relays until the task is aborted.
    pub(crate) async fn hear_relays(self: Rc<Self>) {
        hear(&self.socket, |from, datagram, bytes| {
            self.relays.borrow_mut().heard(from.ip());
            let now = self.shared.now();
            match datagram {
                Datagram::DataCentre(state) => {
                    self.shared.measures.heard("data_centre", bytes.len());
                    self.hear_data_centre(state, now);
                }
                Datagram::Cached(states) => {
                    self.shared.measures.heard("cached", bytes.len());
                    let mut view = self.shared.view.borrow_mut();
                    for state in states {
                        view.hear_cached(&state, now);
                    }
                }
                Datagram::Kv(news) => {
                    self.shared.measures.heard("kv", bytes.len());
                    hear_kv(&self.shared, news, now);
                }
                Datagram::Router(_) | Datagram::Engine(_) | Datagram::Roster(_) => {}
            }
        })
        .await;
    }

    fn hear_data_centre(&self, state: DataCentreState, now: TimeMs) {
        for news in &state.weights {
            self.shared.weights.borrow_mut().namings.hear(news, now);
        }
        for engine in state.engines {
            hear_engine(&self.shared, engine, now);
        }
        if let Some(tables) = state.tables {
            self.shared.tables.borrow_mut().hints.hear(tables, now);
        }
        let Some(loads) = state.loads else {
            return;
        };
        let own_mark = router_mark(&self.shared.boot().node);
        let own = loads.heard.iter().find(|(mark, _)| *mark == own_mark);
        if let Some((_, stamp)) = own {
            self.heard.set(Some(*stamp));
            let is_reader = is_reader(&self.shared.boot().node, &loads);
            let mut tables = self.shared.tables.borrow_mut();
            if std::mem::replace(&mut tables.is_reader, is_reader) != is_reader {
                log::info!(is_reader; "part in reading the tables has changed");
            }
        }
        let mut view = self.shared.view.borrow_mut();
        view.hear_loads(&state.data_centre, &loads, now);
        drop(view);
        self.take_loads(now);
    }

    /// Takes over the loads of all engines after a change.
    fn take_loads(&self, now: TimeMs) {
        let view = self.shared.view.borrow();
        let loads = self.loads.borrow();
        let directory = self.shared.directory.borrow();
        let mut place = self.shared.place.borrow_mut();
        let engines = directory.all().filter(|e| !e.listed.models.is_empty());
        for entry in engines {
            let addr = entry.listed.addr;
            let all = view.outstanding(addr, now);
            let own = loads.own(self.heard.get(), addr);
            let load = place.load(&entry.listed.upstream);
            load.reported(Tokens(all.0.saturating_sub(own.0)), now);
            load.told_speeds(view.speeds(addr, now));
        }
        place.set_routers(view.routers(now));
    }
}

/// Returns the engines with outstanding prompt tokens of this router.
fn outstanding(shared: &Shared) -> Vec<(SocketAddr, Tokens)> {
    let directory = shared.directory.borrow();
    let mut place = shared.place.borrow_mut();
    let engines = directory.all().filter(|e| !e.listed.models.is_empty());
    let tokens = engines.map(|entry| {
        let tokens = place.load(&entry.listed.upstream).own_tokens();
        (entry.listed.addr, tokens)
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
    let engines = directory.all().filter(|e| !e.listed.models.is_empty());
    let measured = engines.filter_map(|entry| {
        let speeds = place.load(&entry.listed.upstream).measured_speeds();
        (speeds != MeasuredSpeeds::default()).then_some((entry.listed.addr, speeds))
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

/// Returns the registered model engines; routers with the same registrations return the same.
fn roster(shared: &Shared) -> Roster {
    let directory = shared.directory.borrow();
    let engines = || directory.all().filter(|e| !e.listed.models.is_empty());
    let data_centres = names(engines().map(|entry| &entry.listed.data_centre));
    let services = names(engines().map(|entry| &entry.listed.service));
    let entries = engines().map(|entry| RosterEntry {
        engine: entry.listed.addr,
        data_centre: position(&data_centres, &entry.listed.data_centre),
        service: position(&services, &entry.listed.service),
    });
    let entries: BTreeSet<RosterEntry> = entries.collect();
    Roster {
        version: shared.listed_version.get(),
        engines: entries.into_iter().collect(),
        data_centres,
        services,
    }
}

fn names<'a, T: Clone + Ord + 'a>(all: impl Iterator<Item = &'a T>) -> Vec<T> {
    let names: BTreeSet<&T> = all.collect();
    names.into_iter().cloned().collect()
}

fn position<T: Ord>(names: &[T], name: &T) -> u8 {
    let at = names.binary_search(name).unwrap_or_default();
    u8::try_from(at).unwrap_or(u8::MAX)
}

/// Takes over what a relay has read of a store of kept KV cache.
fn hear_kv(shared: &Shared, news: KvNews, now: TimeMs) {
    let kv = shared.kv.borrow();
    let Some(contents) = kv.get(&news.store) else {
        return;
    };
    let mut contents = contents.borrow_mut();
    if news.spans.is_empty() {
        contents.doubt();
    }
    for span in news.spans {
        let changes = span.changes.into_iter();
        let page = KvPage {
            since: span.since,
            epoch: news.epoch,
            next: span.next,
            lost: false,
            changes: changes
                .map(|(key, tokens)| KvChange { key, tokens })
                .collect(),
        };
        contents.hear(page, now);
    }
}

fn hear_engine(shared: &Shared, state: EngineState, now: TimeMs) {
    let engine = state.engine;
    let phase = state.phase;
    let Some(change) = shared.view.borrow_mut().hear(state, now) else {
        return;
    };
    if change.before != Some(phase) && (phase != Phase::Open || change.before.is_some()) {
        log::info!(engine:%, phase:?; "engine has changed its phase");
    }
    if change.restarted {
        let directory = shared.directory.borrow();
        if let Some(entry) = directory.at(&engine) {
            shared.place.borrow_mut().cache_lost(&entry.listed.upstream);
        }
    }
}

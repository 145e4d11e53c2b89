//! Announcements that this router receives from relays.

use std::net::IpAddr;
use std::rc::Rc;

use dw_base::TimeMs;
use dw_base::Tokens;
use dw_cache::KvChange;
use dw_cache::KvPage;
use dw_fleet::is_reader;
use dw_fleet::router_hash;
use dw_wire::receive_datagrams;
use dw_wire::DataCentreState;
use dw_wire::Datagram;
use dw_wire::EngineState;
use dw_wire::KvUpdate;
use dw_wire::Phase;

use crate::gossip::Gossip;
use crate::quarantine;
use crate::shared::Shared;

impl Gossip {
    /// Receives announcements from relays until the task is aborted.
    pub(crate) async fn receive_from_relays(self: Rc<Self>) {
        receive_datagrams(&self.socket, |from, datagram, bytes| {
            self.relays.borrow_mut().record_received(from.ip());
            let now = self.shared.now();
            match datagram {
                Datagram::DataCentre(state) => {
                    self.shared
                        .metrics
                        .record_received("data_centre", bytes.len());
                    self.update_data_centre(from.ip(), state, now);
                }
                Datagram::Cached(states) => {
                    self.shared.metrics.record_received("cached", bytes.len());
                    let mut view = self.shared.view.borrow_mut();
                    for state in states {
                        view.update_cached(&state, now);
                    }
                }
                Datagram::Kv(update) => {
                    self.shared.metrics.record_received("kv", bytes.len());
                    update_kv(&self.shared, update, now);
                }
                Datagram::Suspects(reports) => {
                    self.shared.metrics.record_received("suspects", bytes.len());
                    quarantine::merge_parts(&self.shared, reports);
                }
                Datagram::SuspectRequests(reports) => {
                    let metrics = &self.shared.metrics;
                    metrics.record_received("suspect_requests", bytes.len());
                    quarantine::merge_requests(&self.shared, reports);
                }
                Datagram::Limits(reports) => {
                    self.shared.metrics.record_received("limits", bytes.len());
                    self.shared.limits.merge(&reports, now);
                }
                Datagram::PermitAnswer(answer) => {
                    self.shared.metrics.record_received("permits", bytes.len());
                    self.shared.limits.record_permit(answer);
                }
                Datagram::OriginAnswer(answer) => {
                    self.shared.metrics.record_received("origins", bytes.len());
                    self.shared.origins.record_answer(answer);
                }
                Datagram::QuotaAnswer(answer) => {
                    self.shared.metrics.record_received("quotas", bytes.len());
                    self.shared.quotas.record_answer(answer);
                }
                Datagram::AdmissionAnswer(answer) => {
                    let metrics = &self.shared.metrics;
                    metrics.record_received("admissions", bytes.len());
                    self.shared.admissions.record_answer(answer);
                }
                Datagram::Router(_)
                | Datagram::Engine(_)
                | Datagram::Roster(_)
                | Datagram::PermitRequest(_)
                | Datagram::OriginRecord(_)
                | Datagram::OriginQuery(_)
                | Datagram::QuotaQuestion(_)
                | Datagram::QuotaReturn(_)
                | Datagram::QuotaHandover(_)
                | Datagram::AdmissionQuestion(_)
                | Datagram::AdmissionReturn(_) => {}
            }
        })
        .await;
    }

    fn update_data_centre(&self, relay: IpAddr, state: DataCentreState, now: TimeMs) {
        for update in &state.weights {
            self.shared
                .weights
                .borrow_mut()
                .declarations
                .update(update, now);
        }
        for engine in state.engines {
            update_engine(&self.shared, engine, now);
        }
        if let Some(tables) = state.tables {
            let mut own = self.shared.tables.borrow_mut();
            own.hints.update((relay, &state.data_centre), tables, now);
        }
        let Some(loads) = state.loads else {
            return;
        };
        let own_hash = router_hash(&self.shared.boot().node);
        let own = loads.heard.iter().find(|(hash, _)| *hash == own_hash);
        if let Some((_, stamp)) = own {
            self.included_stamp.set(Some(*stamp));
            let is_reader = is_reader(&self.shared.boot().node, &loads);
            let mut tables = self.shared.tables.borrow_mut();
            tables.hints.record_echo(relay, *stamp, now);
            if std::mem::replace(&mut tables.is_reader, is_reader) != is_reader {
                log::info!(is_reader; "role as table reader changed");
            }
        }
        let mut view = self.shared.view.borrow_mut();
        view.update_loads(&state.data_centre, &loads, now);
        drop(view);
        self.apply_loads(now);
    }

    /// Updates the loads of all engines in the placement.
    fn apply_loads(&self, now: TimeMs) {
        let view = self.shared.view.borrow();
        let loads = self.loads.borrow();
        let directory = self.shared.directory.borrow();
        let mut placement = self.shared.placement.borrow_mut();
        for entry in directory.engines() {
            let addr = entry.registration.addr;
            let all = view.outstanding(addr, now);
            let own = loads.own_tokens(self.included_stamp.get(), addr);
            let load = placement.load_mut(&entry.registration.upstream);
            load.set_other_tokens(Tokens(all.0.saturating_sub(own.0)), now);
            load.set_measured_speeds(view.speeds(addr, now));
        }
        placement.set_routers(view.routers(now));
    }
}

/// Applies what a relay has read from a KV store.
fn update_kv(shared: &Shared, update: KvUpdate, now: TimeMs) {
    let kv = shared.kv.borrow();
    let Some(contents) = kv.get(&update.store) else {
        return;
    };
    let mut contents = contents.borrow_mut();
    if update.spans.is_empty() {
        contents.mark_stale();
    }
    for span in update.spans {
        let changes = span.changes.into_iter();
        let page = KvPage {
            since: span.since,
            epoch: update.epoch,
            next: span.next,
            incomplete: false,
            changes: changes
                .map(|(key, tokens)| KvChange { key, tokens })
                .collect(),
        };
        contents.apply_relayed(page, now);
    }
}

fn update_engine(shared: &Shared, state: EngineState, now: TimeMs) {
    let engine = state.engine;
    let phase = state.phase;
    let Some(change) = shared.view.borrow_mut().update_engine(state, now) else {
        return;
    };
    if change.before != Some(phase) && (phase != Phase::Open || change.before.is_some()) {
        log::info!(engine:%, phase:?; "engine phase changed");
    }
    if change.restarted {
        let directory = shared.directory.borrow();
        if let Some(entry) = directory.at(&engine) {
            shared
                .placement
                .borrow_mut()
                .clear_cache(&entry.registration.upstream);
        }
    }
}

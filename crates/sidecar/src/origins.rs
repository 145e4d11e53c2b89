//! Keeps the origins of streams for routers, and answers their questions.

use std::net::SocketAddr;

use dw_base::TimeMs;
use dw_origin::keepers;
use dw_origin::HANDOVER_BATCH;
use dw_origin::HANDOVER_PAUSE_MS;
use dw_origin::KEEPERS;
use dw_wire::encode;
use dw_wire::forward_datagram;
use dw_wire::send_datagram;
use dw_wire::Datagram;
use dw_wire::OriginAnswer;
use dw_wire::OriginQuery;
use dw_wire::OriginRecord;

use crate::sidecar::Shared;

/// Keeps the origin of a stream.
pub(crate) fn record(shared: &Shared, record: OriginRecord, now: TimeMs) {
    let mut origins = shared.origins.borrow_mut();
    origins.record(record.stream, record.origin, record.retention_ms, now);
}

/// Hands what is kept on to the sidecars that keep it in place of this one, which is about to end: in a rolling
/// restart all sidecars that were told of a stream end one after the other.
pub(crate) async fn hand_over(shared: &Shared) {
    let now = shared.clock.now();
    let others = live_sidecars(shared, now);
    let kept = shared.origins.borrow().records(now);
    log::info!(streams = kept.len(), sidecars = others.len(); "handing origins of streams over");
    for batch in kept.chunks(HANDOVER_BATCH) {
        for record in batch {
            let keepers = keepers(record.stream, others.iter().copied(), KEEPERS);
            let record = Datagram::OriginRecord(record.clone());
            for keeper in keepers {
                send_datagram(&shared.socket, shared.sidecar_addr(keeper), &record).await;
            }
        }
        tokio::time::sleep(HANDOVER_PAUSE_MS.into()).await;
    }
}

/// Returns the engines of the other sidecars, the live ones if any are known.
fn live_sidecars(shared: &Shared, now: TimeMs) -> Vec<SocketAddr> {
    let state = shared.state.borrow();
    let all = state.members.engines().into_iter();
    let others: Vec<SocketAddr> = all.filter(|engine| *engine != shared.engine).collect();
    let is_live = |engine: &&SocketAddr| state.view.engine(**engine, now).is_some();
    let live: Vec<SocketAddr> = others.iter().filter(is_live).copied().collect();
    match live.is_empty() {
        true => others,
        false => live,
    }
}

/// Answers a question for the origin of a stream.
pub(crate) fn answer(shared: &Shared, from: SocketAddr, query: OriginQuery, now: TimeMs) {
    let origin = shared.origins.borrow().get(query.stream, now).cloned();
    let answer = Datagram::OriginAnswer(OriginAnswer {
        number: query.number,
        origin,
    });
    match encode(&answer) {
        Ok(bytes) => forward_datagram(&shared.socket, &[from], &bytes),
        Err(e) => log::error!(error:% = e; "cannot encode datagram"),
    }
}

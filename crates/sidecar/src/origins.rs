//! Keeps the origins of streams for routers, and answers their questions.

use std::net::SocketAddr;

use dw_base::TimeMs;
use dw_wire::encode;
use dw_wire::forward_datagram;
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

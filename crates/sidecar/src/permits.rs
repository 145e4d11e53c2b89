//! Answers requests of routers for permits of upstreams with a request limit.

use std::net::SocketAddr;

use dw_base::DataCentreId;
use dw_base::TimeMs;
use dw_wire::encode;
use dw_wire::forward_datagram;
use dw_wire::Datagram;
use dw_wire::PermitAnswer;
use dw_wire::PermitRequest;

use crate::sidecar::Shared;

/// Answers a request for a permit.
pub(crate) fn answer(shared: &Shared, from: SocketAddr, request: &PermitRequest, now: TimeMs) {
    let live = live_sidecars(shared, &request.data_centre, now);
    let mut issuer = shared.issuer.borrow_mut();
    let result = issuer.request(&request.limit, request.priority, live.into_iter(), now);
    drop(issuer);
    shared.metrics.record_permit(result.label());
    let answer = Datagram::PermitAnswer(PermitAnswer {
        number: request.number,
        result,
    });
    send_answer(shared, from, &answer);
}

/// Sends the answer to a question, unless the send buffer is full.
pub(crate) fn send_answer(shared: &Shared, to: SocketAddr, answer: &Datagram) {
    match encode(answer) {
        Ok(bytes) => forward_datagram(&shared.socket, &[to], &bytes),
        Err(e) => log::error!(error:% = e; "cannot encode datagram"),
    }
}

/// Returns the engines whose sidecars may issue permits in a data centre and are live: this one and those
/// from which announcements arrive.
fn live_sidecars(shared: &Shared, data_centre: &DataCentreId, now: TimeMs) -> Vec<SocketAddr> {
    let state = shared.state.borrow();
    let mut engines = state.members.relay_order(data_centre);
    engines.retain(|engine| *engine == shared.engine || state.view.engine(*engine, now).is_some());
    engines
}

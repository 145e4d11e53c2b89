//! Watches the engine and orders its weights.

use std::rc::Rc;
use std::time::Duration;

use dw_base::DurationMs;
use dw_base::FenceNumber;
use dw_base::TimeMs;
use dw_port::Engine;
use dw_port::Order;
use dw_port::OrderResult;
use dw_wire::Phase;

use crate::sidecar::Shared;
use crate::state::Due;

/// Pause between two reports of the engine.
const REPORT_PAUSE: Duration = Duration::from_millis(120);

/// The same while it loads.
const LOADING_PAUSE: Duration = Duration::from_millis(40);

/// Longest wait for a report.
const REPORT_MS: DurationMs = DurationMs(250);

/// Reports in a row without an answer after which the engine counts as unreachable.
const SILENT_REPORTS: u32 = 2;

/// Time between the word to the routers and the order, in which requests stop coming.
const CLOSING: Duration = Duration::from_millis(25);

/// Longest wait for the answer to an order.
const ORDER_MS: DurationMs = DurationMs(400);

/// Time from an order without an answer until it is sent again.
const RESEND_MS: DurationMs = DurationMs(400);

/// An order that was sent.
struct Sent {
    at: TimeMs,
    orders_before: u64,
}

/// Orders to one life of the engine.
#[derive(Default)]
struct Orders {
    /// The last one, if it may still be accepted.
    pending: Option<Sent>,
    /// Fencing number that the engine has refused; only a greater one may be sent.
    refused: Option<FenceNumber>,
}

impl Orders {
    /// Returns whether an order with a fencing number may be sent, or sent again.
    fn may_send(&self, fence: FenceNumber, now: TimeMs) -> bool {
        let waits = |sent: &Sent| now.since(sent.at) < RESEND_MS;
        let refused = self.refused.is_some_and(|refused| fence <= refused);
        !refused && !self.pending.as_ref().is_some_and(waits)
    }
}

/// Watches the engine and orders its weights until the task is aborted.
pub(crate) async fn watch(shared: Rc<Shared>, mut engine: Box<dyn Engine>) {
    let mut silent = 0;
    let mut orders = Orders::default();
    loop {
        let asked = shared.clock.now();
        let report = engine.report(REPORT_MS).await;
        let took_ms = shared.clock.now().since(asked);
        shared.measures.report(report.is_ok(), took_ms);
        match report {
            Ok(report) => {
                silent = 0;
                heard(&shared, report, &mut orders);
                order_if_due(&shared, engine.as_mut(), &mut orders).await;
            }
            Err(e) => {
                silent += 1;
                if silent == SILENT_REPORTS {
                    log::warn!(error:% = e; "engine does not answer");
                    set_phase(&shared, Phase::Unreachable);
                    orders = Orders::default();
                }
            }
        }
        let loading = matches!(shared.state.borrow().phase, Phase::Closing | Phase::Loading);
        let pause = if loading { LOADING_PAUSE } else { REPORT_PAUSE };
        tokio::time::sleep(pause).await;
    }
}

fn heard(shared: &Shared, report: dw_port::Report, orders: &mut Orders) {
    let busy = report.busy;
    let running = report.running;
    let accepted = report.orders;
    let restarted = {
        let mut state = shared.state.borrow_mut();
        let before = state.report.as_ref().map(|report| report.started_ms);
        let restarted = before.is_some_and(|born| born != report.started_ms);
        if state.report.as_ref().map(|r| &r.models) != Some(&report.models) {
            let models: Vec<String> = report
                .models
                .iter()
                .map(|(m, w)| format!("{m}@{w}"))
                .collect();
            log::info!(models = models.join(","), accepted, restarted; "engine has weights");
        }
        state.report = Some(report);
        restarted
    };
    if restarted {
        *orders = Orders::default();
    }
    if busy {
        let phase = if running > 0 {
            Phase::Closing
        } else {
            Phase::Loading
        };
        set_phase(shared, phase);
        return;
    }
    let last = orders.pending.as_ref();
    let pending = last.is_some_and(|sent| sent.orders_before == accepted);
    if !pending {
        orders.pending = None;
        set_phase(shared, Phase::Open);
    }
}

async fn order_if_due(shared: &Shared, engine: &mut dyn Engine, orders: &mut Orders) {
    let now = shared.clock.now();
    let due = {
        let state = shared.state.borrow();
        let busy = state.report.as_ref().is_none_or(|report| report.busy);
        if busy {
            return;
        }
        state.due(now)
    };
    let Some(due) = due.filter(|due| orders.may_send(due.behind.newest.fence, now)) else {
        return;
    };
    if orders.pending.is_none() {
        set_phase(shared, Phase::Closing);
        tokio::time::sleep(CLOSING).await;
    }
    send_order(shared, engine, &due, orders).await;
}

async fn send_order(shared: &Shared, engine: &mut dyn Engine, due: &Due, orders: &mut Orders) {
    let behind = &due.behind;
    let accepted = {
        let state = shared.state.borrow();
        state.report.as_ref().map_or(0, |report| report.orders)
    };
    let order = Order {
        model: behind.model.clone(),
        weights: behind.newest.weights,
        holder: shared.node.to_string(),
        fence: behind.newest.fence,
        expected_orders: accepted,
    };
    let answer = engine.order(&order, ORDER_MS).await;
    let now = shared.clock.now();
    shared.measures.order(answer.as_ref().ok());
    let inputs = due.inputs;
    log::info!(
        model:% = order.model, weights:% = order.weights, fence:% = order.fence,
        held:% = behind.held, expected_orders = accepted, behind_ms = inputs.behind_ms.0,
        peers = inputs.peers, peers_heard = inputs.peers_heard, place = inputs.place,
        most_at_work = inputs.most_at_work, requests = inputs.requests, answer:? = answer;
        "order is sent"
    );
    match answer {
        Ok(OrderResult::Accepted | OrderResult::Holds | OrderResult::Conflict) => {
            orders.pending = None;
        }
        Ok(OrderResult::Fenced) => {
            orders.pending = None;
            orders.refused = Some(order.fence);
            set_phase(shared, Phase::Open);
        }
        // Without an answer it may have been accepted; the next report tells.
        Ok(OrderResult::Rejected(_)) | Err(_) => {
            orders.pending = Some(Sent {
                at: now,
                orders_before: accepted,
            });
        }
    }
}

fn set_phase(shared: &Shared, phase: Phase) {
    let mut state = shared.state.borrow_mut();
    if state.phase != phase {
        shared.measures.phase_ended(state.phase, shared.clock.now());
        log::info!(before:? = state.phase, phase:? = phase; "engine has changed its phase");
        state.phase = phase;
        shared.changed.notify_one();
    }
}

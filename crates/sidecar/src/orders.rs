//! Polls the engine's state and orders it to load published weights.

use std::rc::Rc;
use std::time::Duration;

use dw_base::DurationMs;
use dw_base::FenceNumber;
use dw_base::TimeMs;
use dw_port::Engine;
use dw_port::Order;
use dw_port::OrderResult;
use dw_wire::Phase;

use crate::admission;
use crate::sidecar::Shared;
use crate::state::DueLoad;

/// Pause between two calls for the engine's report.
const REPORT_PAUSE: Duration = Duration::from_millis(120);

/// Pause between two calls for the report while the engine closes or loads.
const LOADING_REPORT_PAUSE: Duration = Duration::from_millis(40);

/// Timeout of a call for the report.
const REPORT_TIMEOUT_MS: DurationMs = DurationMs(250);

/// Consecutive failed calls for the report after which the engine counts as unreachable.
const MAX_FAILED_REPORTS: u32 = 2;

/// Pause between the announcement of the closing phase and the order, in which routers stop sending
/// requests.
const CLOSING_PAUSE: Duration = Duration::from_millis(25);

/// Timeout of an order.
const ORDER_TIMEOUT_MS: DurationMs = DurationMs(400);

/// Time after which an order that was rejected or not answered is sent again.
const RESEND_PAUSE_MS: DurationMs = DurationMs(400);

/// An order without an answer, or rejected, that the engine may still have accepted.
struct PendingOrder {
    sent_at: TimeMs,
    /// Number of orders that the engine had accepted before this one.
    accepted_before: u64,
}

/// State of the orders to one incarnation of the engine.
#[derive(Default)]
struct OrderState {
    /// Last order, if its result is not known yet.
    pending: Option<PendingOrder>,
    /// Fencing number that the engine has refused; only a greater one may be sent.
    refused_fence: Option<FenceNumber>,
}

impl OrderState {
    /// Returns whether an order with a fencing number may be sent, or sent again.
    fn may_send(&self, fence: FenceNumber, now: TimeMs) -> bool {
        let is_recent = |sent: &PendingOrder| now.since(sent.sent_at) < RESEND_PAUSE_MS;
        let is_refused = self.refused_fence.is_some_and(|refused| fence <= refused);
        !is_refused && !self.pending.as_ref().is_some_and(is_recent)
    }
}

/// Polls the engine's report and orders due loads until the task is aborted.
pub(crate) async fn watch_engine(shared: Rc<Shared>, mut engine: Box<dyn Engine>) {
    let mut failed_reports = 0;
    let mut orders = OrderState::default();
    loop {
        let call_start = shared.clock.now();
        let report = engine.report(REPORT_TIMEOUT_MS).await;
        let took_ms = shared.clock.now().since(call_start);
        shared.metrics.record_report(report.is_ok(), took_ms);
        match report {
            Ok(report) => {
                failed_reports = 0;
                apply_report(&shared, report, &mut orders);
                order_if_due(&shared, engine.as_mut(), &mut orders).await;
            }
            Err(e) => {
                failed_reports += 1;
                if failed_reports == MAX_FAILED_REPORTS {
                    log::warn!(error:% = e; "engine unreachable: consecutive report calls failed");
                    set_phase(&shared, Phase::Unreachable);
                    orders = OrderState::default();
                }
            }
        }
        let loading = matches!(shared.state.borrow().phase, Phase::Closing | Phase::Loading);
        let pause = if loading {
            LOADING_REPORT_PAUSE
        } else {
            REPORT_PAUSE
        };
        tokio::time::sleep(pause).await;
    }
}

fn apply_report(shared: &Shared, report: dw_port::Report, orders: &mut OrderState) {
    admission::observe(shared, &report, shared.clock.now());
    let busy = report.busy;
    let running = report.running;
    let accepted = report.orders;
    let restarted = {
        let mut state = shared.state.borrow_mut();
        let previous_start = state.report.as_ref().map(|report| report.started_ms);
        let restarted = previous_start.is_some_and(|start| start != report.started_ms);
        if state.report.as_ref().map(|r| &r.models) != Some(&report.models) {
            let models: Vec<String> = report
                .models
                .iter()
                .map(|(m, w)| format!("{m}@{w}"))
                .collect();
            log::info!(
                models = models.join(","), accepted, restarted;
                "engine reports changed models or weights"
            );
        }
        state.report = Some(report);
        restarted
    };
    if restarted {
        *orders = OrderState::default();
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
    let is_pending = last.is_some_and(|sent| sent.accepted_before == accepted);
    if !is_pending {
        orders.pending = None;
        set_phase(shared, Phase::Open);
    }
}

async fn order_if_due(shared: &Shared, engine: &mut dyn Engine, orders: &mut OrderState) {
    let now = shared.clock.now();
    let due = {
        let state = shared.state.borrow();
        let busy = state.report.as_ref().is_none_or(|report| report.busy);
        if busy {
            return;
        }
        state.due_load(now)
    };
    let Some(due) = due.filter(|due| orders.may_send(due.fence, now)) else {
        return;
    };
    if orders.pending.is_none() {
        set_phase(shared, Phase::Closing);
        tokio::time::sleep(CLOSING_PAUSE).await;
    }
    send_order(shared, engine, &due, orders).await;
}

async fn send_order(
    shared: &Shared,
    engine: &mut dyn Engine,
    due: &DueLoad,
    orders: &mut OrderState,
) {
    let outdated = &due.outdated;
    let accepted = {
        let state = shared.state.borrow();
        state.report.as_ref().map_or(0, |report| report.orders)
    };
    let order = Order {
        model: outdated.model.clone(),
        weights: outdated.newest.weights,
        holder: shared.node.to_string(),
        fence: due.fence,
        expected_orders: accepted,
    };
    let answer = engine.order(&order, ORDER_TIMEOUT_MS).await;
    let now = shared.clock.now();
    shared.metrics.record_order(answer.as_ref().ok());
    let inputs = due.inputs;
    log::info!(
        model:% = order.model, weights:% = order.weights, fence:% = order.fence,
        held:% = outdated.held, expected_orders = accepted, behind_ms = inputs.behind_ms.0,
        peers = inputs.peers, peers_heard = inputs.peers_heard, place = inputs.place,
        most_at_work = inputs.most_at_work, requests = inputs.requests, answer:? = answer;
        "sent load order to engine"
    );
    match answer {
        Ok(OrderResult::Accepted | OrderResult::Holds | OrderResult::Conflict) => {
            orders.pending = None;
        }
        Ok(OrderResult::Fenced) => {
            orders.pending = None;
            orders.refused_fence = Some(order.fence);
            set_phase(shared, Phase::Open);
        }
        // The engine may have accepted the order; the next report shows it.
        Ok(OrderResult::Rejected(_)) | Err(_) => {
            orders.pending = Some(PendingOrder {
                sent_at: now,
                accepted_before: accepted,
            });
        }
    }
}

fn set_phase(shared: &Shared, phase: Phase) {
    let mut state = shared.state.borrow_mut();
    if state.phase != phase {
        shared.metrics.record_phase(state.phase, shared.clock.now());
        log::info!(before:? = state.phase, phase:? = phase; "engine phase changed");
        state.phase = phase;
        shared.changed.notify_one();
    }
}

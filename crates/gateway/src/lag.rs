//! Measures how late the tasks of this process run.

use std::rc::Rc;

use dw_admit::LAG_INTERVAL_MS;

use crate::shared::Shared;

/// Measures the lag of a timer until the task is aborted.
pub(crate) async fn measure(shared: Rc<Shared>) {
    loop {
        let due = shared.now() + LAG_INTERVAL_MS;
        tokio::time::sleep(LAG_INTERVAL_MS.into()).await;
        let now = shared.now();
        let lag_ms = now.since(due);
        let mut congestion = shared.congestion.borrow_mut();
        let routes = shared.routes();
        if let Some(shortest_ms) = routes.and_then(|routes| routes.shortest_objective_ms()) {
            congestion.set_objective(shortest_ms);
        }
        let changed = congestion.record_lag(lag_ms, now);
        let ratio = congestion.ratio();
        drop(congestion);
        let held = shared.held.borrow().total();
        shared.metrics.set_process_state(lag_ms, held);
        if changed {
            log::warn!(lag_ms = lag_ms.0, ratio; "congestion state changed");
        }
    }
}

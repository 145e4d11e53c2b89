//! Follows the published weights and the KV stores in the platform's table.

use std::rc::Rc;

use dw_base::DurationMs;
use dw_fleet::WaitTiming;
use dw_follow::follow_with_schedule;
use dw_follow::Follower;
use dw_follow::NextPoll;
use dw_follow::PollSchedule;
use dw_follow::PollSettings;
use dw_follow::RESPONSE_TIMEOUT_MS;
use dw_follow::RETRY_PAUSE_MS;
use dw_order::NewestWeights;
use dw_port::Declaration;
use dw_port::Feed;
use dw_port::TableVersion;
use dw_route::RouteTableParts;

use crate::sidecar::Shared;

/// Pause after a change of the table.
const PAUSE_AFTER_CHANGE_MS: DurationMs = DurationMs(100);

/// Age of the routers' last announced read from which the sidecar reads the table itself.
const ROUTER_READ_TTL_MS: DurationMs = DurationMs(10_000);

/// Time after which the sidecar reads the table even while routers read it.
const MAX_POLL_INTERVAL_MS: DurationMs = DurationMs(60_000);

/// Pause between checks of what routers have announced.
const CHECK_INTERVAL_MS: DurationMs = DurationMs(500);

/// Polls the table rarely while routers read it, as they announce published weights at once.
struct RouterAwareSchedule {
    shared: Rc<Shared>,
    /// Longest wait of a call while no router announces that it reads the table.
    max_wait_ms: DurationMs,
}

impl PollSchedule for RouterAwareSchedule {
    fn next_poll(&self, _position: TableVersion, answered_ms: DurationMs) -> NextPoll {
        let now = self.shared.clock.now();
        let is_read_by_routers = self
            .shared
            .hints
            .borrow()
            .fresh(ROUTER_READ_TTL_MS, now)
            .is_some();
        match is_read_by_routers {
            true if answered_ms >= MAX_POLL_INTERVAL_MS => NextPoll::Call(DurationMs::ZERO),
            true => NextPoll::Later(CHECK_INTERVAL_MS),
            false => NextPoll::Call(self.max_wait_ms),
        }
    }
}

struct DeclarationFollower(Rc<Shared>);

impl DeclarationFollower {
    fn set_stores(&self, parts: &RouteTableParts) {
        let stores = parts.kv_stores.iter().map(|store| store.addr);
        *self.0.stores.borrow_mut() = stores.collect();
    }
}

impl Follower<Declaration> for DeclarationFollower {
    fn name(&self) -> &'static str {
        "declarations"
    }

    fn snapshot(&mut self, items: Vec<Declaration>) {
        self.changes(items);
    }

    fn set_position(&mut self, _version: TableVersion) {
        self.0.state.borrow_mut().declarations_read = true;
    }

    fn changes(&mut self, items: Vec<Declaration>) {
        for item in items {
            match item {
                Declaration::Routes(parts) => self.set_stores(&parts),
                Declaration::InvalidRoutes(invalid) => {
                    log::error!(
                        key = invalid.row.key.as_str(), detail = invalid.row.detail.as_str();
                        "configuration is invalid"
                    );
                    let has_stores = !self.0.stores.borrow().is_empty();
                    if let Some(readable) = invalid.readable.filter(|_| !has_stores) {
                        self.set_stores(&readable);
                    }
                }
                Declaration::Weights(published) => {
                    let now = self.0.clock.now();
                    let newest = NewestWeights {
                        weights: published.weights,
                        fence: published.fence,
                    };
                    let mut state = self.0.state.borrow_mut();
                    if state.declarations.declare(&published.model, newest, now) {
                        log::info!(
                            model:% = published.model, weights:% = published.weights,
                            fence:% = published.fence, source = "table";
                            "weights published"
                        );
                    }
                }
                Declaration::InvalidRow(row) => log::warn!(
                    key = row.key.as_str(), detail = row.detail.as_str();
                    "ignoring invalid declaration"
                ),
            }
        }
    }
}

/// Follows the platform's table until the task is aborted.
pub(crate) async fn follow_weights(shared: Rc<Shared>, feed: Box<dyn Feed<Declaration>>) {
    let clock = shared.clock.clone();
    let max_wait_ms = WaitTiming {
        settle_ms: shared.settle_ms,
        bound_ms: shared.settle_ms,
        answer_timeout_ms: RESPONSE_TIMEOUT_MS,
        retry_pause_ms: RETRY_PAUSE_MS,
        is_relied_on: false,
    }
    .max_wait_ms();
    let settings = PollSettings {
        max_wait_ms,
        pause_ms: PAUSE_AFTER_CHANGE_MS,
    };
    let schedule = Box::new(RouterAwareSchedule {
        shared: shared.clone(),
        max_wait_ms,
    });
    follow_with_schedule(
        feed,
        DeclarationFollower(shared),
        (settings, schedule),
        clock,
    )
    .await;
}

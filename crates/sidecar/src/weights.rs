//! Follows which weights are named in the platform's table.

use std::rc::Rc;

use dw_base::DurationMs;
use dw_follow::follow_with_schedule;
use dw_follow::Follower;
use dw_follow::NextPoll;
use dw_follow::PollSchedule;
use dw_follow::PollSettings;
use dw_order::NewestWeights;
use dw_port::Declaration;
use dw_port::Feed;
use dw_port::TableVersion;

use crate::sidecar::Shared;

/// Pauses while no router tells that it reads the table.
const PACE: PollSettings = PollSettings {
    max_wait_ms: DurationMs(10_000),
    pause_ms: DurationMs(100),
};

/// Age of what routers have read from which the table is asked.
const READ_MS: DurationMs = DurationMs(10_000);

/// Time after which the table is asked though routers read it.
const UNASKED_MS: DurationMs = DurationMs(60_000);

/// Pause between looks at what routers tell.
const LOOK_MS: DurationMs = DurationMs(500);

/// Leaves the table to the routers while they read it: they tell of named weights at once.
struct Rarely(Rc<Shared>);

impl PollSchedule for Rarely {
    fn next_poll(&self, _position: TableVersion, answered_ms: DurationMs) -> NextPoll {
        let now = self.0.clock.now();
        let is_read = self.0.hints.borrow().fresh(READ_MS, now).is_some();
        match is_read {
            true if answered_ms >= UNASKED_MS => NextPoll::Call(DurationMs::ZERO),
            true => NextPoll::Later(LOOK_MS),
            false => NextPoll::Call(PACE.max_wait_ms),
        }
    }
}

struct Names(Rc<Shared>);

impl Follower<Declaration> for Names {
    fn name(&self) -> &'static str {
        "declarations"
    }

    fn snapshot(&mut self, items: Vec<Declaration>) {
        self.changes(items);
    }

    fn changes(&mut self, items: Vec<Declaration>) {
        for item in items {
            match item {
                Declaration::Routes(parts) => {
                    let stores = parts.kv_stores.iter().map(|store| store.addr);
                    *self.0.stores.borrow_mut() = stores.collect();
                }
                Declaration::Weights(news) => {
                    let now = self.0.clock.now();
                    let newest = NewestWeights {
                        weights: news.weights,
                        fence: news.fence,
                    };
                    let mut state = self.0.state.borrow_mut();
                    if state.namings.declare(&news.model, newest, now) {
                        log::info!(
                            model:% = news.model, weights:% = news.weights, fence:% = news.fence,
                            source = "table";
                            "weights are named"
                        );
                    }
                }
                Declaration::InvalidRow(row) => log::warn!(
                    key = row.key.as_str(), detail = row.detail.as_str();
                    "declaration cannot be read and is ignored"
                ),
            }
        }
    }
}

/// Follows named weights until the task is aborted.
pub(crate) async fn follow_weights(shared: Rc<Shared>, feed: Box<dyn Feed<Declaration>>) {
    let clock = shared.clock.clone();
    let pacer = Box::new(Rarely(shared.clone()));
    follow_with_schedule(feed, Names(shared), (PACE, pacer), clock).await;
}

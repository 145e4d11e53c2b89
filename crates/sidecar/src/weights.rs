//! Follows which weights are named in the platform's table.

use std::rc::Rc;

use dw_base::DurationMs;
use dw_follow::follow;
use dw_follow::Follower;
use dw_follow::Pace;
use dw_order::Newest;
use dw_port::Declaration;
use dw_port::Feed;

use crate::sidecar::Shared;

/// Calls are rare, since routers tell of named weights, too.
const PACE: Pace = Pace {
    longest_wait_ms: DurationMs(10_000),
    pause_ms: DurationMs(100),
};

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
                Declaration::Routes(_) => {}
                Declaration::Weights(news) => {
                    let now = self.0.clock.now();
                    let newest = Newest {
                        weights: news.weights,
                        fence: news.fence,
                    };
                    let mut state = self.0.state.borrow_mut();
                    if state.namings.name(&news.model, newest, now) {
                        log::info!(
                            model:% = news.model, weights:% = news.weights, fence:% = news.fence,
                            source = "table";
                            "weights are named"
                        );
                    }
                }
                Declaration::Unreadable(row) => log::warn!(
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
    follow(feed, Names(shared), PACE, clock).await;
}

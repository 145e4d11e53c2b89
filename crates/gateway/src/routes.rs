//! Follows what operators declare.

use std::rc::Rc;

use dw_base::DurationMs;
use dw_follow::follow;
use dw_follow::Follower;
use dw_follow::Pace;
use dw_order::Newest;
use dw_port::Declaration;
use dw_port::Feed;
use dw_port::NamedWeights;
use dw_route::RouteTable;
use dw_route::RouteTableParts;

use crate::ages::Ages;
use crate::gossip::tell_all;
use crate::shared::Shared;

/// Pause after a changed declaration.
const PAUSE_MS: DurationMs = DurationMs(100);

/// Longest wait of a call, in times within which a changed configuration must be in force.
const WAIT_FACTOR: f64 = 1.5;

/// Returns the longest wait of one call for changes.
///
/// A call that is lost with a silent table must end well within the time that a changed
/// configuration or a leaving upstream may take, counted from when the table is stable again.
pub(crate) fn longest_wait_ms(shared: &Shared) -> DurationMs {
    let config_ms = shared.boot().bounds.config_ms.0 as f64;
    DurationMs((config_ms * WAIT_FACTOR) as u64)
}

struct Routes(Rc<Shared>, Ages);

impl Follower<Declaration> for Routes {
    fn name(&self) -> &'static str {
        "declarations"
    }

    fn snapshot(&mut self, items: Vec<Declaration>) {
        self.take(items, false);
    }

    fn changes(&mut self, items: Vec<Declaration>) {
        self.take(items, true);
    }
}

impl Routes {
    /// Takes in declarations; `is_news` if they were made just now.
    fn take(&self, items: Vec<Declaration>, is_news: bool) {
        for item in items {
            match item {
                Declaration::Routes(parts) => self.routes(*parts),
                Declaration::Weights(news) => self.weights(&news, is_news),
                Declaration::Unreadable(row) => log::warn!(
                    key = row.key.as_str(), detail = row.detail.as_str();
                    "declaration cannot be read; the last one stays in force"
                ),
            }
        }
    }

    /// Takes over named weights. The time of the naming is kept in the table, so that a process
    /// that starts later knows how old they are.
    fn weights(&self, named: &NamedWeights, is_news: bool) {
        let now = self.0.now();
        let newest = Newest {
            weights: named.weights,
            fence: named.fence,
        };
        let mut weights = self.0.weights.borrow_mut();
        if !weights.namings.name(&named.model, newest, now) {
            return;
        }
        log::info!(
            model:% = named.model, weights:% = named.weights, fence:% = named.fence, is_news;
            "weights are named"
        );
        tell_all(&self.0);
        match is_news {
            true => self.1.record(named),
            false => self.1.recall(),
        }
    }

    /// Puts a configuration in force unless a newer one is; a version never goes back.
    fn routes(&self, parts: RouteTableParts) {
        let current = self.0.routes().map(|routes| routes.version());
        if current.is_some_and(|current| current >= parts.version) {
            return;
        }
        let routes = RouteTable::new(parts);
        log::info!(
            config_version:% = routes.version(), routes = routes.route_count();
            "configuration is in force"
        );
        *self.0.routes.borrow_mut() = Some(Rc::new(routes));
    }
}

/// Follows what operators declare until the task is aborted.
pub(crate) async fn follow_routes(
    shared: Rc<Shared>,
    feed: Box<dyn Feed<Declaration>>,
    ages: Ages,
) {
    let clock = shared.clock.clone();
    let pace = Pace {
        longest_wait_ms: longest_wait_ms(&shared),
        pause_ms: PAUSE_MS,
    };
    follow(feed, Routes(shared, ages), pace, clock).await;
}

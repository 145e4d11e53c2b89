//! Follows what operators declare.

use std::rc::Rc;

use dw_follow::follow;
use dw_follow::Follower;
use dw_order::Newest;
use dw_port::Declaration;
use dw_port::Feed;
use dw_port::NamedWeights;
use dw_route::RouteTable;
use dw_route::RouteTableParts;

use crate::ages::Ages;
use crate::gossip::tell_all;
use crate::registrations::CHANGES_WAIT_MS;
use crate::shared::Shared;

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
    follow(feed, Routes(shared, ages), CHANGES_WAIT_MS, clock).await;
}

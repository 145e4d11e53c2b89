//! Follows what operators declare.

use std::rc::Rc;

use dw_follow::follow;
use dw_follow::Follower;
use dw_port::Declaration;
use dw_port::Feed;
use dw_route::RouteTable;
use dw_route::RouteTableParts;

use crate::gossip::tell_all;
use crate::shared::Shared;

struct Routes(Rc<Shared>);

impl Follower<Declaration> for Routes {
    fn name(&self) -> &'static str {
        "declarations"
    }

    fn snapshot(&mut self, items: Vec<Declaration>) {
        self.changes(items);
    }

    fn changes(&mut self, items: Vec<Declaration>) {
        for item in items {
            match item {
                Declaration::Routes(parts) => self.routes(*parts),
                Declaration::Weights(news) => {
                    let now = self.0.now();
                    log::info!(
                        model:% = news.model, weights:% = news.weights, fence:% = news.fence;
                        "weights are named"
                    );
                    if self.0.weights.borrow_mut().name(news, now) {
                        tell_all(&self.0);
                    }
                }
                Declaration::Unreadable(row) => log::warn!(
                    key = row.key.as_str(), detail = row.detail.as_str();
                    "declaration cannot be read; the last one stays in force"
                ),
            }
        }
    }
}

impl Routes {
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
pub(crate) async fn follow_routes(shared: Rc<Shared>, feed: Box<dyn Feed<Declaration>>) {
    let clock = shared.clock.clone();
    follow(feed, Routes(shared), clock).await;
}

//! Follows what operators declare.

use std::rc::Rc;

use dw_base::DurationMs;
use dw_follow::Follower;
use dw_order::NewestWeights;
use dw_port::Declaration;
use dw_port::DeclaredWeights;
use dw_port::Feed;
use dw_port::TableVersion;
use dw_route::RouteTable;
use dw_route::RouteTableParts;

use crate::ages::Ages;
use crate::gossip::tell_all;
use crate::shared::Shared;
use crate::tables::follow_table;
use crate::tables::Followed;

/// Pause after a changed declaration.
const PAUSE_MS: DurationMs = DurationMs(100);

/// Takes in declarations.
struct Routes {
    shared: Rc<Shared>,
    ages: Ages,
}

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

    fn set_position(&mut self, _version: TableVersion) {
        let now = self.shared.now();
        let mut tables = self.shared.tables.borrow_mut();
        tables.answered(Followed::Declarations, now);
    }
}

impl Routes {
    /// Takes in declarations; `is_news` if they were made just now.
    fn take(&mut self, items: Vec<Declaration>, is_news: bool) {
        for item in items {
            match item {
                Declaration::Routes(parts) => self.routes(*parts),
                Declaration::Weights(news) => self.weights(&news, is_news),
                Declaration::InvalidRow(row) => log::warn!(
                    key = row.key.as_str(), detail = row.detail.as_str();
                    "declaration cannot be read; the last one stays in force"
                ),
            }
        }
    }

    /// Takes over named weights. The time of the naming is kept in the table, so that a process
    /// that starts later knows how old they are.
    fn weights(&self, named: &DeclaredWeights, is_news: bool) {
        let now = self.shared.now();
        let newest = NewestWeights {
            weights: named.weights,
            fence: named.fence,
        };
        let mut weights = self.shared.weights.borrow_mut();
        if !weights.namings.declare(&named.model, newest, now) {
            return;
        }
        log::info!(
            model:% = named.model, weights:% = named.weights, fence:% = named.fence, is_news;
            "weights are named"
        );
        tell_all(&self.shared);
        match is_news {
            true => self.ages.record(named),
            false => self.ages.recall(),
        }
    }

    /// Puts a configuration in force unless a newer one is; a version never goes back.
    fn routes(&mut self, parts: RouteTableParts) {
        let current = self.shared.routes().map(|routes| routes.version());
        if current.is_some_and(|current| current >= parts.version) {
            return;
        }
        let routes = RouteTable::new(parts);
        log::info!(
            config_version:% = routes.version(), routes = routes.route_count();
            "configuration is in force"
        );
        self.shared.tables.borrow_mut().configured(routes.version());
        tell_all(&self.shared);
        *self.shared.routes.borrow_mut() = Some(Rc::new(routes));
    }
}

/// Follows what operators declare until the task is aborted.
pub(crate) async fn follow_routes(
    shared: Rc<Shared>,
    feed: Box<dyn Feed<Declaration>>,
    ages: Ages,
) {
    let routes = Routes {
        shared: shared.clone(),
        ages,
    };
    follow_table(shared, Followed::Declarations, feed, routes, PAUSE_MS).await;
}

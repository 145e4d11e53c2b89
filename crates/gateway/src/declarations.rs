//! Follows the declarations of operators.

use std::rc::Rc;

use dw_base::DurationMs;
use dw_fleet::FollowedTable;
use dw_follow::CallResult;
use dw_follow::Follower;
use dw_follow::TablePaths;
use dw_order::NewestWeights;
use dw_port::Declaration;
use dw_port::DeclaredWeights;
use dw_port::InvalidRoutes;
use dw_port::TableVersion;
use dw_route::RouteTable;
use dw_route::RouteTableParts;

use crate::declaration_times::DeclarationTimeQueue;
use crate::gossip::request_announcement;
use crate::quarantine;
use crate::shared::Shared;
use crate::tables::follow_table;

/// Pause after a change of the declarations.
const PAUSE_AFTER_CHANGE_MS: DurationMs = DurationMs(100);

/// Applies declarations of operators.
struct DeclarationFollower {
    shared: Rc<Shared>,
    declaration_times: DeclarationTimeQueue,
}

impl Follower<Declaration> for DeclarationFollower {
    fn name(&self) -> &'static str {
        "declarations"
    }

    fn snapshot(&mut self, items: Vec<Declaration>) {
        self.apply(items, false);
    }

    fn changes(&mut self, items: Vec<Declaration>) {
        self.apply(items, true);
    }

    /// Writes the rows of this project again that the copy lacks: times of publications and quarantined
    /// prompt parts, which processes read when they start.
    fn restored(&mut self) {
        if !self.shared.tables.borrow().is_reader {
            return;
        }
        let now = self.shared.now();
        for update in self.shared.weights.borrow().declarations.updates(now) {
            let published = now - update.age_ms;
            self.declaration_times
                .record_at(&update.model, update.weights, published);
        }
        quarantine::store_again(&self.shared);
    }

    fn unreachable(&mut self) {
        let now = self.shared.now();
        let mut tables = self.shared.tables.borrow_mut();
        tables.record_failure(FollowedTable::Declarations, now);
        request_announcement(&self.shared);
    }

    fn called(&mut self, result: CallResult) {
        self.shared.metrics.record_table_call(result);
    }

    fn set_position(&mut self, _version: TableVersion) {
        let now = self.shared.now();
        let mut tables = self.shared.tables.borrow_mut();
        tables.record_answer(FollowedTable::Declarations, now);
    }
}

impl DeclarationFollower {
    /// Applies declarations; `is_change` tells new ones from those of a snapshot.
    fn apply(&mut self, items: Vec<Declaration>, is_change: bool) {
        for item in items {
            match item {
                Declaration::Routes(parts) => self.apply_valid_routes(*parts),
                Declaration::InvalidRoutes(invalid) => self.apply_invalid_routes(invalid),
                Declaration::Weights(declared) => self.apply_weights(&declared, is_change),
                Declaration::InvalidRow(row) => log::warn!(
                    key = row.key.as_str(), detail = row.detail.as_str();
                    "ignoring invalid declaration; the previous one stays in force"
                ),
            }
        }
    }

    /// Applies published weights. The table keeps the time of publication, so that a process that
    /// starts later knows how old the weights are.
    fn apply_weights(&self, declared: &DeclaredWeights, is_change: bool) {
        let now = self.shared.now();
        let newest = NewestWeights {
            weights: declared.weights,
            fence: declared.fence,
        };
        let mut weights = self.shared.weights.borrow_mut();
        if !weights.declarations.declare(&declared.model, newest, now) {
            return;
        }
        log::info!(
            model:% = declared.model, weights:% = declared.weights, fence:% = declared.fence,
            is_news = is_change;
            "weights published"
        );
        request_announcement(&self.shared);
        match is_change {
            true => self.declaration_times.record(declared, now),
            false => self.declaration_times.restore(),
        }
    }

    fn apply_valid_routes(&mut self, parts: RouteTableParts) {
        self.set_configuration_invalid(false);
        self.apply_routes(parts);
    }

    /// Puts the readable part of a configuration in force, in which what cannot be read is closed: its requests are
    /// refused without being run. Otherwise keys and routes that were taken away would stay in use. If the part does not
    /// tell which requests are closed, the configuration in force stays.
    fn apply_invalid_routes(&mut self, invalid: InvalidRoutes) {
        self.set_configuration_invalid(true);
        let has_readable = invalid.readable.is_some();
        if let Some(readable) = invalid.readable {
            self.apply_routes(*readable);
        }
        log::error!(
            key = invalid.row.key.as_str(), detail = invalid.row.detail.as_str(),
            serves_readable_part = has_readable,
            serves_previous = !has_readable && self.shared.routes().is_some();
            "configuration is invalid"
        );
    }

    fn set_configuration_invalid(&self, is_invalid: bool) {
        self.shared.configuration_invalid.set(is_invalid);
        self.shared.metrics.set_configuration_invalid(is_invalid);
    }

    /// Puts a configuration in force, unless the current one is at least as new, so that the version never decreases.
    fn apply_routes(&mut self, parts: RouteTableParts) {
        let current = self.shared.routes().map(|routes| routes.version());
        if current.is_some_and(|current| current >= parts.version) {
            return;
        }
        let routes = RouteTable::new(parts);
        log::info!(
            config_version:% = routes.version(), routes = routes.route_count();
            "configuration in force"
        );
        self.shared
            .tables
            .borrow_mut()
            .set_config_version(routes.version());
        request_announcement(&self.shared);
        *self.shared.routes.borrow_mut() = Some(Rc::new(routes));
    }
}

/// Follows the declarations of operators until the task is aborted.
pub(crate) async fn follow_declarations(
    shared: Rc<Shared>,
    paths: TablePaths<Declaration>,
    declaration_times: DeclarationTimeQueue,
) {
    let follower = DeclarationFollower {
        shared: shared.clone(),
        declaration_times,
    };
    follow_table(
        shared,
        FollowedTable::Declarations,
        paths,
        follower,
        PAUSE_AFTER_CHANGE_MS,
    )
    .await;
}

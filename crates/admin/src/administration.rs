//! Authentication, parsing and execution of statement requests.

use std::sync::Arc;

use bon::bon;
use dw_api::admin::Result as StatementResult;
use dw_api::admin::StatementError;
use dw_api::admin::StatementRequest;
use dw_api::admin::StatementResponse;
use dw_base::ChangeId;
use dw_base::Clock;
use dw_base::ConfigVersion;
use dw_base::NodeId;
use dw_base::OperatorId;
use dw_config::Change;
use dw_config::CommitError;
use dw_config::Config;
use dw_config::ConfigSource;
use dw_config::Edit;
use dw_config::ObjectKey;
use dw_config::ObjectKind;
use dw_lang::parse;
use dw_lang::Filter;
use dw_lang::Kind;
use dw_lang::Query;
use dw_lang::Spanned;
use dw_lang::Statement;
use serde_json::json;
use serde_json::Map;
use serde_json::Value;

use crate::auth::authenticate;
use crate::edit::edit_for;
use crate::edit::object_kind;
use crate::error::from_change_error;
use crate::error::from_commit_error;
use crate::error::from_parse_error;
use crate::error::invalid;
use crate::error::statement_error;
use crate::error::unauthorized;
use crate::error::unknown_object;
use crate::node::ChangeLog;
use crate::node::ClusterState;
use crate::result_table::ResultTable;

/// Number of changes that `history` returns without a limit.
const DEFAULT_HISTORY_LIMIT: u64 = 20;

/// Maximum number of changes that `history` returns, so that one query cannot exhaust the read rate
/// limit of the table service.
const MAX_HISTORY_LIMIT: u64 = 1_000;

/// Executes statements on a node.
pub struct Administration {
    config: Arc<dyn ConfigSource>,
    log: Arc<dyn ChangeLog>,
    cluster: Arc<dyn ClusterState>,
    clock: Arc<dyn Clock>,
    bootstrap_token_sha256: Option<String>,
}

/// Result of committing or dry-running the commands of a request.
struct ChangeOutcome {
    before: Arc<Config>,
    after: Arc<Config>,
    message: String,
    unconfirmed: Vec<NodeId>,
}

#[bon]
impl Administration {
    /// Creates the statement executor of a node.
    #[builder]
    pub fn new(
        config: Arc<dyn ConfigSource>,
        log: Arc<dyn ChangeLog>,
        cluster: Arc<dyn ClusterState>,
        clock: Arc<dyn Clock>,
        bootstrap_token_sha256: Option<String>,
    ) -> Self {
        Administration {
            config,
            log,
            cluster,
            clock,
            bootstrap_token_sha256,
        }
    }
}

impl Administration {
    /// Executes the statements of a request. All commands form one atomic change, which is
    /// committed before the queries are evaluated.
    ///
    /// # Errors
    ///
    /// Returns an error if any statement is invalid or the change is rejected. Nothing has changed
    /// in that case, unless the error says that the outcome is unknown.
    pub async fn execute(
        &self,
        operator_token: Option<&str>,
        request: StatementRequest,
    ) -> Result<StatementResponse, StatementError> {
        let operator = self.authenticate(operator_token)?;
        let statements = parse(&request.text).map_err(from_parse_error)?;
        let edits = edits(&statements)?;
        let outcome = match edits.is_empty() {
            true => None,
            false => Some(self.change(&operator, &statements, edits, &request).await?),
        };
        let mut results = Vec::new();
        for Spanned { offset, statement } in &statements {
            let result = self.result(statement, outcome.as_ref()).await;
            results.push(result.map_err(|error| with_offset(error, *offset))?);
        }
        if let (Some(outcome), Some(last)) = (&outcome, last_command(&statements)) {
            results[last].messages.push(outcome.message.clone());
        }
        let unconfirmed = outcome
            .map(|outcome| outcome.unconfirmed)
            .unwrap_or_default();
        Ok(StatementResponse {
            config_version: self.config.current().version.0,
            results,
            unconfirmed: unconfirmed.iter().map(NodeId::to_string).collect(),
        })
    }

    fn authenticate(&self, token: Option<&str>) -> Result<OperatorId, StatementError> {
        let config = self.config.current();
        let bootstrap = self.bootstrap_token_sha256.as_deref();
        let operator = token.and_then(|token| authenticate(&config, bootstrap, token));
        operator.ok_or_else(unauthorized)
    }

    async fn change(
        &self,
        operator: &OperatorId,
        statements: &[Spanned],
        edits: Vec<Edit>,
        request: &StatementRequest,
    ) -> Result<ChangeOutcome, StatementError> {
        let before = self.config.current();
        let base = request.base_version.map_or(before.version, ConfigVersion);
        let change = Change {
            id: change_id(request.change_id.as_deref())?,
            operator: operator.clone(),
            text: command_text(statements),
            edits,
        };
        if request.dry_run.unwrap_or_default() {
            return self.dry_run(&change, base, before);
        }
        let id = change.id.clone();
        let committed = self.log.commit(change, base).await;
        let report = committed.map_err(|error| from_commit_error(&error))?;
        let message = format!("accepted as version {} with change id {id}", report.version);
        Ok(ChangeOutcome {
            before,
            after: self.config.current(),
            message,
            unconfirmed: report.unconfirmed,
        })
    }

    fn dry_run(
        &self,
        change: &Change,
        base: ConfigVersion,
        before: Arc<Config>,
    ) -> Result<ChangeOutcome, StatementError> {
        for key in change.touched() {
            let newer = before
                .entries
                .get(&key)
                .filter(|entry| entry.version > base);
            if let Some(entry) = newer {
                let lost_to = entry.version;
                return Err(from_commit_error(&CommitError::Conflict {
                    key,
                    base,
                    lost_to,
                }));
            }
        }
        let prepared = change.prepare(&before, self.clock.now());
        let prepared = prepared.map_err(|error| from_change_error(&error))?;
        let after = before.apply(&prepared).map_err(|error| {
            invalid(
                error.to_string(),
                "send the text again; nothing was changed",
            )
        })?;
        Ok(ChangeOutcome {
            before,
            after: Arc::new(after),
            message: "dry run: nothing was changed".to_owned(),
            unconfirmed: Vec::new(),
        })
    }

    async fn result(
        &self,
        statement: &Statement,
        outcome: Option<&ChangeOutcome>,
    ) -> Result<StatementResult, StatementError> {
        let table = match (statement, outcome) {
            (Statement::Query(query), _) => self.query(query).await?,
            (Statement::Command(command), Some(outcome)) => {
                let key = edit_for(command)?.key();
                changed_fields(&key, &outcome.before, &outcome.after)
            }
            (Statement::Command(_), None) => ResultTable::default(),
        };
        Ok(StatementResult {
            columns: table.columns,
            messages: Vec::new(),
            rows: table.rows,
            statement: statement.to_string(),
        })
    }

    async fn query(&self, query: &Query) -> Result<ResultTable, StatementError> {
        match query {
            Query::ExplainRequest(id) => self.explain(id).await,
            Query::Show { kind, name } => self.show(*kind, name).await,
            Query::List { kind, filters } => self.list(*kind, filters).await,
            Query::ShowPrefix(hash) => self.show_prefix(hash).await,
            Query::ShowConfig => Ok(config_table(&self.config.current())),
            Query::History { limit } => self.history(limit.unwrap_or(DEFAULT_HISTORY_LIMIT)).await,
        }
    }

    async fn explain(&self, id: &str) -> Result<ResultTable, StatementError> {
        let request_id = id.parse().map_err(|error: dw_base::ParseIdError| {
            invalid(error.to_string(), "copy the id from X-Request-Id")
        })?;
        let record = self.cluster.explain(&request_id).await;
        record
            .map(|record| ResultTable::of_fields(&record))
            .ok_or_else(|| {
                unknown_object(
                    format!("no node has a placement record of request {id}"),
                    "check the id; records of old requests are evicted",
                )
            })
    }

    async fn show(&self, kind: Kind, name: &str) -> Result<ResultTable, StatementError> {
        let missing = || {
            unknown_object(
                format!("{kind} {name:?} does not exist"),
                "list the objects of this kind to see their names",
            )
        };
        let Some(kind) = object_kind(kind) else {
            let nodes = self.cluster.nodes().await;
            let node = nodes
                .iter()
                .find(|node| node.get("name") == Some(&json!(name)));
            return node.map(ResultTable::of_fields).ok_or_else(missing);
        };
        let config = self.config.current();
        let name = name.to_owned();
        let found = config.entries.get_key_value(&ObjectKey { kind, name });
        let entry = found.ok_or_else(missing)?;
        Ok(ResultTable::of_entries(kind, [entry].into_iter()).transposed())
    }

    async fn list(&self, kind: Kind, filters: &[Filter]) -> Result<ResultTable, StatementError> {
        match object_kind(kind) {
            Some(kind) => object_table(&self.config.current(), kind).filtered(filters),
            None => ResultTable::of_maps(&["name"], &self.cluster.nodes().await).filtered(filters),
        }
    }

    async fn show_prefix(&self, hash: &str) -> Result<ResultTable, StatementError> {
        let hash = hash.parse().map_err(|error: dw_base::ParseNumberError| {
            invalid(error.to_string(), "copy the hash from explain request")
        })?;
        Ok(ResultTable::of_maps(
            &["upstream"],
            &self.cluster.prefix(hash).await,
        ))
    }

    async fn history(&self, limit: u64) -> Result<ResultTable, StatementError> {
        let changes = self.log.history(limit.min(MAX_HISTORY_LIMIT)).await;
        let changes = changes.map_err(|error| {
            let kind = dw_api::admin::StatementErrorKind::Unavailable;
            statement_error(
                kind,
                error,
                "send the query again when the table service is available",
            )
        })?;
        let mut table = ResultTable::new(&[
            ("version", ""),
            ("time_ms", "ms"),
            ("operator", ""),
            ("change_id", ""),
            ("text", ""),
        ]);
        for change in changes {
            table.rows.push(vec![
                json!(change.version),
                json!(change.time_ms),
                json!(change.operator),
                json!(change.id),
                json!(change.text),
            ]);
        }
        Ok(table)
    }
}

fn with_offset(mut error: StatementError, offset: usize) -> StatementError {
    error.offset = error.offset.or(Some(offset as u64));
    error
}

fn edits(statements: &[Spanned]) -> Result<Vec<Edit>, StatementError> {
    let mut edits = Vec::new();
    for Spanned { offset, statement } in statements {
        if let Statement::Command(command) = statement {
            edits.push(edit_for(command).map_err(|error| with_offset(error, *offset))?);
        }
    }
    Ok(edits)
}

/// Returns the index of the last command, whose result carries the message about the change.
fn last_command(statements: &[Spanned]) -> Option<usize> {
    statements
        .iter()
        .rposition(|spanned| matches!(spanned.statement, Statement::Command(_)))
}

fn command_text(statements: &[Spanned]) -> String {
    let commands = statements
        .iter()
        .filter(|spanned| matches!(spanned.statement, Statement::Command(_)));
    let texts: Vec<String> = commands.map(|c| c.statement.to_string()).collect();
    texts.join("; ")
}

fn change_id(given: Option<&str>) -> Result<ChangeId, StatementError> {
    let text = match given {
        Some(text) => text.to_owned(),
        None => format!("{:032x}", rand::random::<u128>()),
    };
    text.parse().map_err(|error: dw_base::ParseIdError| {
        invalid(
            error.to_string(),
            "omit the change id to have one generated",
        )
    })
}

fn object_table(config: &Config, kind: ObjectKind) -> ResultTable {
    ResultTable::of_entries(
        kind,
        config.entries.iter().filter(|(key, _)| key.kind == kind),
    )
}

fn config_table(config: &Config) -> ResultTable {
    let mut table = ResultTable::new(&[("kind", ""), ("name", ""), ("version", "")]);
    for (key, entry) in &config.entries {
        table
            .rows
            .push(vec![json!(key.kind), json!(key.name), json!(entry.version)]);
    }
    table
}

/// Returns the fields of an object that differ between two configurations.
fn changed_fields(key: &ObjectKey, before: &Config, after: &Config) -> ResultTable {
    let mut table =
        ResultTable::new(&[("object", ""), ("field", ""), ("before", ""), ("after", "")]);
    let (old, new) = (fields(key, before), fields(key, after));
    let mut names: Vec<&String> = old.keys().chain(new.keys()).collect();
    names.sort();
    names.dedup();
    for name in names {
        let values = [&old, &new].map(|map| map.get(name).cloned().unwrap_or_default());
        let [old_value, new_value] = values;
        if old_value != new_value {
            let object = json!(key.to_string());
            table
                .rows
                .push(vec![object, json!(name), old_value, new_value]);
        }
    }
    table
}

fn fields(key: &ObjectKey, config: &Config) -> Map<String, Value> {
    let entry = config.entries.get_key_value(key);
    let table = ResultTable::of_entries(key.kind, entry.into_iter());
    let values = table.rows.into_iter().flatten();
    let names = table.columns.into_iter().map(|column| column.name);
    names
        .zip(values)
        .filter(|(name, _)| name != "version")
        .collect()
}

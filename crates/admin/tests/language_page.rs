//! Tests of the administration API, including the examples of docs/language.md.

use std::collections::BTreeSet;
use std::fs;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;

use async_trait::async_trait;
use dw_admin::post_statements;
use dw_admin::Administration;
use dw_admin::ChangeLog;
use dw_admin::ClusterState;
use dw_admin::RuntimeHandler;
use dw_api::admin::StatementError;
use dw_api::admin::StatementErrorKind;
use dw_api::admin::StatementRequest;
use dw_base::BlockHash;
use dw_base::ConfigVersion;
use dw_base::ManualClock;
use dw_base::RequestId;
use dw_base::TimeMs;
use dw_cli::render_error;
use dw_cli::render_response;
use dw_config::Change;
use dw_config::CommitError;
use dw_config::CommittedChange;
use dw_config::ConfigSource;
use dw_config::FixedConfig;
use dw_sync::CommitReport;
use proptest::prelude::any;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::proptest;
use serde_json::json;
use serde_json::Map;
use serde_json::Value;

const TOKEN: &str = "example-token";

/// Commits changes in memory.
struct InMemoryLog {
    config: Arc<FixedConfig>,
    changes: Mutex<Vec<CommittedChange>>,
}

#[async_trait]
impl ChangeLog for InMemoryLog {
    async fn commit(&self, change: Change, _: ConfigVersion) -> Result<CommitReport, CommitError> {
        let config = self.config.current();
        let committed = change.prepare(&config, TimeMs(1_000))?;
        self.config
            .set(config.apply(&committed).expect("the next change fits"));
        let version = committed.version;
        self.changes
            .lock()
            .expect("not poisoned")
            .insert(0, committed);
        let unconfirmed = Vec::new();
        Ok(CommitReport {
            version,
            unconfirmed,
        })
    }

    async fn history(&self, limit: u64) -> Result<Vec<CommittedChange>, String> {
        let changes = self.changes.lock().expect("not poisoned");
        Ok(changes.iter().take(limit as usize).cloned().collect())
    }
}

/// Fixed nodes and records, in the form that a router returns.
struct FixedCluster;

fn json_map(json: &Value) -> Map<String, Value> {
    json.as_object().expect("an object is given").clone()
}

#[async_trait]
impl ClusterState for FixedCluster {
    async fn nodes(&self) -> Vec<Map<String, Value>> {
        ["r1", "a-ikeja-1"]
            .map(|name| json_map(&json!({"name": name, "version": 7})))
            .to_vec()
    }

    async fn explain(&self, request_id: &RequestId) -> Option<Map<String, Value>> {
        (request_id.as_str() == "req-1").then(|| {
            json_map(
                &json!({"upstream": "ikeja-1", "policy": "nested", "wait_ms": 12, "warm_depth": 3}),
            )
        })
    }

    async fn prefix(&self, _: BlockHash) -> Vec<Map<String, Value>> {
        vec![json_map(
            &json!({"upstream": "ikeja-1", "home": 1, "warm_depth": 3}),
        )]
    }
}

fn administration() -> Administration {
    let config = Arc::new(FixedConfig::new(Default::default()));
    let changes = Mutex::default();
    let source: Arc<dyn ConfigSource> = Arc::clone(&config) as Arc<dyn ConfigSource>;
    Administration::builder()
        .config(source)
        .log(Arc::new(InMemoryLog { config, changes }))
        .cluster(Arc::new(FixedCluster))
        .clock(Arc::new(ManualClock::default()))
        .bootstrap_token_sha256(
            "4d1566a1d7df42a8517456d60ea06ed284e535cfe4c956aa6ee172dbcdf945f7".to_owned(),
        )
        .build()
}

fn request(text: &str, change_id: &str) -> StatementRequest {
    StatementRequest {
        base_version: None,
        change_id: Some(change_id.to_owned()),
        dry_run: None,
        text: text.to_owned(),
    }
}

async fn output(administration: &Administration, text: &str, number: usize) -> String {
    let request = request(text, &format!("example-{number}"));
    match administration.execute(Some(TOKEN), request).await {
        Ok(response) => render_response(&response),
        Err(error) => render_error(text, &error),
    }
}

/// Runs the examples of the page. Returns the page with their actual output, and the first keywords
/// of all statements.
async fn run_page(page: &str) -> (String, BTreeSet<String>) {
    let administration = administration();
    let (mut actual, mut keywords) = (String::new(), BTreeSet::new());
    let mut parts = page.split("```statement\n");
    actual.push_str(parts.next().unwrap_or_default());
    for (number, part) in parts.enumerate() {
        let (text, rest) = part
            .split_once("\n```\n\n```text\n")
            .expect("output follows");
        let (_, rest) = rest.split_once("```\n").expect("the output ends");
        let output = output(&administration, text, number + 1).await;
        actual.push_str(&format!(
            "```statement\n{text}\n```\n\n```text\n{output}```\n{rest}"
        ));
        for parsed in dw_lang::parse(text).unwrap_or_default() {
            let statement = parsed.statement.to_string();
            keywords.extend(statement.split(' ').next().map(str::to_owned));
        }
    }
    (actual, keywords)
}

/// Guards against examples on the page that fail, or whose output differs from the actual output.
#[tokio::test]
async fn the_examples_of_the_page_run() {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../docs/language.md");
    let page = fs::read_to_string(&path).expect("the page is readable");
    let (actual, keywords) = run_page(&page).await;
    if std::env::var_os("UPDATE_DOCS").is_some() {
        fs::write(&path, &actual).expect("the page is writable");
    }
    let page = fs::read_to_string(&path).expect("the page is readable");
    assert!(
        page == actual,
        "run UPDATE_DOCS=1 cargo test -p dw-admin and read the difference"
    );
    assert_eq!(
        keywords.len(),
        11,
        "an example of a statement is missing: {keywords:?}"
    );
}

/// Guards against a dry run that commits the change or omits it from the result.
#[tokio::test]
async fn a_dry_run_changes_nothing() {
    let administration = administration();
    let mut dry = request("declare model m weights=3", "dry");
    dry.dry_run = Some(true);
    let response = administration
        .execute(Some(TOKEN), dry)
        .await
        .expect("the change is valid");
    assert_eq!(response.config_version, 0);
    assert_eq!(
        response.results[0].rows,
        [
            vec![json!("model/m"), json!("name"), json!(null), json!("m")],
            vec![json!("model/m"), json!("weights"), json!(null), json!(3)],
        ]
    );
    let listed = administration
        .execute(Some(TOKEN), request("list model", "q"))
        .await;
    assert!(listed.expect("the query is valid").results[0]
        .rows
        .is_empty());
}

/// Guards against a change that is committed although the token or a statement is invalid.
#[tokio::test]
async fn wrong_requests_change_nothing() {
    let administration = administration();
    let valid = "declare model m weights=3";
    let cases = [
        (None, valid, StatementErrorKind::Unauthorized),
        (Some("guess"), valid, StatementErrorKind::Unauthorized),
        (
            Some(TOKEN),
            "declare model m weights=3; dran",
            StatementErrorKind::Syntax,
        ),
        (
            Some(TOKEN),
            "declare model m weights=3s",
            StatementErrorKind::Invalid,
        ),
        (
            Some(TOKEN),
            "declare model m; load model m weights 2",
            StatementErrorKind::Invalid,
        ),
        (
            Some(TOKEN),
            "declare model m weights=3; drain upstream u",
            StatementErrorKind::UnknownObject,
        ),
        (
            Some(TOKEN),
            "declare model m weights=3; limit organisation o requests=1/s",
            StatementErrorKind::Invalid,
        ),
        (
            Some(TOKEN),
            "list upstream where speed > 3",
            StatementErrorKind::Invalid,
        ),
        (
            Some(TOKEN),
            "show model m",
            StatementErrorKind::UnknownObject,
        ),
    ];
    for (token, text, kind) in cases {
        let error = administration.execute(token, request(text, "c")).await;
        assert_eq!(error.expect_err(text).kind, kind, "{text}");
    }
    let config = administration
        .execute(Some(TOKEN), request("show config", "q"))
        .await;
    assert!(config.expect("the query is valid").results[0]
        .rows
        .is_empty());
}

proptest! {
    /// Guards against panics and wrong status codes on arbitrary bodies, and against a handler that
    /// cannot be called from a thread outside the async runtime.
    #[test]
    fn hostile_bodies_are_refused(noise in any::<Vec<u8>>(), text in "\\PC{0,40}") {
        let runtime = tokio::runtime::Runtime::new().expect("a runtime starts");
        let handler = RuntimeHandler::new(administration(), runtime.handle().clone());
        let bearer = format!("Bearer {TOKEN}");
        prop_assert_eq!(post_statements(&handler, Some(&bearer), &noise).status, 400);
        let body = json!({"text": text}).to_string();
        let response = post_statements(&handler, Some(&bearer), body.as_bytes());
        prop_assert_eq!(response.status, 400, "{}", text);
        let error: StatementError = serde_json::from_str(&response.body).expect("an error");
        prop_assert!(text.is_char_boundary(error.offset.expect("a position") as usize));
        prop_assert_eq!(post_statements(&handler, Some("Bearer x"), body.as_bytes()).status, 401);
    }
}

//! Control, administration, drain and the binary.

mod common;

use std::fs;
use std::io::BufRead;
use std::io::BufReader;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;

use common::frames;
use common::get;
use common::good;
use common::id;
use common::parts;
use common::request_id;
use common::send;
use common::start;
use common::streamed_text;
use common::Agent;
use common::Ask;
use common::Part;
use common::CHAT;
use common::STREAM;
use dw_admin::StatementHandler;
use dw_api::admin::StatementError;
use dw_api::admin::StatementRequest;
use dw_api::admin::StatementResponse;
use dw_base::ConfigVersion;
use dw_base::Incarnation;
use dw_base::ManualClock;
use dw_base::TimeMs;
use dw_router::Router;
use dw_wire::connect_control;
use dw_wire::Frame;
use dw_wire::Hello;
use http::StatusCode;
use http_body_util::BodyExt;
use tokio::sync::Semaphore;

struct Echo;

impl StatementHandler for Echo {
    fn handle(
        &self,
        token: Option<&str>,
        request: StatementRequest,
    ) -> Result<StatementResponse, StatementError> {
        Ok(StatementResponse {
            config_version: 1,
            results: Vec::new(),
            unconfirmed: vec![token.unwrap_or_default().to_owned(), request.text],
        })
    }
}

/// Guards against an administration port that does not show state or lose statements.
#[tokio::test]
async fn administration_port_answers() {
    let agent = Agent::start("a", good("a")).await;
    let mut parts = parts(&[&agent]);
    parts.statements = Some(Arc::new(Echo));
    let router = Router::start(parts).await.expect("started");
    let admin = router.admin_addr().expect("configured");
    Ask::chat(CHAT).send(router.callers_addr()).await;
    let (_, metrics) = get(admin, "/metrics").await;
    assert!(
        metrics.contains("dandelionwall_requests_total 1"),
        "{metrics}"
    );
    assert_eq!(get(admin, "/healthz").await.0, StatusCode::OK);
    assert_eq!(get(admin, "/readyz").await.0, StatusCode::OK);
    let (code, _, text) = Ask::new("/v1/statements", r#"{"text":"show"}"#)
        .send(admin)
        .await;
    assert_eq!(code, StatusCode::OK, "{text}");
    assert!(text.contains(r#"["secret","show"]"#), "{text}");
    let (code, _, text) = Ask::new("/v1/statements", "{").send(admin).await;
    assert_eq!(code, StatusCode::BAD_REQUEST, "{text}");
}

/// Guards against control calls that fail or know nothing of recent placements.
#[tokio::test]
async fn control_port_explains_placements() {
    let agent = Agent::start("a", good("a")).await;
    let router = start(&[&agent]).await;
    let (_, headers, _) = Ask::chat(CHAT).send(router.callers_addr()).await;
    let request = id(headers["x-request-id"].to_str().expect("text"));
    let client = connect_control(router.control_addr())
        .await
        .expect("connected");
    let context = tarpc::context::current;
    let record = client.explain(context(), request).await.expect("answer");
    assert!(record.expect("kept").contains(r#""upstream":"a""#));
    assert_eq!(
        client.explain(context(), id("r-0")).await.expect("answer"),
        None
    );
    let state = client.node_state(context()).await.expect("answer");
    assert!(state.contains(r#""role":"router""#), "{state}");
}

/// Guards against a shutdown that cuts requests, accepts new ones, or goes unannounced.
#[tokio::test]
async fn drain_finishes_streams_and_refuses_new_work() {
    let gate = Arc::new(Semaphore::new(0));
    let held = gate.clone();
    let agent = Agent::start("a", move |seen, _| {
        let mut parts = send(frames(&request_id(seen), "a", 3));
        parts.insert(2, Part::Gate(held.clone()));
        parts
    })
    .await;
    let router = start(&[&agent]).await;
    let (callers, admin) = (
        router.callers_addr(),
        router.admin_addr().expect("configured"),
    );
    let stream = Ask::chat(STREAM).open(callers).await;
    let shutdown = tokio::spawn(router.shutdown());
    while get(admin, "/readyz").await.0 == StatusCode::OK {
        tokio::task::yield_now().await;
    }
    let (code, _, text) = Ask::chat(CHAT).send(callers).await;
    assert_eq!(code, StatusCode::SERVICE_UNAVAILABLE, "{text}");
    assert!(text.contains(r#""not_run":true"#), "{text}");
    assert!(!shutdown.is_finished());
    gate.add_permits(1);
    let body = stream.into_body().collect().await.expect("body").to_bytes();
    let text = String::from_utf8(body.to_vec()).expect("text");
    assert_eq!(streamed_text(&text), "<0><1><2>");
    shutdown.await.expect("stopped");
    let hellos = agent.hellos.lock().expect("not poisoned");
    assert!(hellos.iter().any(|hello| hello.leaving));
}

/// Guards against a binary that starts with bad settings or does not exit cleanly on SIGTERM.
#[test]
fn binary_checks_settings_and_stops_on_sigterm() {
    let program = env!("CARGO_BIN_EXE_dandelionwall-router");
    let file = std::env::temp_dir().join(format!("router-{}.yaml", std::process::id()));
    let run = |text: &str, check: bool| {
        fs::write(&file, text).expect("written");
        let mut command = Command::new(program);
        command
            .arg("--settings")
            .arg(&file)
            .args(check.then_some("--check"));
        command.stderr(Stdio::piped()).stdout(Stdio::piped());
        command.spawn().expect("started")
    };
    let good = "{node: r, data_centre: ikeja, listen: '127.0.0.1:0', control: '127.0.0.1:0'}";
    let bad = good.replace("node: r", "node: r, nod: s");
    let output = run(&bad, false).wait_with_output().expect("output");
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8(output.stderr).expect("text");
    assert!(
        text.contains("nod:") && text.contains("unknown field"),
        "{text}"
    );
    assert_eq!(run(good, true).wait().expect("exit").code(), Some(0));
    let mut process = run(good, false);
    let log = process.stderr.take().expect("piped");
    let mut lines = BufReader::new(log).lines().map(|line| line.expect("text"));
    assert!(lines.any(|line| line.contains("router started")));
    let pid = process.id().to_string();
    let signalled = Command::new("kill").args(["-TERM", &pid]).status();
    assert!(signalled.expect("kill runs").success());
    assert!(lines.any(|line| line.contains("router stopped")));
    assert_eq!(process.wait().expect("exit").code(), Some(0));
    fs::remove_file(&file).expect("removed");
}

/// Guards against new work for an agent that has announced its end.
#[tokio::test]
async fn leaving_agent_receives_no_new_work() {
    let agents = [
        Agent::start("a", good("a")).await,
        Agent::start("b", good("b")).await,
    ];
    let router = start(&agents.each_ref()).await;
    let client = connect_control(router.control_addr())
        .await
        .expect("connected");
    let notice = Hello {
        node: id("agent-a"),
        incarnation: Incarnation(1),
        config_version: ConfigVersion(1),
        leaving: true,
        status: None,
    };
    let answer = client
        .hello(tarpc::context::current(), notice)
        .await
        .expect("answer");
    assert!(!answer.leaving);
    for _ in 0..4 {
        Ask::chat(CHAT).send(router.callers_addr()).await;
    }
    assert_eq!(agents.map(|agent| agent.runs().len()), [0, 4]);
}

/// Guards against new work for an upstream that an operator drains or that loads weights.
#[tokio::test]
async fn reported_drain_ends_new_work() {
    for (leaving, accepting) in [(true, true), (false, false)] {
        let a = Agent::start("a", move |seen, _| {
            let mut frames = frames(&request_id(seen), "a", 1);
            if let Frame::Start(start) = &mut frames[0] {
                start.status.leaving = leaving;
                start.status.accepting = accepting;
            }
            send(frames)
        })
        .await;
        let mut parts = parts(&[&a]);
        // The clock stands still, so that the report does not become too old.
        parts.clock = Arc::new(ManualClock::new(TimeMs(1_000_000)));
        let router = Router::start(parts).await.expect("started");
        let codes = [
            Ask::chat(CHAT).send(router.callers_addr()).await.0,
            Ask::chat(CHAT).send(router.callers_addr()).await.0,
        ];
        assert_eq!(codes, [StatusCode::OK, StatusCode::SERVICE_UNAVAILABLE]);
        assert_eq!(a.runs().len(), 1);
    }
}

//! Command line of explanations, against a gateway of the test.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::path::Path;
use std::process::Command;
use std::process::Output;
use std::thread::JoinHandle;

use dw_api::explain::ExplainRequest;
use dw_cli::ExplainOptions;
use expect_test::expect;

const EXPLANATION: &str = r#"{
    "node": "gateway-1", "config_version": 7, "tables_age_ms": 40, "route": "quotes",
    "service": "writers", "organisation": "acme", "priority": 1, "upstream": "i-1",
    "rules": [
        {"name": "quota", "result": "asks", "detail": "the sidecar beside 10.0.0.1:80 counts"},
        {"name": "permit", "result": "passes", "detail": "i-1 has named no limit"}],
    "candidates": [
        {"upstream": "i-1", "data_centre": "a", "cost": 61.4, "first_token_ms": 120, "wait_ms": 20,
         "missing_tokens": 6610, "fetched_tokens": 0, "weights": 3, "is_home": true,
         "is_outdated": false, "failure_rate": 0.0, "age_ms": 90},
        {"upstream": "i-2", "data_centre": "b", "cost": 305.0, "first_token_ms": 310, "wait_ms": 0,
         "missing_tokens": 11992, "fetched_tokens": 5382, "weights": 2, "is_home": false,
         "is_outdated": true, "failure_rate": 0.125}],
    "excluded": [{"upstream": "i-3", "reason": "leaving"}]
}"#;

/// Answers one call; returns its head and body.
fn serve(status: u16, answer: &'static str) -> (String, JoinHandle<(String, String)>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let addr = listener.local_addr().expect("the listener is bound");
    let called = std::thread::spawn(move || {
        let (stream, _) = listener.accept().expect("the client calls");
        let mut reader = BufReader::new(&stream);
        let (mut head, mut length) = (String::new(), 0);
        loop {
            let mut line = String::new();
            reader.read_line(&mut line).expect("the head is sent");
            if line.trim().is_empty() {
                break;
            }
            let lower = line.to_ascii_lowercase();
            if let Some(value) = lower.strip_prefix("content-length:") {
                length = value.trim().parse().expect("a length");
            }
            head.push_str(&line);
        }
        let mut body = vec![0; length];
        reader.read_exact(&mut body).expect("the body is sent");
        let written = write!(
            &stream,
            "HTTP/1.1 {status} -\r\nContent-Length: {}\r\n\r\n{answer}",
            answer.len()
        );
        written.expect("the client reads");
        (head, String::from_utf8(body).expect("the body is text"))
    });
    (addr.to_string(), called)
}

fn run(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_dandelionwall"));
    command.args(args).output().expect("the binary starts")
}

/// Guards against a request that is described without its headers or the operator's token, and against an
/// explanation that hides what was compared.
#[test]
fn an_explanation_is_shown() {
    let (gateway, called) = serve(200, EXPLANATION);
    let token_file = Path::new(env!("CARGO_TARGET_TMPDIR")).join("explain-token");
    std::fs::write(&token_file, "secret\n").expect("the file is writable");
    let token_file = token_file.to_str().expect("the path is text");
    let output = run(&[
        "--gateway",
        &gateway,
        "-t",
        token_file,
        "-H",
        "Prompt-Prefix: a:5382,b:6610",
        "-b",
        "200",
        "quotes.example/draft/?x=1",
    ]);
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    expect![[r#"
        would be sent to i-1
        route quotes, service writers, organisation acme, priority 1
        gateway gateway-1, configuration 7, registrations known to be complete 40 ms ago

        rule    result  detail
        quota   asks    the sidecar beside 10.0.0.1:80 counts
        permit  passes  i-1 has named no limit

        candidate  data centre  cost (ms)  first token (ms)  wait (ms)  missing (tokens)  fetched (tokens)  weights  home  outdated  failures  heard (ms ago)
        i-1        a                   61               120         20              6610                 0        3  yes   no             0.0  90
        i-2        b                  305               310          0             11992              5382        2  no    yes           0.13  -

        not compared  reason
        i-3           leaving
    "#]]
    .assert_eq(&String::from_utf8_lossy(&output.stdout));
    let (head, body) = called.join().expect("the gateway has not panicked");
    assert!(head.starts_with("POST /v1/explain "), "{head}");
    assert!(head.contains("Bearer secret"), "{head}");
    let request: ExplainRequest = serde_json::from_str(&body).expect("the body is a request");
    assert_eq!(request.host, "quotes.example");
    assert_eq!(request.path, "/draft/?x=1");
    assert_eq!(request.headers[0].value, "a:5382,b:6610");
    assert_eq!(request.body_bytes, Some(200));
}

/// Guards against a request that no route takes and whose explanation exits with success.
#[test]
fn an_error_of_the_gateway_is_shown() {
    let answer = r#"{"message": "no route takes h/x", "remedy": "compare host and path"}"#;
    let (gateway, called) = serve(422, answer);
    let output = run(&["--gateway", &gateway, "h/x"]);
    assert_eq!(output.status.code(), Some(1));
    expect![[r#"
        error: no route takes h/x; compare host and path
    "#]]
    .assert_eq(&String::from_utf8_lossy(&output.stderr));
    called.join().expect("the gateway has not panicked");
}

/// Guards against mistakes on the command line that are sent or not named.
#[test]
fn mistakes_on_the_command_line_are_named() {
    let parse = |args: &[&str]| {
        let args: Vec<String> = args.iter().map(|arg| (*arg).to_owned()).collect();
        ExplainOptions::parse(&args)
            .expect_err("there is a mistake")
            .to_string()
    };
    for (args, expected) in [
        (vec!["-g", "g:1"], "give one HOST/PATH"),
        (
            vec!["-g", "g:1", "h/x", "-H", "Model"],
            "\"Model\" is not a header",
        ),
        (
            vec!["-g", "g:1", "h/x", "-b", "many"],
            "--body-bytes must be a whole number",
        ),
        (
            vec!["-g", "g:1", "h/x", "-o", "xml"],
            "unknown format \"xml\"",
        ),
        (vec!["h/x"], "--gateway is missing"),
    ] {
        let message = parse(&args);
        assert!(message.contains(expected), "{message}");
    }
}

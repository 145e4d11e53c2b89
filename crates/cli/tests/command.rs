//! Tests of the binary against an administration server in the test process.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::process::Command;
use std::process::Output;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;

use dw_admin::post_statements;
use dw_admin::StatementHandler;
use dw_api::admin::Column;
use dw_api::admin::Result as StatementResult;
use dw_api::admin::StatementError;
use dw_api::admin::StatementErrorKind;
use dw_api::admin::StatementRequest;
use dw_api::admin::StatementResponse;
use expect_test::expect;

/// Records requests, and rejects texts that contain `wrong`.
#[derive(Default)]
struct RecordingHandler {
    requests: Mutex<Vec<(Option<String>, StatementRequest)>>,
}

impl StatementHandler for RecordingHandler {
    fn handle(
        &self,
        operator_token: Option<&str>,
        request: StatementRequest,
    ) -> Result<StatementResponse, StatementError> {
        let text = request.text.clone();
        let token = operator_token.map(str::to_owned);
        self.requests
            .lock()
            .expect("not poisoned")
            .push((token, request));
        if let Some(at) = text.find("wrong") {
            return Err(StatementError {
                expected: vec!["right".to_owned()],
                kind: StatementErrorKind::Syntax,
                lost_to_version: None,
                message: "\"wrong\" is not expected here: write right".to_owned(),
                offset: Some(at as u64),
                remedy: "correct the word".to_owned(),
            });
        }
        let column = |name: &str, unit: &str| Column {
            name: name.to_owned(),
            unit: unit.to_owned(),
        };
        Ok(StatementResponse {
            config_version: 3,
            results: vec![StatementResult {
                columns: vec![column("text", ""), column("size", "B")],
                messages: vec!["done".to_owned()],
                rows: vec![vec![text.as_str().into(), text.len().into()]],
                statement: text,
            }],
            unconfirmed: vec!["r9".to_owned()],
        })
    }
}

/// Serves one request of a connection.
fn serve_request(stream: &TcpStream, handler: &RecordingHandler) -> std::io::Result<()> {
    let mut reader = BufReader::new(stream);
    let (mut length, mut authorization) = (0, None);
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let Some((name, value)) = line.trim().split_once(": ") else {
            if line.trim().is_empty() {
                break;
            }
            continue;
        };
        match name.to_ascii_lowercase().as_str() {
            "content-length" => length = value.parse().expect("a length"),
            "authorization" => authorization = Some(value.to_owned()),
            _ => {}
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    let response = post_statements(handler, authorization.as_deref(), &body);
    let (status, body) = (response.status, response.body);
    let mut stream = stream;
    write!(
        stream,
        "HTTP/1.1 {status} -\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

fn serve() -> (String, Arc<RecordingHandler>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener
        .local_addr()
        .expect("the listener is bound")
        .to_string();
    let handler = Arc::new(RecordingHandler::default());
    let shared = Arc::clone(&handler);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            // A connection that the client closes early fails the assertions of its test.
            let _ = serve_request(&stream, &shared);
        }
    });
    (address, handler)
}

fn run(args: &[&str], input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_dandelionwall"))
        .args(args)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the binary starts");
    let mut stdin = child.stdin.take().expect("stdin is piped");
    stdin
        .write_all(input.as_bytes())
        .expect("the input is read");
    drop(stdin);
    child.wait_with_output().expect("the binary ends")
}

fn stdout(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

/// Guards against a request without the token or the dry-run flag, and against misaligned tables.
#[test]
fn a_statement_is_sent_and_its_result_shown() {
    let (router, handler) = serve();
    let token_file = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("token");
    std::fs::write(&token_file, "secret\n").expect("the file is writable");
    let token_file = token_file.to_str().expect("the path is text");
    let args = [
        "-r",
        &router,
        "-t",
        token_file,
        "--dry-run",
        "--base-version",
        "2",
        "show",
        "config",
    ];
    let output = run(&args, "");
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
    expect![[r#"
        text         size (B)
        show config        11
        done
        not confirmed in time by r9; these nodes apply the change when they are reachable again
    "#]]
    .assert_eq(&stdout(&output));
    let requests = handler.requests.lock().expect("not poisoned");
    let (token, request) = &requests[0];
    assert_eq!(token.as_deref(), Some("secret"));
    assert_eq!(request.dry_run, Some(true));
    assert_eq!(request.base_version, Some(2));
    assert!(request.change_id.is_some());
}

/// Guards against carets under the wrong token, and against a rejected statement that exits with
/// success.
#[test]
fn a_mistake_is_shown_with_a_caret() {
    let (router, _) = serve();
    let output = run(&["-r", &router, "-f", "-"], "show config;\n\tlist wrong;\n");
    assert_eq!(output.status.code(), Some(1));
    expect![[r#"
        	list wrong;
        	     ^^^^^
        error: "wrong" is not expected here: write right
        help: correct the word
    "#]]
    .assert_eq(&stderr(&output));
}

/// Guards against JSON output that a program cannot parse.
#[test]
fn json_is_the_answer_of_the_router() {
    let (router, _) = serve();
    let output = run(&["-r", &router, "--format", "json", "show config"], "");
    let response: StatementResponse =
        serde_json::from_str(&stdout(&output)).expect("the output is JSON");
    assert_eq!(response.config_version, 3);
    let output = run(&["-r", &router, "--format", "json", "wrong"], "");
    let error: StatementError = serde_json::from_str(&stderr(&output)).expect("JSON again");
    assert_eq!(error.offset, Some(0));
}

/// Guards against an interactive prompt that exits after a rejected statement. The exit status is
/// that of the last statement.
#[test]
fn the_prompt_goes_on_after_a_mistake() {
    let (router, handler) = serve();
    let output = run(&["-r", &router], "wrong\n\nshow config\n");
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
    assert_eq!(handler.requests.lock().expect("not poisoned").len(), 2);
    assert!(stdout(&output).contains("show config"));
}

/// Guards against an invalid command line that exits with the status of a rejected statement, or
/// that sends a request.
#[test]
fn a_wrong_command_line_exits_with_2() {
    let (router, handler) = serve();
    let cases: [&[&str]; 6] = [
        &["-r", &router, "--base-version", "x", "show config"],
        &["show", "config"],
        &["-r", &router, "--format", "xml", "show config"],
        &["-r", &router, "--unknown"],
        &["-r", &router, "-f", "x", "show config"],
        &["-r", &router, "--change-id", "c"],
    ];
    for args in cases {
        let output = run(args, "");
        assert_eq!(output.status.code(), Some(2), "{args:?}");
        assert!(stderr(&output).contains("--help"));
    }
    assert!(handler.requests.lock().expect("not poisoned").is_empty());
}

/// Guards against a change that cannot be retried because the operator does not learn its id.
#[test]
fn an_unreachable_router_leaves_the_change_id() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let router = listener
        .local_addr()
        .expect("the listener is bound")
        .to_string();
    drop(listener);
    let output = run(
        &["-r", &router, "--change-id", "c-7", "drain upstream u"],
        "",
    );
    assert_eq!(output.status.code(), Some(1));
    assert!(
        stderr(&output).contains("--change-id c-7"),
        "{}",
        stderr(&output)
    );
}

//! Tests of the export of spans to a collector.

use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::thread;

use dw_spans::start_spans;
use dw_spans::TraceParent;

/// Accepts one request, answers 200 and returns the request head.
fn receive_request(listener: &TcpListener) -> String {
    let (mut stream, _) = listener.accept().expect("accepted");
    let mut received = Vec::new();
    let mut buffer = [0; 4_096];
    while !received.windows(4).any(|part| part == b"\r\n\r\n") {
        let count = stream.read(&mut buffer).expect("readable");
        received.extend_from_slice(&buffer[..count]);
    }
    let response = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";
    stream.write_all(response).expect("writable");
    String::from_utf8_lossy(&received).into_owned()
}

/// Guards against spans that are not sent to the collector, or are sent in another format than OTLP
/// over HTTP.
#[test]
fn spans_are_posted_to_the_collector() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bound");
    let addr = listener.local_addr().expect("bound");
    let collector = thread::spawn(move || receive_request(&listener));
    let guard = start_spans("test", &format!("http://{addr}/v1/traces")).expect("started");
    drop(TraceParent::random().span("request"));
    drop(guard);
    let head = collector.join().expect("collected");
    assert!(head.starts_with("POST /v1/traces HTTP/1.1"), "{head}");
    assert!(head.contains("application/x-protobuf"), "{head}");
}

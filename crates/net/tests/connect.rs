//! Connections to upstreams.

use std::net::SocketAddr;

use bytes::Bytes;
use dw_base::DurationMs;
use dw_net::connect;
use dw_net::Dial;
use http::Request;
use http_body_util::Full;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

fn dial(addr: SocketAddr) -> Dial {
    Dial {
        addr,
        connect_ms: DurationMs(5_000),
        silence_ms: DurationMs(5_000),
    }
}

/// Guards against a request that is run long after its caller has left: a frozen upstream found it
/// behind an ordinary close once it was thawed (letargo-ops, trouble-2 with seed 150063269901).
#[tokio::test]
async fn abandoned_request_is_reset() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address");
    let mut connection = connect(dial(addr)).await.expect("a connection");
    let (mut upstream, _) = listener.accept().await.expect("the connection");
    let request = Request::post("/").body(Full::new(Bytes::from_static(b"body")));
    let answer = connection.send_request(request.expect("a request"));
    let sent = upstream.read_u8();
    tokio::select! {
        _ = answer => panic!("nothing answers"),
        first = sent => assert_eq!(first.ok(), Some(b'P')),
    }
    drop(connection);
    let mut rest = Vec::new();
    // Whether the end is told as an error depends on what has been read by then.
    let _ = upstream.read_to_end(&mut rest).await;
    let written = upstream.write_all(b"HTTP/1.1 200 OK\r\n\r\n").await;
    assert!(written.is_err(), "the upstream may still answer");
}

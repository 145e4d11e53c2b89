//! Settings of sidecars, their metrics, and a cache that never answers.

use std::net::SocketAddr;

use async_trait::async_trait;
use dw_base::Bytes;
use dw_base::DurationMs;
use dw_cache::KvPage;
use dw_platform::boot::Bounds;
use dw_platform::boot::TableRates;
use dw_platform::Boot;
use dw_platform::StoreProxy;
use dw_port::KvError;
use dw_port::KvIndex;
use dw_port::TableProxy;
use dw_sidecar::Sidecar;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Returns the settings of a sidecar beside an engine, with a port for datagrams.
pub(crate) fn boot(
    data_centre: &str,
    engine: SocketAddr,
    port: u16,
    weights_ms: DurationMs,
) -> Boot {
    Boot {
        node: format!("side-{engine}").parse().expect("name is valid"),
        ip: engine.ip(),
        data_centre: data_centre.parse().expect("name is valid"),
        data_centres: Vec::new(),
        callers: None,
        ready: None,
        inner_ports: (port, port),
        memory: Bytes(192_000_000),
        engine: Some(engine),
        table: "127.0.0.1:1".parse().expect("address is valid"),
        table_rates: TableRates {
            writes_per_s: 400.0,
            reads_per_s: 2_000.0,
        },
        heartbeat_ms: DurationMs(1_200),
        bounds: Bounds {
            grace_ms: DurationMs(8_000),
            leaving_ms: DurationMs(2_000),
            config_ms: DurationMs(2_000),
            settle_ms: DurationMs(3_000),
            retry_ratio: 0.2,
            retry_slack: 56.0,
            retry_window_ms: DurationMs(10_000),
            weights_ms,
        },
    }
}

/// Returns a proxy of a table that nobody serves.
pub(crate) fn no_table() -> Box<dyn TableProxy> {
    let nobody = "127.0.0.1:1".parse().expect("address is valid");
    Box::new(StoreProxy::new(nobody))
}

/// A cache index whose calls never return.
pub(crate) struct SilentCache;

#[async_trait]
impl KvIndex for SilentCache {
    async fn changes(&mut self, _: u64, _: DurationMs, _: DurationMs) -> Result<KvPage, KvError> {
        std::future::pending().await
    }
}

/// Returns the response of the metrics address.
pub(crate) async fn metrics(sidecar: &Sidecar) -> String {
    let addr = sidecar.metrics_addr().expect("metrics are served");
    let mut stream = TcpStream::connect(addr).await.expect("metrics accept");
    let request = b"GET /metrics HTTP/1.1\r\nHost: m\r\nConnection: close\r\n\r\n";
    stream.write_all(request).await.expect("request is sent");
    let mut text = String::new();
    let read = stream.read_to_string(&mut text).await;
    read.expect("metrics answer");
    text
}

//! Settings of sidecars in tests.

use std::net::SocketAddr;

use dw_base::Bytes;
use dw_base::DurationMs;
use dw_platform::boot::Bounds;
use dw_platform::Boot;

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
        heartbeat_ms: DurationMs(1_200),
        bounds: Bounds {
            grace_ms: DurationMs(8_000),
            leaving_ms: DurationMs(2_000),
            config_ms: DurationMs(2_000),
            retry_ratio: 0.2,
            retry_slack: 56.0,
            retry_window_ms: DurationMs(10_000),
            weights_ms,
        },
    }
}

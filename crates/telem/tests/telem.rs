//! Tests of logging and metrics.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;

use dw_telem::start_logs;
use dw_telem::Metrics;
use prometheus_client::metrics::counter::Counter;

#[derive(Clone, Default)]
struct SharedBuffer(Arc<Mutex<Vec<u8>>>);

impl Write for SharedBuffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0
            .lock()
            .expect("not poisoned")
            .extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against queued lines that are lost at exit, and against values that break the line
/// format.
#[test]
fn lines_are_complete_at_exit() {
    let buffer = SharedBuffer::default();
    let guard = start_logs(log::LevelFilter::Info, buffer.clone()).expect("first start");
    assert!(start_logs(log::LevelFilter::Info, io::sink()).is_err());
    for n in 0..100 {
        log::info!(request_id:% = format!("r{n}"), note = "two\nlines"; "request done");
    }
    log::debug!("not shown");
    drop(guard);
    let bytes = buffer.0.lock().expect("not poisoned").clone();
    let text = String::from_utf8(bytes).expect("text");
    assert_eq!(text.lines().count(), 100, "{text}");
    assert!(
        text.lines().all(|line| line.contains("level=info")),
        "{text}"
    );
    let last = "msg=\"request done\" request_id=r99 note=\"two\\nlines\"";
    assert!(text.contains(last), "{text}");
}

/// Guards against metrics that are registered but not rendered.
#[test]
fn metrics_are_rendered() {
    let metrics = Metrics::new();
    let counter: Counter = metrics.add("requests", "Requests", Counter::default());
    counter.inc();
    let text = metrics.render();
    assert!(text.contains("dandelionwall_requests_total 1"), "{text}");
}

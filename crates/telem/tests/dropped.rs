//! Log lines that are dropped while the output is blocked.

use std::io;
use std::io::Write;
use std::sync::mpsc::channel;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::Sender;
use std::sync::Arc;
use std::sync::Mutex;

use dw_telem::start_logs;

/// A writer whose first write blocks until it is released.
struct BlockedWriter {
    blocked: Sender<()>,
    release: Option<Receiver<()>>,
    bytes: Arc<Mutex<Vec<u8>>>,
}

impl Write for BlockedWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if let Some(release) = self.release.take() {
            self.blocked.send(()).expect("the test waits");
            release.recv().expect("the test releases");
        }
        let mut written = self.bytes.lock().expect("not poisoned");
        written.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against log lines that are dropped without a report, and against log calls that block
/// while the output is blocked.
#[test]
fn dropped_lines_are_counted_in_the_log() {
    let (blocked, is_blocked) = channel();
    let (release, released) = channel();
    let bytes = Arc::new(Mutex::new(Vec::new()));
    let sink = BlockedWriter {
        blocked,
        release: Some(released),
        bytes: bytes.clone(),
    };
    let guard = start_logs(log::LevelFilter::Info, sink).expect("first start");
    log::info!("first");
    is_blocked.recv().expect("the writer has the first line");
    while guard.dropped_lines() < 5 {
        log::info!("another");
    }
    release.send(()).expect("the writer waits");
    drop(guard);
    let bytes = bytes.lock().expect("not poisoned").clone();
    let text = String::from_utf8(bytes).expect("text");
    let dropped = "msg=\"log lines were dropped\" lines=5";
    assert!(text.contains(dropped), "{}", &text[..400]);
}

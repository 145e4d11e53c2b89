//! Lines that are dropped while the writer is stuck.

use std::io;
use std::io::Write;
use std::sync::mpsc::channel;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::Sender;
use std::sync::Arc;
use std::sync::Mutex;

use dw_telem::start_logs;

/// A sink that takes nothing until it is released.
struct StuckSink {
    stuck: Sender<()>,
    release: Option<Receiver<()>>,
    bytes: Arc<Mutex<Vec<u8>>>,
}

impl Write for StuckSink {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if let Some(release) = self.release.take() {
            self.stuck.send(()).expect("the test waits");
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

/// Guards against lines that are dropped without a word, and against a caller that waits for them.
#[test]
fn dropped_lines_are_counted_in_the_log() {
    let (stuck, is_stuck) = channel();
    let (release, released) = channel();
    let bytes = Arc::new(Mutex::new(Vec::new()));
    let sink = StuckSink {
        stuck,
        release: Some(released),
        bytes: bytes.clone(),
    };
    let guard = start_logs(log::LevelFilter::Info, sink).expect("first start");
    log::info!("first");
    is_stuck.recv().expect("the writer is at the first line");
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

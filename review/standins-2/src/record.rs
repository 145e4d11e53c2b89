//! What was sent, answered and run, in `record.txt`.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

/// Writer of the record; lines carry the milliseconds since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Record {
            file: Arc::new(Mutex::new(File::create(path)?)),
            started: Instant::now(),
        })
    }

    pub fn line(&self, text: &str) {
        let at_ms = self.started.elapsed().as_millis();
        let mut file = self.file.lock().expect("no thread has panicked");
        let _ = writeln!(file, "{at_ms:>7} ms  {text}");
    }
}

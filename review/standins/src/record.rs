//! The record of a case: what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

/// A record that all threads of a case share.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Creates the record as `record.txt` in a folder.
    pub fn create(folder: &Path) -> std::io::Result<Self> {
        Ok(Record {
            start: Instant::now(),
            file: Arc::new(Mutex::new(File::create(folder.join("record.txt"))?)),
        })
    }

    /// Returns the milliseconds since the start.
    pub fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Adds a line.
    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:>7} {}\n", self.now_ms(), text.as_ref());
        let mut file = self.file.lock().unwrap();
        let _ = file.write_all(line.as_bytes());
    }

    /// Adds a line and prints it.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{:>7} {}", self.now_ms(), text.as_ref());
        self.line(text);
    }
}

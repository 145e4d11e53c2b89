//! Asynchronous logging through a dedicated writer thread.

use std::fmt;
use std::io::Write;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::thread::JoinHandle;

use crossbeam::channel::bounded;
use crossbeam::channel::Receiver;
use crossbeam::channel::Sender;
use logforth::append::Append;
use logforth::bridge::log::LogBridge;
use logforth::record::Record;
use logforth::Diagnostic;
use logforth::Error;
use thiserror::Error as ThisError;

use crate::log_line::dropped_line;
use crate::log_line::format_line;

/// Capacity of the channel to the writer thread. Lines are dropped when it is full, so that slow
/// output never blocks a request.
const QUEUE_LINES: usize = 8_192;

/// Logging could not be started.
#[derive(Debug, ThisError)]
pub enum LogError {
    /// The process already has a logger.
    #[error("a logger is already set; start logs once per process")]
    AlreadyStarted,
    /// The writer thread cannot be started.
    #[error("log thread cannot be started: {0}; raise the thread limit of the process")]
    NoThread(std::io::Error),
}

enum Message {
    Line(String),
    Flush(Sender<()>),
    Stop,
}

#[derive(Debug)]
struct ChannelAppend {
    queue: Sender<Message>,
    dropped: Arc<AtomicU64>,
}

impl fmt::Debug for Message {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Message")
    }
}

impl Append for ChannelAppend {
    fn append(&self, record: &Record<'_>, _: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        if self
            .queue
            .try_send(Message::Line(format_line(record)))
            .is_err()
        {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        let (done, is_done) = bounded(1);
        if self.queue.send(Message::Flush(done)).is_ok() {
            // An error means that the writer thread has stopped and there is nothing left to flush.
            let _ = is_done.recv();
        }
        Ok(())
    }
}

/// Stops the writer thread after it has written the queued lines, when the guard is dropped.
#[derive(Debug)]
pub struct LogGuard {
    queue: Sender<Message>,
    dropped: Arc<AtomicU64>,
    writer: Option<JoinHandle<()>>,
}

impl LogGuard {
    /// Returns the number of lines dropped because the queue was full.
    pub fn dropped_lines(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}

impl Drop for LogGuard {
    fn drop(&mut self) {
        if self.queue.send(Message::Stop).is_ok() {
            if let Some(writer) = self.writer.take() {
                let _ = writer.join();
            }
        }
    }
}

/// Sends the records of the `log` macros at `level` and above to `out`.
///
/// # Errors
///
/// Returns an error if the process already has a logger or the writer thread cannot be started.
pub fn start_logs(
    level: log::LevelFilter,
    out: impl Write + Send + 'static,
) -> Result<LogGuard, LogError> {
    let (queue, messages) = bounded(QUEUE_LINES);
    let dropped = Arc::new(AtomicU64::new(0));
    let append = ChannelAppend {
        queue: queue.clone(),
        dropped: dropped.clone(),
    };
    let logger = logforth::core::builder()
        .dispatch(|d| d.append(append))
        .build();
    log::set_boxed_logger(Box::new(LogBridge::new(logger)))
        .map_err(|_| LogError::AlreadyStarted)?;
    log::set_max_level(level);
    let writer_dropped = dropped.clone();
    let writer = thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || write_lines(&messages, &writer_dropped, out))
        .map_err(LogError::NoThread)?;
    Ok(LogGuard {
        queue,
        dropped,
        writer: Some(writer),
    })
}

fn write_lines(messages: &Receiver<Message>, dropped: &AtomicU64, mut out: impl Write) {
    let mut reported = 0;
    // Write errors are ignored because there is no other place to report them.
    while let Ok(message) = messages.recv() {
        match message {
            Message::Line(line) => {
                let _ = out.write_all(line.as_bytes());
                let dropped_total = dropped.load(Ordering::Relaxed);
                if dropped_total > reported {
                    let _ = out.write_all(dropped_line(dropped_total - reported).as_bytes());
                    reported = dropped_total;
                }
            }
            Message::Flush(done) => {
                let _ = out.flush();
                let _ = done.send(());
            }
            Message::Stop => break,
        }
    }
    let _ = out.flush();
}

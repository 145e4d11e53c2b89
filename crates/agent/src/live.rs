//! A call with the frames of its answer, from which any connection can be served.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use bytes::Bytes;
use dw_base::TimeMs;
use dw_stream::ResumeBuffer;
use dw_wire::encode_frame;
use dw_wire::Frame;
use tokio::sync::watch;

use crate::memory::Memory;

/// Time for which a call without a connection waits for the router to resume it. A router that
/// lost the connection resumes within one round trip; one that has left does not.
const ABANDONED_AFTER: Duration = Duration::from_secs(2);

#[derive(Debug)]
struct Frames {
    start: Option<Bytes>,
    chunks: ResumeBuffer<Bytes>,
    end: Option<Bytes>,
    discarded: bool,
}

impl Frames {
    fn size_bytes(&self) -> usize {
        let ends = [&self.start, &self.end];
        let ends = ends.into_iter().flatten().map(Bytes::len);
        self.chunks.size_bytes() + ends.sum::<usize>()
    }
}

/// Answer of one attempt.
#[derive(Debug)]
pub(crate) struct Live {
    number: u64,
    memory: Arc<Memory>,
    frames: Mutex<Frames>,
    changed: watch::Sender<u64>,
    attached: watch::Sender<usize>,
}

/// What a connection sends next.
#[derive(Debug)]
pub(crate) enum Next {
    /// A frame, and whether it is the last one.
    Frame(Bytes, bool),
    /// Nothing yet.
    Pending,
    /// The chunk is no longer kept.
    Gone,
}

/// Position of one connection in the answer.
#[derive(Debug)]
pub(crate) struct Cursor {
    start_sent: bool,
    next_seq: u64,
}

impl Cursor {
    /// Creates the position before chunk `from_seq`. The start is sent on each connection, because
    /// chunks do not name the request that they belong to.
    pub(crate) fn new(from_seq: u64) -> Self {
        Cursor {
            start_sent: false,
            next_seq: from_seq,
        }
    }
}

impl Live {
    /// Creates an answer of which at most `limit_bytes` of chunks are kept.
    pub(crate) fn new(limit_bytes: usize, memory: &Arc<Memory>) -> Arc<Self> {
        Arc::new_cyclic(|answer| Live {
            number: memory.open(answer.clone()),
            memory: Arc::clone(memory),
            frames: Mutex::new(Frames {
                start: None,
                chunks: ResumeBuffer::new(limit_bytes),
                end: None,
                discarded: false,
            }),
            changed: watch::Sender::new(0),
            attached: watch::Sender::new(0),
        })
    }

    /// Adds the first frame of a stream.
    pub(crate) fn start(&self, frame: &Frame) {
        if let Ok(bytes) = encode_frame(frame) {
            self.lock().start = Some(bytes);
        }
        self.notify();
    }

    /// Adds a chunk and returns its number.
    pub(crate) fn chunk(&self, text: String) -> u64 {
        let mut frames = self.lock();
        let seq = frames.chunks.next_seq();
        let frame = Frame::Chunk {
            seq,
            text,
            tokens: 1,
        };
        if let Ok(bytes) = encode_frame(&frame) {
            let size_bytes = bytes.len();
            frames.chunks.push(bytes, size_bytes);
        }
        drop(frames);
        self.notify();
        seq
    }

    /// Adds the last frame; later ones are ignored.
    pub(crate) fn end(&self, frame: &Frame, now: TimeMs) {
        let mut frames = self.lock();
        if frames.end.is_none() {
            frames.end = encode_frame(frame).ok();
            frames.chunks.finish(now);
            self.memory.finish(self.number);
        }
        drop(frames);
        self.notify();
    }

    /// Drops all frames; whoever follows the answer is told so.
    pub(crate) fn discard(&self) {
        let mut frames = self.lock();
        let size_bytes = frames.size_bytes();
        frames.chunks.trim(size_bytes);
        frames.start = None;
        // The answer still counts as ended, so that nothing is added to it.
        frames.end = Some(Bytes::new());
        frames.discarded = true;
        drop(frames);
        self.changed.send_modify(|count| *count += 1);
    }

    /// Returns whether the answer has ended.
    pub(crate) fn ended(&self) -> bool {
        self.lock().end.is_some()
    }

    /// Returns whether the first frame has been sent.
    pub(crate) fn started(&self) -> bool {
        self.lock().start.is_some()
    }

    /// Returns whether the answer need not be kept.
    pub(crate) fn expired(&self, now: TimeMs) -> bool {
        self.lock().chunks.expired(now)
    }

    /// Returns what to send at `cursor` and moves it.
    pub(crate) fn next(&self, cursor: &mut Cursor) -> Next {
        let frames = self.lock();
        if frames.discarded {
            return Next::Gone;
        }
        if !cursor.start_sent {
            if let Some(start) = &frames.start {
                cursor.start_sent = true;
                return Next::Frame(start.clone(), false);
            }
        }
        match frames.chunks.get(cursor.next_seq) {
            Ok(Some(chunk)) => {
                cursor.next_seq += 1;
                Next::Frame(chunk, false)
            }
            Ok(None) => match &frames.end {
                Some(end) => Next::Frame(end.clone(), true),
                None => Next::Pending,
            },
            Err(_) => Next::Gone,
        }
    }

    /// Returns a receiver that wakes after each new frame.
    pub(crate) fn changes(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Counts a connection until the guard is dropped.
    pub(crate) fn attach(&self) -> Attached<'_> {
        self.attached.send_modify(|count| *count += 1);
        Attached { live: self }
    }

    /// Returns when no connection has been there for [`ABANDONED_AFTER`].
    pub(crate) async fn abandoned(&self) {
        let mut attached = self.attached.subscribe();
        loop {
            if attached.wait_for(|count| *count == 0).await.is_err() {
                return;
            }
            let back = attached.wait_for(|count| *count > 0);
            if tokio::time::timeout(ABANDONED_AFTER, back).await.is_err() {
                return;
            }
        }
    }

    /// Accounts for the new size and wakes the connections.
    fn notify(&self) {
        let size_bytes = self.lock().size_bytes();
        let overrun = self.memory.resize(self.number, size_bytes);
        if overrun > 0 {
            let mut frames = self.lock();
            frames.chunks.trim(overrun);
            let size_bytes = frames.size_bytes();
            drop(frames);
            self.memory.resize(self.number, size_bytes);
        }
        self.changed.send_modify(|count| *count += 1);
    }

    fn lock(&self) -> MutexGuard<'_, Frames> {
        self.frames
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

impl Drop for Live {
    fn drop(&mut self) {
        self.memory.close(self.number);
    }
}

/// Counts one connection.
#[derive(Debug)]
pub(crate) struct Attached<'a> {
    live: &'a Live,
}

impl Drop for Attached<'_> {
    fn drop(&mut self) {
        self.live.attached.send_modify(|count| *count -= 1);
    }
}

//! Chunks that are kept so that the receiver can resume.

use std::collections::VecDeque;

use dw_base::DurationMs;
use dw_base::TimeMs;
use thiserror::Error;

/// Time for which chunks are kept after the call has ended.
pub const RETENTION_MS: DurationMs = DurationMs(10_000);

/// A chunk cannot be resumed from.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("chunk {wanted} is no longer kept, the first one kept is {first}; run the request again if it may be repeated")]
pub struct NotKept {
    /// Chunk that was asked for.
    pub wanted: u64,
    /// First chunk that is kept.
    pub first: u64,
}

/// Bounded buffer of the chunks of one stream, the oldest dropped first.
#[derive(Debug)]
pub struct ResumeBuffer<T> {
    chunks: VecDeque<(T, usize)>,
    first_seq: u64,
    size_bytes: usize,
    limit_bytes: usize,
    ended: Option<TimeMs>,
}

impl<T: Clone> ResumeBuffer<T> {
    /// Creates an empty buffer that holds at most `limit_bytes`.
    pub fn new(limit_bytes: usize) -> Self {
        ResumeBuffer {
            chunks: VecDeque::new(),
            first_seq: 0,
            size_bytes: 0,
            limit_bytes,
            ended: None,
        }
    }

    /// Keeps a chunk of `size_bytes` and returns its number.
    pub fn push(&mut self, chunk: T, size_bytes: usize) -> u64 {
        let seq = self.next_seq();
        self.chunks.push_back((chunk, size_bytes));
        self.size_bytes += size_bytes;
        self.trim(self.size_bytes.saturating_sub(self.limit_bytes));
        seq
    }

    /// Drops the oldest chunks, at least `excess_bytes` of them if there are as many.
    pub fn trim(&mut self, excess_bytes: usize) {
        let target = self.size_bytes.saturating_sub(excess_bytes);
        while self.size_bytes > target {
            let Some((_, dropped)) = self.chunks.pop_front() else {
                break;
            };
            self.size_bytes -= dropped;
            self.first_seq += 1;
        }
    }

    /// Returns the number of the next chunk.
    pub fn next_seq(&self) -> u64 {
        self.first_seq + self.chunks.len() as u64
    }

    /// Returns a chunk, or `None` if it has not been produced yet.
    ///
    /// # Errors
    ///
    /// Returns an error if the chunk was dropped.
    pub fn get(&self, seq: u64) -> Result<Option<T>, NotKept> {
        let Some(index) = seq.checked_sub(self.first_seq) else {
            return Err(NotKept {
                wanted: seq,
                first: self.first_seq,
            });
        };
        let index = usize::try_from(index).unwrap_or(usize::MAX);
        Ok(self.chunks.get(index).map(|(chunk, _)| chunk.clone()))
    }

    /// Notes that the call has ended.
    pub fn finish(&mut self, now: TimeMs) {
        self.ended.get_or_insert(now);
    }

    /// Returns whether the retention time after the end of the call has passed.
    pub fn expired(&self, now: TimeMs) -> bool {
        self.ended
            .is_some_and(|ended| now.since(ended) > RETENTION_MS)
    }

    /// Returns the size of the chunks that are kept.
    pub fn size_bytes(&self) -> usize {
        self.size_bytes
    }
}

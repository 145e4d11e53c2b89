//! Bound of the memory of all resume buffers together.

use std::collections::HashMap;
use std::collections::VecDeque;

/// Sizes of all answers that are kept, and the order in which they ended.
#[derive(Debug)]
pub struct Retention {
    limit_bytes: usize,
    total_bytes: usize,
    sizes: HashMap<u64, usize>,
    finished: VecDeque<u64>,
    next: u64,
}

impl Retention {
    /// Creates the account of at most `limit_bytes`.
    pub fn new(limit_bytes: usize) -> Self {
        Retention {
            limit_bytes,
            total_bytes: 0,
            sizes: HashMap::new(),
            finished: VecDeque::new(),
            next: 0,
        }
    }

    /// Adds an empty answer and returns its number.
    pub fn open(&mut self) -> u64 {
        let answer = self.next;
        self.next += 1;
        self.sizes.insert(answer, 0);
        answer
    }

    /// Notes the size of an answer; an answer that was dropped stays dropped.
    pub fn resize(&mut self, answer: u64, size_bytes: usize) {
        if let Some(size) = self.sizes.get_mut(&answer) {
            self.total_bytes = self.total_bytes - *size + size_bytes;
            *size = size_bytes;
        }
    }

    /// Notes that an answer is complete.
    pub fn finish(&mut self, answer: u64) {
        if self.sizes.contains_key(&answer) {
            self.finished.push_back(answer);
        }
    }

    /// Removes an answer.
    pub fn close(&mut self, answer: u64) {
        self.resize(answer, 0);
        self.sizes.remove(&answer);
        // Answers end their retention time in the order in which they finished.
        while let Some(first) = self.finished.front() {
            if self.sizes.contains_key(first) {
                break;
            }
            self.finished.pop_front();
        }
    }

    /// Removes and returns the finished answers, the oldest first, that must go now.
    pub fn excess(&mut self) -> Vec<u64> {
        let mut dropped = Vec::new();
        while self.overrun_bytes() > 0 {
            let Some(oldest) = self.finished.front().copied() else {
                break;
            };
            if self.sizes.contains_key(&oldest) {
                dropped.push(oldest);
            }
            self.close(oldest);
        }
        dropped
    }

    /// Returns by how much the running answers exceed the limit.
    pub fn overrun_bytes(&self) -> usize {
        self.total_bytes.saturating_sub(self.limit_bytes)
    }

    /// Returns the size of all answers.
    pub fn total_bytes(&self) -> usize {
        self.total_bytes
    }
}

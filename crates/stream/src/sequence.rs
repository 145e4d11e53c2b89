//! Checks that a stream belongs to its request, is complete and is in order.

use dw_base::RequestId;
use thiserror::Error;

/// What the receiver does with a chunk.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// It is the next one: pass it on.
    Deliver,
    /// It has been delivered before: drop it.
    Duplicate,
    /// Chunks are missing: resume from `expected`.
    Gap {
        /// First chunk that is missing.
        expected: u64,
    },
}

/// A stream is not the complete answer to its request.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum SequenceError {
    /// The frame answers another request.
    #[error("answer to request {got} arrived for request {expected}; close the connection")]
    WrongRequest {
        /// Request that was sent.
        expected: RequestId,
        /// Request that the frame names.
        got: RequestId,
    },
    /// Chunks are missing at the end.
    #[error("the stream ends after {got} of {announced} chunks; resume from chunk {got}")]
    Incomplete {
        /// Chunks that the sender counted.
        announced: u64,
        /// Chunks that arrived.
        got: u64,
    },
    /// More chunks arrived than the sender counted.
    #[error("the stream holds {got} chunks but announces {announced}; end it with an error")]
    TooMany {
        /// Chunks that the sender counted.
        announced: u64,
        /// Chunks that arrived.
        got: u64,
    },
}

/// State of the receiver of one stream.
#[derive(Clone, Debug)]
pub struct Sequence {
    request_id: RequestId,
    next_seq: u64,
}

impl Sequence {
    /// Creates the checker of a stream that has delivered nothing.
    pub fn new(request_id: RequestId) -> Self {
        Sequence {
            request_id,
            next_seq: 0,
        }
    }

    /// Returns the first chunk that has not been delivered.
    pub fn next_seq(&self) -> u64 {
        self.next_seq
    }

    /// Checks the request id of any frame.
    ///
    /// # Errors
    ///
    /// Returns an error if the frame answers another request.
    pub fn start(&self, request_id: &RequestId) -> Result<(), SequenceError> {
        if *request_id == self.request_id {
            return Ok(());
        }
        Err(SequenceError::WrongRequest {
            expected: self.request_id.clone(),
            got: request_id.clone(),
        })
    }

    /// Takes a chunk.
    pub fn chunk(&mut self, seq: u64) -> Verdict {
        if seq < self.next_seq {
            return Verdict::Duplicate;
        }
        if seq > self.next_seq {
            return Verdict::Gap {
                expected: self.next_seq,
            };
        }
        self.next_seq += 1;
        Verdict::Deliver
    }

    /// Takes the last frame.
    ///
    /// # Errors
    ///
    /// Returns an error if the frame answers another request or the count differs.
    pub fn end(&self, request_id: &RequestId, chunks: u64) -> Result<(), SequenceError> {
        self.start(request_id)?;
        let got = self.next_seq;
        match got.cmp(&chunks) {
            std::cmp::Ordering::Equal => Ok(()),
            std::cmp::Ordering::Less => Err(SequenceError::Incomplete {
                announced: chunks,
                got,
            }),
            std::cmp::Ordering::Greater => Err(SequenceError::TooMany {
                announced: chunks,
                got,
            }),
        }
    }
}

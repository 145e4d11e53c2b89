//! Sequence checks and resume buffers of streamed answers.
//!
//! | event | result |
//! | --- | --- |
//! | [`Sequence::start`], [`Sequence::end`]: first or last frame | an error unless id and count match |
//! | [`Sequence::chunk`]: a numbered chunk | [`Verdict`]: deliver, drop as duplicate, or resume |
//! | [`EventBoundary::push`]: bytes of an event stream | whether they end inside an event |
//! | [`ResumeBuffer::push`]: a chunk is sent | its number; the oldest chunks go if the buffer is full |
//! | [`ResumeBuffer::finish`]: the call ended | starts the retention time |
//! | [`ResumeBuffer::get`]: the receiver resumes | the chunk, or a typed error if it is not kept |
//! | [`Retention::resize`], [`Retention::finish`]: an answer grows or ends | accounted |
//! | [`Retention::excess`]: the memory of all answers is checked | the finished answers to drop, oldest first |

mod event_boundary;
mod resume;
mod retention;
mod sequence;

pub use event_boundary::EventBoundary;
pub use resume::NotKept;
pub use resume::ResumeBuffer;
pub use resume::RETENTION_MS;
pub use retention::Retention;
pub use sequence::Sequence;
pub use sequence::SequenceError;
pub use sequence::Verdict;

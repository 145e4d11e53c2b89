//! Sequence checks and resume buffers of streamed answers.

//! Spans and trace context of programs that export them.
//!
//! A crate of its own, since `fastrace` reads the clock in a loop before `main` until it knows the
//! speed of the processor's counter: some 20 ms, and seconds on a small share of a core.

mod spans;

pub use spans::start_spans;
pub use spans::SpanError;
pub use spans::SpanGuard;
pub use spans::TraceParent;

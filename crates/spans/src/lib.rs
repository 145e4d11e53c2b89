//! Tracing spans and trace context.
//!
//! This is a separate crate so that only programs that export spans link `fastrace`, which
//! calibrates the CPU timestamp counter before `main`. The calibration takes about 20 ms, and
//! seconds on a small share of a core.

mod spans;

pub use spans::start_spans;
pub use spans::SpanError;
pub use spans::SpanGuard;
pub use spans::TraceParent;

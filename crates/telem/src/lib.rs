//! Logs, traces and metrics.

mod log_line;
mod logs;
mod metrics;
mod spans;

pub use logs::start_logs;
pub use logs::LogError;
pub use logs::LogGuard;
pub use metrics::Metrics;
pub use spans::start_spans;
pub use spans::SpanError;
pub use spans::SpanGuard;
pub use spans::TraceParent;

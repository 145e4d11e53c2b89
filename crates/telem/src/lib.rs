//! Logging and metrics.

mod log_line;
mod logs;
mod metrics;

pub use logs::start_logs;
pub use logs::LogError;
pub use logs::LogGuard;
pub use metrics::Metrics;

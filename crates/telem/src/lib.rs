//! Logs, traces and metrics.

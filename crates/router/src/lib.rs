//! The router between callers and agents.

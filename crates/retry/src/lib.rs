//! Retry decisions, budgets and backoff.

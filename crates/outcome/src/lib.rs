//! Outcome records of calls that run at most once.

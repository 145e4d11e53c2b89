//! Tests with many nodes in one process and a table with outages and lost answers.

#![allow(
    clippy::unwrap_used,
    reason = "helpers of tests may fail like the tests themselves"
)]

mod common;
mod history;
mod node;

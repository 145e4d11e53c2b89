//! Runs a program on one thread until SIGTERM.

mod run;
mod signals;

pub use run::run_local;
pub use signals::Signals;

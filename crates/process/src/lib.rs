//! Runtime, logging and signal handling of single-threaded programs.

mod run;
mod signals;

pub use run::run_local;
pub use signals::Signals;

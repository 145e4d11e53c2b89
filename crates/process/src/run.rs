//! Logging and runtime of a single-threaded program.

use std::future::Future;
use std::io;

use dw_telem::start_logs;
use tokio::runtime::Builder;
use tokio::task::LocalSet;

use crate::signals::Signals;

/// Starts logging to standard output and runs `serve` to completion on a runtime of this thread.
///
/// # Errors
///
/// Returns an error if logging, the runtime or the signal handlers cannot be set up, or the error
/// of `serve`.
pub fn run_local<F>(serve: impl FnOnce(Signals) -> F) -> eyre::Result<()>
where
    F: Future<Output = eyre::Result<()>>,
{
    let _logs = start_logs(log::LevelFilter::Info, io::stdout())?;
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let main = async { serve(Signals::new()?).await };
    LocalSet::new().block_on(&runtime, main)
}

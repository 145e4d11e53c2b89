//! Log and runtime of a program with one thread.

use std::future::Future;
use std::io;

use dw_telem::start_logs;
use tokio::runtime::Builder;
use tokio::task::LocalSet;

use crate::signals::Signals;

/// Starts the log and runs `serve` on this thread, with the signals that the process gets.
///
/// # Errors
///
/// Returns an error if the log, the runtime or the signal handlers cannot be set up, or the error
/// of `serve`.
pub fn run_local<F>(serve: impl FnOnce(Signals) -> F) -> eyre::Result<()>
where
    F: Future<Output = eyre::Result<()>>,
{
    let _logs = start_logs(log::LevelFilter::Info, io::stdout())?;
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let served = async { serve(Signals::new()?).await };
    LocalSet::new().block_on(&runtime, served)
}

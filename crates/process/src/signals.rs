//! Signals that end a process or change its settings.

use std::io;

use tokio::signal::unix::signal;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;

/// Handlers of SIGTERM and SIGHUP.
#[derive(Debug)]
pub struct Signals {
    terminate: Signal,
    hang_up: Signal,
}

impl Signals {
    /// Installs the handlers.
    ///
    /// # Errors
    ///
    /// Returns an error if a handler cannot be installed.
    pub(crate) fn new() -> io::Result<Self> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate())?,
            hang_up: signal(SignalKind::hangup())?,
        })
    }

    /// Returns at SIGTERM; calls `on_hang_up` at each SIGHUP before.
    pub async fn until_terminated(&mut self, on_hang_up: impl Fn()) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.hang_up.recv() => on_hang_up(),
            }
        }
    }
}

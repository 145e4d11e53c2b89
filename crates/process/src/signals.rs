//! Signals that stop a process or make it reload its configuration.

use std::io;

use tokio::signal::unix::signal;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;

/// Handlers for SIGTERM and SIGHUP.
#[derive(Debug)]
pub struct Signals {
    sigterm: Signal,
    sighup: Signal,
}

impl Signals {
    /// Installs the handlers.
    ///
    /// # Errors
    ///
    /// Returns an error if a handler cannot be installed.
    pub(crate) fn new() -> io::Result<Self> {
        Ok(Signals {
            sigterm: signal(SignalKind::terminate())?,
            sighup: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for SIGTERM, and calls `on_sighup` at each SIGHUP until then.
    pub async fn wait_for_sigterm(&mut self, on_sighup: impl Fn()) {
        loop {
            tokio::select! {
                _ = self.sigterm.recv() => return,
                _ = self.sighup.recv() => on_sighup(),
            }
        }
    }
}

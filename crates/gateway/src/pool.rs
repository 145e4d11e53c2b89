//! Idle connections to upstreams.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;

use dw_base::DurationMs;
use dw_base::TimeMs;
use dw_net::Connection;

/// Idle timeout of connections to upstreams that do not announce one.
const DEFAULT_IDLE_TIMEOUT_MS: DurationMs = DurationMs(4_000);

/// Time before the end of an upstream's idle timeout from which a connection is no longer used.
const IDLE_TIMEOUT_MARGIN_MS: DurationMs = DurationMs(700);

/// Maximum number of idle connections per upstream.
const MAX_IDLE_CONNECTIONS: usize = 32;

struct IdleConnection {
    connection: Connection,
    since: TimeMs,
    until: TimeMs,
}

/// Idle connections to upstreams.
#[derive(Default)]
pub(crate) struct ConnectionPool {
    idle: RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>,
}

impl ConnectionPool {
    /// Takes the most recently used connection to an upstream that is usable and has been idle for
    /// at most `max_idle_ms`.
    pub(crate) fn take(
        &self,
        addr: SocketAddr,
        max_idle_ms: DurationMs,
        now: TimeMs,
    ) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let list = idle.get_mut(&addr)?;
        list.retain(|idle| !idle.connection.is_closed() && now < idle.until);
        let usable = |idle: &IdleConnection| {
            idle.connection.is_ready() && now.since(idle.since) <= max_idle_ms
        };
        let position = list.iter().rposition(usable)?;
        Some(list.remove(position).connection)
    }

    /// Adds a connection after a complete answer.
    pub(crate) fn put(
        &self,
        addr: SocketAddr,
        connection: Connection,
        idle_ms: Option<DurationMs>,
        now: TimeMs,
    ) {
        if connection.is_closed() {
            return;
        }
        let keep = idle_ms
            .unwrap_or(DEFAULT_IDLE_TIMEOUT_MS)
            .saturating_sub(IDLE_TIMEOUT_MARGIN_MS);
        let mut idle = self.idle.borrow_mut();
        let list = idle.entry(addr).or_default();
        if list.len() < MAX_IDLE_CONNECTIONS {
            list.push(IdleConnection {
                connection,
                since: now,
                until: now + keep,
            });
        }
    }

    /// Closes all idle connections to an upstream.
    pub(crate) fn close(&self, addr: SocketAddr) {
        self.idle.borrow_mut().remove(&addr);
    }

    /// Closes expired connections and those to addresses for which `keep` returns false.
    pub(crate) fn sweep(&self, keep: impl Fn(&SocketAddr) -> bool, now: TimeMs) {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|addr, _| keep(addr));
        for list in idle.values_mut() {
            list.retain(|idle| !idle.connection.is_closed() && now < idle.until);
        }
    }
}

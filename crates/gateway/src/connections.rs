//! Open connections of callers.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::rc::Weak;
use std::task::Context;

use dw_base::DurationMs;
use dw_base::TimeMs;
use tokio::sync::Notify;

use crate::relay::Relay;

/// One connection of a caller.
#[derive(Default)]
pub(crate) struct CallerConnection {
    requests: Cell<u32>,
    idle_since: Cell<TimeMs>,
    /// The answer that is being relayed.
    answer: RefCell<Weak<RefCell<Relay>>>,
    /// Notifies the task of the connection to close it once it is idle.
    pub(crate) close: Notify,
}

impl CallerConnection {
    /// Counts a request as running until the guard is dropped.
    pub(crate) fn start_request(self: &Rc<Self>) -> RequestGuard {
        self.requests.set(self.requests.get() + 1);
        RequestGuard(self.clone())
    }

    /// Reads on in the answer of an upstream while the caller does not read.
    pub(crate) fn read_ahead(&self, cx: &mut Context<'_>) {
        let answer = self.answer.borrow().upgrade();
        if let Some(answer) = answer {
            answer.borrow_mut().read_ahead(cx);
        }
    }
}

/// Guard of a running request on a connection.
pub(crate) struct RequestGuard(Rc<CallerConnection>);

impl RequestGuard {
    /// Records the answer that is relayed.
    pub(crate) fn set_answer(&self, answer: &Rc<RefCell<Relay>>) {
        *self.0.answer.borrow_mut() = Rc::downgrade(answer);
    }

    /// Records when the request ended.
    pub(crate) fn record_end(&self, now: TimeMs) {
        self.0.idle_since.set(now);
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let requests = self.0.requests.get().saturating_sub(1);
        self.0.requests.set(requests);
    }
}

/// Open connections of callers.
#[derive(Default)]
pub(crate) struct Connections {
    open: RefCell<HashMap<u64, Rc<CallerConnection>>>,
    next_id: Cell<u64>,
}

impl Connections {
    /// Adds a connection and returns its id.
    pub(crate) fn add(&self, now: TimeMs) -> (u64, Rc<CallerConnection>) {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let connection = Rc::new(CallerConnection::default());
        connection.idle_since.set(now);
        self.open.borrow_mut().insert(id, connection.clone());
        (id, connection)
    }

    /// Removes a connection.
    pub(crate) fn remove(&self, id: u64) {
        self.open.borrow_mut().remove(&id);
    }

    /// Returns the number of open connections.
    pub(crate) fn count(&self) -> usize {
        self.open.borrow().len()
    }

    /// Notifies connections that have been idle for `idle_ms` to close; zero means all connections.
    pub(crate) fn close_idle(&self, idle_ms: DurationMs, now: TimeMs) {
        for connection in self.open.borrow().values() {
            let is_idle = connection.requests.get() == 0;
            let is_old = now.since(connection.idle_since.get()) >= idle_ms;
            if idle_ms == DurationMs::ZERO || (is_idle && is_old) {
                connection.close.notify_one();
            }
        }
    }
}

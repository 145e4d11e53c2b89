//! Questions to sidecars whose answers requests wait for.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use dw_base::DurationMs;
use dw_wire::send_datagram;
use dw_wire::Datagram;
use tokio::net::UdpSocket;
use tokio::sync::oneshot;
use tokio::time::timeout;

/// Questions of one kind that wait for an answer, by number.
pub(crate) struct Questions<T> {
    socket: Rc<UdpSocket>,
    /// Port of the sidecars for datagrams.
    inner_port: u16,
    pending: RefCell<HashMap<u32, oneshot::Sender<T>>>,
    next_number: Cell<u32>,
}

impl<T> Questions<T> {
    /// Creates the state without any questions.
    pub(crate) fn new(socket: Rc<UdpSocket>, inner_port: u16) -> Self {
        Questions {
            socket,
            inner_port,
            pending: RefCell::default(),
            next_number: Cell::default(),
        }
    }

    /// Begins a question, which may be sent more than once.
    pub(crate) fn begin(&self) -> Question<'_, T> {
        let number = self.next_number.get();
        self.next_number.set(number.wrapping_add(1));
        let (sender, receiver) = oneshot::channel();
        self.pending.borrow_mut().insert(number, sender);
        Question {
            questions: self,
            number,
            receiver,
        }
    }

    /// Asks the sidecar beside an engine once; returns nothing if it does not answer in time.
    pub(crate) async fn ask(
        &self,
        engine: SocketAddr,
        timeout_ms: DurationMs,
        question: impl FnOnce(u32) -> Datagram,
    ) -> Option<T> {
        let mut asked = self.begin();
        let datagram = question(asked.number);
        asked.ask(engine, timeout_ms, &datagram).await
    }

    /// Passes an answer on to the request that waits for it; returns whether one still waits.
    pub(crate) fn record_answer(&self, number: u32, answer: T) -> bool {
        let waiting = self.pending.borrow_mut().remove(&number);
        waiting.is_some_and(|waiting| waiting.send(answer).is_ok())
    }

    /// Sends what needs no answer to the sidecar beside an engine, unless the send buffer is full.
    pub(crate) fn tell(&self, engine: SocketAddr, datagram: &Datagram) {
        match dw_wire::encode(datagram) {
            Ok(bytes) => {
                dw_wire::forward_datagram(&self.socket, &[self.sidecar(engine)], &bytes);
            }
            Err(e) => log::error!(error:% = e; "cannot encode datagram"),
        }
    }

    fn sidecar(&self, engine: SocketAddr) -> SocketAddr {
        SocketAddr::new(engine.ip(), self.inner_port)
    }
}

/// A question that waits for an answer until it is dropped.
pub(crate) struct Question<'a, T> {
    questions: &'a Questions<T>,
    /// Number that the answer repeats.
    pub(crate) number: u32,
    receiver: oneshot::Receiver<T>,
}

impl<T> Question<'_, T> {
    /// Sends the question to the sidecar beside an engine; returns nothing if no answer arrives in time, be
    /// it to this datagram or an earlier one.
    pub(crate) async fn ask(
        &mut self,
        engine: SocketAddr,
        timeout_ms: DurationMs,
        question: &Datagram,
    ) -> Option<T> {
        let to = self.questions.sidecar(engine);
        send_datagram(&self.questions.socket, to, question).await;
        let answer = timeout(timeout_ms.into(), &mut self.receiver).await;
        answer.ok()?.ok()
    }
}

impl<T> Drop for Question<'_, T> {
    fn drop(&mut self) {
        self.questions.pending.borrow_mut().remove(&self.number);
    }
}

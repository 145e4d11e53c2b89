//! Connects waiting requests with the admission gate.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use dw_admit::Action;
use dw_admit::Cause;
use dw_admit::Finished;
use dw_admit::Gate;
use dw_admit::Load;
use dw_admit::Ticket;
use dw_base::Clock;
use dw_base::DurationMs;
use dw_base::Priority;
use dw_base::Tokens;
use dw_wire::RefusalReason;
use tokio::sync::oneshot;
use tokio::sync::Notify;

/// What becomes of a request that waits.
#[derive(Debug)]
pub(crate) enum Verdict {
    /// It runs as long as the slot is held.
    Start(Slot),
    /// It is refused as not run.
    Refuse(RefusalReason, Option<DurationMs>),
}

struct Waiting {
    verdict: oneshot::Sender<Verdict>,
    resumed: bool,
}

struct State {
    gate: Box<dyn Gate>,
    waiting: HashMap<u64, Waiting>,
    running: HashMap<u64, Arc<Notify>>,
}

/// The queue of an agent.
#[derive(Clone)]
pub(crate) struct Queue {
    state: Arc<Mutex<State>>,
    clock: Arc<dyn Clock>,
}

impl Queue {
    pub(crate) fn new(gate: Box<dyn Gate>, clock: Arc<dyn Clock>) -> Self {
        let state = State {
            gate,
            waiting: HashMap::new(),
            running: HashMap::new(),
        };
        Queue {
            state: Arc::new(Mutex::new(state)),
            clock,
        }
    }

    /// Offers a request, again if it was pre-empted; the receiver gets exactly one verdict.
    pub(crate) fn offer(&self, ticket: Ticket, resumed: bool) -> oneshot::Receiver<Verdict> {
        let (verdict, receiver) = oneshot::channel();
        let mut state = self.lock();
        state.running.remove(&ticket.id);
        state
            .waiting
            .insert(ticket.id, Waiting { verdict, resumed });
        let now = self.clock.now();
        let actions = state.gate.offer(ticket, now);
        self.carry_out(&mut state, actions);
        self.advance(&mut state);
        receiver
    }

    /// Starts what can start, and refuses what has become too late.
    pub(crate) fn poll(&self) {
        self.advance(&mut self.lock());
    }

    /// Removes a request that waits; returns false if it has a verdict already.
    pub(crate) fn withdraw(&self, id: u64) -> bool {
        let mut state = self.lock();
        state.gate.withdraw(id);
        state.waiting.remove(&id).is_some()
    }

    /// Refuses everything that waits and has not run; a pre-empted request must be finished.
    pub(crate) fn refuse_waiting(&self, reason: RefusalReason) {
        let mut state = self.lock();
        let not_run = state.waiting.iter().filter(|(_, waiting)| !waiting.resumed);
        let ids: Vec<u64> = not_run.map(|(id, _)| *id).collect();
        for id in ids {
            state.gate.withdraw(id);
            if let Some(waiting) = state.waiting.remove(&id) {
                let _ = waiting.verdict.send(Verdict::Refuse(reason, None));
            }
        }
    }

    /// Returns the load and the expected wait of each priority.
    pub(crate) fn load(&self) -> (Load, [DurationMs; 3]) {
        let state = self.lock();
        let now = self.clock.now();
        let wait_ms = Priority::ALL.map(|priority| state.gate.expected_wait_ms(priority, now));
        (state.gate.load(), wait_ms)
    }

    /// Returns how many requests have begun and not ended; pre-empted ones wait for a slot.
    pub(crate) fn begun(&self) -> u32 {
        let state = self.lock();
        let waiting = state.waiting.values().filter(|waiting| waiting.resumed);
        u32::try_from(state.running.len() + waiting.count()).unwrap_or(u32::MAX)
    }

    fn advance(&self, state: &mut State) {
        let actions = state.gate.next(self.clock.now());
        self.carry_out(state, actions);
    }

    fn carry_out(&self, state: &mut State, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Refuse {
                    id,
                    cause,
                    retry_after_ms,
                } => {
                    let reason = match cause {
                        Cause::QueueFull => RefusalReason::QueueFull,
                        Cause::DeadlineUnmeetable => RefusalReason::DeadlineUnmeetable,
                    };
                    if let Some(waiting) = state.waiting.remove(&id) {
                        let refused = Verdict::Refuse(reason, Some(retry_after_ms));
                        let _ = waiting.verdict.send(refused);
                    }
                }
                Action::Preempt { id } => {
                    if let Some(preempted) = state.running.get(&id) {
                        preempted.notify_one();
                    }
                }
                Action::Start(ticket) => self.start(state, &ticket),
            }
        }
    }

    fn start(&self, state: &mut State, ticket: &Ticket) {
        let preempted = Arc::new(Notify::new());
        state.running.insert(ticket.id, Arc::clone(&preempted));
        let slot = Slot {
            id: ticket.id,
            preempted,
            queue: Some(self.clone()),
        };
        let unclaimed = match state.waiting.remove(&ticket.id) {
            Some(waiting) => waiting.verdict.send(Verdict::Start(slot)).err(),
            None => Some(Verdict::Start(slot)),
        };
        // The caller has left. The slot must not lock the queue again when it is dropped.
        if let Some(Verdict::Start(mut slot)) = unclaimed {
            slot.queue = None;
            state.running.remove(&slot.id);
            state.gate.finished(&unused(slot.id), self.clock.now());
        }
    }

    fn first_token(&self, id: u64) {
        let mut state = self.lock();
        state.gate.first_token(id, self.clock.now());
        self.advance(&mut state);
    }

    fn finish(&self, finished: &Finished) {
        let mut state = self.lock();
        state.running.remove(&finished.id);
        state.gate.finished(finished, self.clock.now());
        self.advance(&mut state);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

fn unused(id: u64) -> Finished {
    Finished {
        id,
        computed_tokens: Tokens(0),
        generated_tokens: Tokens(0),
        prefill_ms: DurationMs::ZERO,
        total_ms: DurationMs::ZERO,
    }
}

/// Right to run one request on the upstream; it is given back on drop.
pub(crate) struct Slot {
    id: u64,
    preempted: Arc<Notify>,
    queue: Option<Queue>,
}

impl std::fmt::Debug for Slot {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Slot").field("id", &self.id).finish()
    }
}

impl Slot {
    /// Returns when the gate wants the request to make room.
    pub(crate) async fn preempted(&self) {
        self.preempted.notified().await;
    }

    /// Gives the slot back after a pre-emption; the request must be offered again at once.
    ///
    /// The gate has counted the slot as free since it pre-empted the request. The request counts as
    /// begun until it is offered, so that no change of weights comes in between.
    pub(crate) fn vacate(mut self) {
        self.queue = None;
    }

    /// Tells the gate that the prompt has been computed.
    pub(crate) fn first_token(&self) {
        if let Some(queue) = &self.queue {
            queue.first_token(self.id);
        }
    }

    /// Gives the slot back with the figures of the run.
    pub(crate) fn finish(mut self, finished: Finished) {
        if let Some(queue) = self.queue.take() {
            queue.finish(&Finished {
                id: self.id,
                ..finished
            });
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if let Some(queue) = self.queue.take() {
            queue.finish(&unused(self.id));
        }
    }
}

//! A bounded first-in, first-out queue, as a baseline.

use std::collections::BTreeSet;
use std::collections::VecDeque;

use dw_base::DurationMs;
use dw_base::Priority;
use dw_base::TimeMs;
use dw_base::TokensPerS;

use crate::gate::Action;
use crate::gate::Cause;
use crate::gate::Finished;
use crate::gate::Gate;
use crate::gate::Load;
use crate::ticket::Ticket;

/// Service time assumed until a request has finished.
const INITIAL_SERVICE_MS: f64 = 100.0;

/// Weight of the latest service time in the moving average.
const SMOOTHING_FACTOR: f64 = 0.2;

/// Admission policy that starts requests in order of arrival.
#[derive(Debug)]
pub struct Fifo {
    max_running: u32,
    max_queued: usize,
    queue: VecDeque<Ticket>,
    running: BTreeSet<u64>,
    service_ms: f64,
    prefill_tokens_per_s: TokensPerS,
    decode_tokens_per_s: TokensPerS,
}

impl Fifo {
    /// Creates an empty queue. [`Gate::load`] reports the given speeds unchanged.
    pub fn new(
        max_running: u32,
        max_queued: usize,
        prefill_tokens_per_s: TokensPerS,
        decode_tokens_per_s: TokensPerS,
    ) -> Self {
        Fifo {
            max_running,
            max_queued,
            queue: VecDeque::new(),
            running: BTreeSet::new(),
            service_ms: INITIAL_SERVICE_MS,
            prefill_tokens_per_s,
            decode_tokens_per_s,
        }
    }

    fn wait_ms(&self) -> DurationMs {
        let pending = self.queue.len() as f64 + f64::from(self.running.len() as u32);
        let slots = f64::from(self.max_running.max(1));
        DurationMs(((pending - slots + 1.0).max(0.0) * self.service_ms / slots) as u64)
    }
}

impl Gate for Fifo {
    fn offer(&mut self, ticket: Ticket, _now: TimeMs) -> Vec<Action> {
        if self.queue.len() >= self.max_queued {
            return vec![Action::Refuse {
                id: ticket.id,
                cause: Cause::QueueFull,
                retry_after_ms: self.wait_ms(),
            }];
        }
        self.queue.push_back(ticket);
        Vec::new()
    }

    fn next(&mut self, now: TimeMs) -> Vec<Action> {
        let mut actions = Vec::new();
        while self.running.len() < self.max_running as usize {
            let Some(ticket) = self.queue.pop_front() else {
                break;
            };
            if ticket.deadline < now {
                actions.push(Action::Refuse {
                    id: ticket.id,
                    cause: Cause::DeadlineUnmeetable,
                    retry_after_ms: self.wait_ms(),
                });
                continue;
            }
            self.running.insert(ticket.id);
            actions.push(Action::Start(ticket));
        }
        actions
    }

    fn finished(&mut self, finished: &Finished, _now: TimeMs) {
        if self.running.remove(&finished.id) {
            let latest_ms = finished.total_ms.0 as f64;
            self.service_ms += SMOOTHING_FACTOR * (latest_ms - self.service_ms);
        }
    }

    fn withdraw(&mut self, id: u64) -> bool {
        let previous_len = self.queue.len();
        self.queue.retain(|ticket| ticket.id != id);
        self.queue.len() < previous_len
    }

    fn expected_wait_ms(&self, _priority: Priority, _now: TimeMs) -> DurationMs {
        self.wait_ms()
    }

    fn load(&self) -> Load {
        Load {
            running: self.running.len() as u32,
            queued: self.queue.len() as u32,
            prefill_tokens_per_s: self.prefill_tokens_per_s,
            decode_tokens_per_s: self.decode_tokens_per_s,
        }
    }
}

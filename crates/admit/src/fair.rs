//! The production admission policy: strict priorities, fair queueing between organisations, and
//! early refusal of requests that cannot meet their deadline.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use bon::Builder;
use dw_base::DurationMs;
use dw_base::Priority;
use dw_base::TimeMs;
use dw_base::TokensPerS;

use crate::gate::Action;
use crate::gate::Cause;
use crate::gate::Finished;
use crate::gate::Gate;
use crate::gate::Load;
use crate::queue::Queue;
use crate::queue::QueueKey;
use crate::queue::QueuedRequest;
use crate::slots::LeaseTable;
use crate::speed::to_duration;
use crate::speed::Speeds;
use crate::ticket::Ticket;

/// Shortest retry delay given to a refused caller.
const MIN_RETRY_AFTER: DurationMs = DurationMs(50);

/// Minimum remaining time assumed for a running request, as a fraction of its expected total time.
/// Applies to requests that run longer than expected.
const MIN_REMAINING_FRACTION: f64 = 0.1;

/// Total prefill time below which `max_prefills` is not enforced. With 100 streams of short
/// prompts, a limit on the count alone raised the response time from 212 ms to 500 ms.
const UNLIMITED_PREFILL_MS: f64 = 100.0;

/// Settings of [`Fair`].
#[derive(Builder, Clone, Debug)]
pub struct FairSettings {
    /// Maximum number of concurrently running requests.
    pub max_running: u32,
    /// Maximum number of queued requests.
    #[builder(default = 256)]
    pub max_queued: usize,
    /// Longest expected wait of a queued request; above it, requests are shed.
    #[builder(default = DurationMs(60_000))]
    pub max_wait_ms: DurationMs,
    /// Configured prefill speed, the initial value of the estimate.
    pub prefill_tokens_per_s: TokensPerS,
    /// Configured decode speed of one stream, the initial value of the estimate.
    pub decode_tokens_per_s: TokensPerS,
    /// Cost of a generated token, relative to a prompt token that is not cached.
    #[builder(default = 4.0)]
    pub decode_weight: f64,
    /// Maximum number of concurrent prefills; urgent requests are not counted.
    ///
    /// An engine divides its prefill speed among all prompts of one priority, so concurrent
    /// prefills delay each other, and requests with the same uncached prefix each compute it. With
    /// a limit of 1, the engine is idle while the agent imports cache pieces for the next prompt.
    #[builder(default = 2)]
    pub max_prefills: u32,
    /// Whether the upstream can cancel and resume requests, which allows urgent requests to
    /// pre-empt others.
    #[builder(default = false)]
    pub preempts: bool,
}

/// A request that is running on the upstream.
#[derive(Clone, Debug)]
struct RunningRequest {
    ticket: Ticket,
    started: TimeMs,
    /// Whether the upstream is still computing the prompt.
    prefilling: bool,
    resumed: bool,
}

/// Admission policy based on priority, fairness, worth and deadline.
#[derive(Clone, Debug)]
pub struct Fair {
    settings: FairSettings,
    speeds: Speeds,
    queue: Queue,
    running: BTreeMap<u64, RunningRequest>,
    /// Pre-empted requests that have not been offered again yet.
    preempted: BTreeSet<u64>,
}

impl Fair {
    /// Creates a policy with an empty queue.
    pub fn new(settings: FairSettings) -> Self {
        Fair {
            speeds: Speeds::new(settings.prefill_tokens_per_s, settings.decode_tokens_per_s),
            queue: Queue::default(),
            running: BTreeMap::new(),
            preempted: BTreeSet::new(),
            settings,
        }
    }

    fn cost(&self, ticket: &Ticket) -> f64 {
        let generated = ticket.max_tokens.0 as f64 * self.settings.decode_weight;
        (ticket.uncached_tokens.0 as f64 + generated).max(1.0)
    }

    fn project_slots(&self, now: TimeMs) -> LeaseTable {
        let remaining = self.running.values().map(|running| {
            let expected = self.speeds.service_ms(&running.ticket);
            let elapsed = now.since(running.started).0 as f64;
            (expected - elapsed).max(expected * MIN_REMAINING_FRACTION)
        });
        LeaseTable::new(self.settings.max_running as usize, remaining)
    }

    /// Returns the remaining prefill time of the running requests that have at least this priority.
    ///
    /// Engines compute the prompts with the highest priority first.
    fn prefill_ms(&self, priority: Priority, now: TimeMs) -> f64 {
        let ahead = self.running.values().filter(|running| running.prefilling);
        let ahead = ahead.filter(|running| running.ticket.priority <= priority);
        let remaining = ahead.map(|running| {
            let expected = self.speeds.first_token_ms(&running.ticket);
            let elapsed = now.since(running.started).0 as f64;
            (expected - elapsed).max(expected * MIN_REMAINING_FRACTION)
        });
        remaining.sum()
    }

    /// Returns the expected wait of a new request behind all requests that have at least its
    /// priority.
    fn wait_ms(&self, priority: Priority, now: TimeMs) -> f64 {
        let mut slots = self.project_slots(now);
        let mut prefill = self.prefill_ms(priority, now);
        for (_, waiting) in self.queue.iter().filter(|(key, _)| key.0 <= priority) {
            slots.assign(self.speeds.service_ms(&waiting.ticket));
            prefill += self.speeds.first_token_ms(&waiting.ticket);
        }
        if priority == Priority::Urgent && self.preemption_victim(None).is_some() {
            return prefill;
        }
        slots.wait_ms().max(prefill)
    }

    fn refuse(&self, waiting: &QueuedRequest, cause: Cause, now: TimeMs) -> Action {
        let wait = self.wait_ms(waiting.ticket.priority, now);
        Action::Refuse {
            id: waiting.ticket.id,
            cause,
            retry_after_ms: to_duration(wait).max(MIN_RETRY_AFTER),
        }
    }

    /// Returns the first queued request that cannot meet its deadline, and the longest expected
    /// wait of the requests before it.
    ///
    /// Pre-empted requests are exempt, because a refusal states that the request has not run.
    fn project_queue(&self, now: TimeMs) -> (Option<QueueKey>, f64) {
        let mut slots = self.project_slots(now);
        let mut longest_wait: f64 = 0.0;
        let mut preemptable = self.preemptable(None).count();
        let running = Priority::ALL.map(|priority| self.prefill_ms(priority, now));
        let mut queued = 0.0;
        for (key, waiting) in self.queue.iter() {
            let preempts = key.0 == Priority::Urgent && preemptable > 0;
            let slot = if preempts { 0.0 } else { slots.wait_ms() };
            preemptable = preemptable.saturating_sub(usize::from(preempts));
            let wait = slot.max(running[key.0.index()] + queued);
            let service = self.speeds.service_ms(&waiting.ticket);
            let time_left_ms = waiting.ticket.deadline.since(now).0 as f64;
            if wait + service > time_left_ms && !waiting.resumed {
                return (Some(*key), longest_wait);
            }
            longest_wait = longest_wait.max(wait);
            queued += self.speeds.first_token_ms(&waiting.ticket);
            slots.assign(service);
        }
        (None, longest_wait)
    }

    /// Refuses the queued requests that cannot meet their deadlines.
    fn refuse_late(&mut self, now: TimeMs) -> Vec<Action> {
        let mut actions = Vec::new();
        while let (Some(key), _) = self.project_queue(now) {
            if let Some(waiting) = self.queue.remove(&key) {
                actions.push(self.refuse(&waiting, Cause::DeadlineUnmeetable, now));
            }
        }
        actions
    }

    /// Refuses the least valuable requests until the length of the queue and its longest expected
    /// wait are within their limits.
    fn shed(&mut self, arrival: QueueKey, now: TimeMs) -> Vec<Action> {
        let mut actions = Vec::new();
        let max_wait = self.settings.max_wait_ms.0 as f64;
        while self.queue.len() > self.settings.max_queued || self.project_queue(now).1 > max_wait {
            let Some(key) = self.least_valuable(arrival.0) else {
                break;
            };
            if let Some(waiting) = self.queue.remove(&key) {
                actions.push(self.refuse(&waiting, Cause::QueueFull, now));
            }
            if key == arrival {
                break;
            }
        }
        actions
    }

    /// Returns the queued request with the lowest ratio of worth to cost among those whose priority
    /// is `highest` or lower. Of equal ones, the last in the queue is chosen.
    fn least_valuable(&self, highest: Priority) -> Option<QueueKey> {
        let value = |waiting: &QueuedRequest| waiting.ticket.worth.get() / waiting.cost;
        self.queue
            .iter()
            .rev()
            .filter(|(key, waiting)| key.0 >= highest && !waiting.resumed)
            .min_by(|a, b| value(a.1).total_cmp(&value(b.1)))
            .map(|(key, _)| *key)
    }

    fn preemptable<'a>(
        &'a self,
        except: Option<&'a BTreeSet<u64>>,
    ) -> impl Iterator<Item = &'a RunningRequest> {
        self.running.values().filter(move |running| {
            let ticket = &running.ticket;
            // A request is pre-empted at most once, so that it is not starved.
            self.settings.preempts
                && ticket.priority != Priority::Urgent
                && ticket.repeatable
                && !running.resumed
                && except.is_none_or(|ids| !ids.contains(&ticket.id))
        })
    }

    /// Returns the running request to pre-empt: the one with the lowest priority, and among these
    /// the one that started last.
    fn preemption_victim(&self, except: Option<&BTreeSet<u64>>) -> Option<u64> {
        self.preemptable(except)
            .max_by_key(|running| (running.ticket.priority, running.started, running.ticket.id))
            .map(|running| running.ticket.id)
    }

    /// Returns whether the limit on concurrent prefills allows the first queued request to start.
    fn prefill_allowed(&self) -> bool {
        let first = self.queue.iter().next();
        let Some((key, waiting)) = first else {
            return false;
        };
        let is_cached = waiting.ticket.uncached_tokens.0 == 0;
        let is_urgent = key.0 == Priority::Urgent;
        let prefilling = self.running.values().filter(|running| running.prefilling);
        let prefilling = prefilling.filter(|running| running.ticket.priority >= key.0);
        let (count, work_ms) = prefilling.fold((0, 0.0), |(count, work_ms), running| {
            (count + 1, work_ms + self.speeds.compute_ms(&running.ticket))
        });
        is_cached
            || is_urgent
            || count < self.settings.max_prefills
            || work_ms < UNLIMITED_PREFILL_MS
    }

    /// Pre-empts a running request if the first queued request is urgent.
    fn preempt_for_urgent(&mut self) -> Option<Action> {
        let is_urgent = self.queue.iter().next()?.0 .0 == Priority::Urgent;
        let id = is_urgent.then(|| self.preemption_victim(None)).flatten()?;
        self.running.remove(&id);
        self.preempted.insert(id);
        Some(Action::Preempt { id })
    }
}

impl Gate for Fair {
    fn offer(&mut self, ticket: Ticket, now: TimeMs) -> Vec<Action> {
        let resumed = self.preempted.remove(&ticket.id);
        let cost = self.cost(&ticket);
        let key = self.queue.push(ticket, cost, resumed);
        let mut actions = self.refuse_late(now);
        actions.extend(self.shed(key, now));
        actions
    }

    fn next(&mut self, now: TimeMs) -> Vec<Action> {
        let mut actions = self.refuse_late(now);
        while self.prefill_allowed() {
            if self.running.len() >= self.settings.max_running as usize {
                let Some(action) = self.preempt_for_urgent() else {
                    break;
                };
                actions.push(action);
            }
            let Some(waiting) = self.queue.pop() else {
                break;
            };
            let running = RunningRequest {
                ticket: waiting.ticket.clone(),
                started: now,
                prefilling: waiting.ticket.uncached_tokens.0 > 0,
                resumed: waiting.resumed,
            };
            self.running.insert(waiting.ticket.id, running);
            actions.push(Action::Start(waiting.ticket));
        }
        actions
    }

    fn first_token(&mut self, id: u64, _now: TimeMs) {
        if let Some(running) = self.running.get_mut(&id) {
            running.prefilling = false;
        }
    }

    fn finished(&mut self, finished: &Finished, _now: TimeMs) {
        self.preempted.remove(&finished.id);
        if let Some(running) = self.running.remove(&finished.id) {
            // A resumed request computes fewer tokens than its ticket states.
            if !running.resumed {
                self.speeds.finished(&running.ticket, finished);
            }
        }
    }

    fn withdraw(&mut self, id: u64) -> bool {
        self.preempted.remove(&id);
        let key = self.queue.find(id);
        key.and_then(|key| self.queue.remove(&key)).is_some()
    }

    fn expected_wait_ms(&self, priority: Priority, now: TimeMs) -> DurationMs {
        to_duration(self.wait_ms(priority, now))
    }

    fn load(&self) -> Load {
        Load {
            running: self.running.len() as u32,
            queued: self.queue.len() as u32,
            prefill_tokens_per_s: self.speeds.prefill(),
            decode_tokens_per_s: self.speeds.decode(),
        }
    }
}

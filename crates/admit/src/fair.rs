//! The gate of the product: urgent first, fair between organisations, early refusals.

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
use crate::queue::Place;
use crate::queue::Queue;
use crate::queue::Waiting;
use crate::slots::Slots;
use crate::speed::to_duration;
use crate::speed::Speeds;
use crate::ticket::Ticket;

/// Shortest time after which a refused caller is asked to come back.
const MIN_RETRY_AFTER: DurationMs = DurationMs(50);

/// Remaining time assumed for a request that has run longer than expected, as a share of its
/// expected time.
const OVERDUE_SHARE: f64 = 0.1;

/// Work of prompts below which more are started than the setting says. With 100 streams of short
/// prompts a limit by number alone raised the time of an answer from 212 ms to 500 ms.
const SMALL_PREFILLS_MS: f64 = 100.0;

/// Settings of [`Fair`].
#[derive(Builder, Clone, Debug)]
pub struct FairSettings {
    /// Most requests that run at once.
    pub max_running: u32,
    /// Most requests that wait.
    #[builder(default = 256)]
    pub max_queued: usize,
    /// Longest expected wait of a request in the queue.
    #[builder(default = DurationMs(60_000))]
    pub max_wait_ms: DurationMs,
    /// Declared prefill speed.
    pub prefill_tokens_per_s: TokensPerS,
    /// Declared decode speed of one stream.
    pub decode_tokens_per_s: TokensPerS,
    /// Cost of a token that may be generated, relative to a prompt token that must be computed.
    #[builder(default = 4.0)]
    pub decode_weight: f64,
    /// Most prompts that the upstream computes at once; urgent ones are not counted.
    ///
    /// An engine shares its prefill speed among all prompts of one priority, so many at once delay
    /// each other, and requests with the same new prefix would each compute it. With one the
    /// engine is idle while the agent imports pieces for the next prompt.
    #[builder(default = 2)]
    pub max_prefills: u32,
    /// Whether the upstream can cancel and resume, so that urgent work can pre-empt.
    #[builder(default = false)]
    pub preempts: bool,
}

/// A request that runs.
#[derive(Clone, Debug)]
struct Running {
    ticket: Ticket,
    started: TimeMs,
    /// Whether the upstream still computes the prompt.
    prefilling: bool,
    resumed: bool,
}

/// Admits requests by priority, fairness, worth and deadline.
#[derive(Clone, Debug)]
pub struct Fair {
    settings: FairSettings,
    speeds: Speeds,
    queue: Queue,
    running: BTreeMap<u64, Running>,
    /// Requests that were pre-empted and are not yet offered again.
    preempted: BTreeSet<u64>,
}

impl Fair {
    /// Creates an empty gate.
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

    fn slots(&self, now: TimeMs) -> Slots {
        let remaining = self.running.values().map(|running| {
            let expected = self.speeds.service_ms(&running.ticket);
            let elapsed = now.since(running.started).0 as f64;
            (expected - elapsed).max(expected * OVERDUE_SHARE)
        });
        Slots::new(self.settings.max_running as usize, remaining)
    }

    /// Returns the time until the upstream has computed the running prompts up to a priority.
    ///
    /// Engines give the prefill speed to the most urgent prompts first.
    fn prefill_ms(&self, priority: Priority, now: TimeMs) -> f64 {
        let ahead = self.running.values().filter(|running| running.prefilling);
        let ahead = ahead.filter(|running| running.ticket.priority <= priority);
        let remaining = ahead.map(|running| {
            let expected = self.speeds.first_token_ms(&running.ticket);
            let elapsed = now.since(running.started).0 as f64;
            (expected - elapsed).max(expected * OVERDUE_SHARE)
        });
        remaining.sum()
    }

    /// Returns the expected wait behind all requests up to a priority.
    fn wait_ms(&self, priority: Priority, now: TimeMs) -> f64 {
        let mut slots = self.slots(now);
        let mut prefill = self.prefill_ms(priority, now);
        for (_, waiting) in self.queue.iter().filter(|(place, _)| place.0 <= priority) {
            slots.take(self.speeds.service_ms(&waiting.ticket));
            prefill += self.speeds.first_token_ms(&waiting.ticket);
        }
        if priority == Priority::Urgent && self.victim(None).is_some() {
            return prefill;
        }
        slots.wait_ms().max(prefill)
    }

    fn refuse(&self, waiting: &Waiting, cause: Cause, now: TimeMs) -> Action {
        let wait = self.wait_ms(waiting.ticket.priority, now);
        Action::Refuse {
            id: waiting.ticket.id,
            cause,
            retry_after_ms: to_duration(wait).max(MIN_RETRY_AFTER),
        }
    }

    /// Returns the first request that cannot meet its deadline, and the longest wait.
    ///
    /// Requests that ran before are exempt from deadlines, because a refusal says "not run".
    fn project(&self, now: TimeMs) -> (Option<Place>, f64) {
        let mut slots = self.slots(now);
        let mut longest: f64 = 0.0;
        let mut preemptable = self.preemptable(None).count();
        let running = Priority::ALL.map(|priority| self.prefill_ms(priority, now));
        let mut queued = 0.0;
        for (place, waiting) in self.queue.iter() {
            let preempts = place.0 == Priority::Urgent && preemptable > 0;
            let slot = if preempts { 0.0 } else { slots.wait_ms() };
            preemptable = preemptable.saturating_sub(usize::from(preempts));
            let wait = slot.max(running[place.0.index()] + queued);
            let service = self.speeds.service_ms(&waiting.ticket);
            let left = waiting.ticket.deadline.since(now).0 as f64;
            if wait + service > left && !waiting.resumed {
                return (Some(*place), longest);
            }
            longest = longest.max(wait);
            queued += self.speeds.first_token_ms(&waiting.ticket);
            slots.take(service);
        }
        (None, longest)
    }

    /// Refuses the requests that cannot meet their deadlines.
    fn refuse_late(&mut self, now: TimeMs) -> Vec<Action> {
        let mut actions = Vec::new();
        while let (Some(place), _) = self.project(now) {
            if let Some(waiting) = self.queue.remove(&place) {
                actions.push(self.refuse(&waiting, Cause::DeadlineUnmeetable, now));
            }
        }
        actions
    }

    /// Refuses the least valuable requests until the queue is within its bounds.
    fn shed(&mut self, newcomer: Place, now: TimeMs) -> Vec<Action> {
        let mut actions = Vec::new();
        let max_wait = self.settings.max_wait_ms.0 as f64;
        while self.queue.len() > self.settings.max_queued || self.project(now).1 > max_wait {
            let Some(place) = self.least_valuable(newcomer.0) else {
                break;
            };
            if let Some(waiting) = self.queue.remove(&place) {
                actions.push(self.refuse(&waiting, Cause::QueueFull, now));
            }
            if place == newcomer {
                break;
            }
        }
        actions
    }

    /// Returns the request with the lowest worth per cost whose priority is `highest` or lower.
    fn least_valuable(&self, highest: Priority) -> Option<Place> {
        let value = |waiting: &Waiting| waiting.ticket.worth.get() / waiting.cost;
        self.queue
            .iter()
            .rev()
            .filter(|(place, waiting)| place.0 >= highest && !waiting.resumed)
            .min_by(|a, b| value(a.1).total_cmp(&value(b.1)))
            .map(|(place, _)| *place)
    }

    fn preemptable<'a>(
        &'a self,
        except: Option<&'a BTreeSet<u64>>,
    ) -> impl Iterator<Item = &'a Running> {
        self.running.values().filter(move |running| {
            let ticket = &running.ticket;
            // A request is pre-empted once at most, so that it ends some day.
            self.settings.preempts
                && ticket.priority != Priority::Urgent
                && ticket.repeatable
                && !running.resumed
                && except.is_none_or(|ids| !ids.contains(&ticket.id))
        })
    }

    /// Returns the running request to pre-empt: the lowest priority, then the newest.
    fn victim(&self, except: Option<&BTreeSet<u64>>) -> Option<u64> {
        self.preemptable(except)
            .max_by_key(|running| (running.ticket.priority, running.started, running.ticket.id))
            .map(|running| running.ticket.id)
    }

    /// Returns whether the first request may be sent although prompts are being computed.
    fn prefill_has_room(&self) -> bool {
        let first = self.queue.iter().next();
        let Some((place, waiting)) = first else {
            return false;
        };
        let free = waiting.ticket.uncached_tokens.0 == 0;
        let urgent = place.0 == Priority::Urgent;
        let prefilling = self.running.values().filter(|running| running.prefilling);
        let prefilling = prefilling.filter(|running| running.ticket.priority >= place.0);
        let (count, work_ms) = prefilling.fold((0, 0.0), |(count, work_ms), running| {
            (count + 1, work_ms + self.speeds.compute_ms(&running.ticket))
        });
        free || urgent || count < self.settings.max_prefills || work_ms < SMALL_PREFILLS_MS
    }

    /// Makes room for the first request if it is urgent.
    fn preempt(&mut self) -> Option<Action> {
        let urgent = self.queue.iter().next()?.0 .0 == Priority::Urgent;
        let id = urgent.then(|| self.victim(None)).flatten()?;
        self.running.remove(&id);
        self.preempted.insert(id);
        Some(Action::Preempt { id })
    }
}

impl Gate for Fair {
    fn offer(&mut self, ticket: Ticket, now: TimeMs) -> Vec<Action> {
        let resumed = self.preempted.remove(&ticket.id);
        let cost = self.cost(&ticket);
        let place = self.queue.push(ticket, cost, resumed);
        let mut actions = self.refuse_late(now);
        actions.extend(self.shed(place, now));
        actions
    }

    fn next(&mut self, now: TimeMs) -> Vec<Action> {
        let mut actions = self.refuse_late(now);
        while self.prefill_has_room() {
            if self.running.len() >= self.settings.max_running as usize {
                let Some(preempt) = self.preempt() else {
                    break;
                };
                actions.push(preempt);
            }
            let Some(waiting) = self.queue.pop() else {
                break;
            };
            let running = Running {
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
            // A request that ran before computes less than its ticket says.
            if !running.resumed {
                self.speeds.finished(&running.ticket, finished);
            }
        }
    }

    fn withdraw(&mut self, id: u64) -> bool {
        self.preempted.remove(&id);
        let place = self.queue.find(id);
        place.and_then(|place| self.queue.remove(&place)).is_some()
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

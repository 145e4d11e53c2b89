//! Priority queue with start-time fair queueing between organisations within each priority.

use std::collections::BTreeMap;
use std::collections::HashMap;

use dw_base::OrgId;
use dw_base::Priority;

use crate::ticket::Ticket;

/// Number of tracked organisations above which those with an outdated finish tag are removed.
const MAX_ORGS: usize = 256;

/// Lower bound for the share of an organisation, so that tags stay finite.
const MIN_SHARE: f64 = 1e-6;

/// Sort key in the queue: priority, start tag as bits, request id.
///
/// The bit patterns of non-negative floats sort in the same order as the floats.
pub(crate) type QueueKey = (Priority, u64, u64);

/// A request in the queue.
#[derive(Clone, Debug)]
pub(crate) struct QueuedRequest {
    /// Ticket of the request.
    pub(crate) ticket: Ticket,
    /// Cost in units of one uncached prompt token.
    pub(crate) cost: f64,
    /// Whether it was pre-empted; such a request is never refused.
    pub(crate) resumed: bool,
    finish_tag: f64,
}

/// Fair queueing state of one priority.
#[derive(Clone, Debug, Default)]
struct FairState {
    virtual_time: f64,
    finish_tags: HashMap<OrgId, f64>,
}

/// Queued requests, in the order in which they are to start.
#[derive(Clone, Debug, Default)]
pub(crate) struct Queue {
    waiting: BTreeMap<QueueKey, QueuedRequest>,
    priorities: [FairState; 3],
}

impl Queue {
    /// Adds a request and returns its key.
    pub(crate) fn push(&mut self, ticket: Ticket, cost: f64, resumed: bool) -> QueueKey {
        let state = &mut self.priorities[ticket.priority.index()];
        let last_finish = state.finish_tags.get(&ticket.org).copied().unwrap_or(0.0);
        let start = last_finish.max(state.virtual_time);
        let finish_tag = start + cost / ticket.share.max(MIN_SHARE);
        state.finish_tags.insert(ticket.org.clone(), finish_tag);
        let key = (ticket.priority, start.to_bits(), ticket.id);
        let waiting = QueuedRequest {
            ticket,
            cost,
            resumed,
            finish_tag,
        };
        self.waiting.insert(key, waiting);
        key
    }

    /// Removes and returns the first request, and advances the virtual time of its priority.
    pub(crate) fn pop(&mut self) -> Option<QueuedRequest> {
        let ((priority, start, _), waiting) = self.waiting.pop_first()?;
        let state = &mut self.priorities[priority.index()];
        state.virtual_time = f64::from_bits(start);
        if state.finish_tags.len() > MAX_ORGS {
            let now = state.virtual_time;
            state.finish_tags.retain(|_, tag| *tag > now);
        }
        Some(waiting)
    }

    /// Removes a request without running it.
    ///
    /// If it was the latest request of its organisation, its cost is no longer charged to the
    /// organisation.
    pub(crate) fn remove(&mut self, key: &QueueKey) -> Option<QueuedRequest> {
        let waiting = self.waiting.remove(key)?;
        let state = &mut self.priorities[key.0.index()];
        if let Some(last_tag) = state.finish_tags.get_mut(&waiting.ticket.org) {
            if *last_tag == waiting.finish_tag {
                *last_tag = f64::from_bits(key.1);
            }
        }
        Some(waiting)
    }

    /// Returns the key of a request.
    pub(crate) fn find(&self, id: u64) -> Option<QueueKey> {
        self.waiting.keys().find(|key| key.2 == id).copied()
    }

    /// Iterates over the requests in the order in which they are to start.
    pub(crate) fn iter(&self) -> impl DoubleEndedIterator<Item = (&QueueKey, &QueuedRequest)> {
        self.waiting.iter()
    }

    /// Returns the number of queued requests.
    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }
}

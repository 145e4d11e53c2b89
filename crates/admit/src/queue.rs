//! Queue in start-time fair order within each priority.

use std::collections::BTreeMap;
use std::collections::HashMap;

use dw_base::OrgId;
use dw_base::Priority;

use crate::ticket::Ticket;

/// Organisations kept before those without effect are dropped.
const MAX_ORGS: usize = 256;

/// Lowest share of an organisation, so that tags stay finite.
const MIN_SHARE: f64 = 1e-6;

/// Position in the queue: priority, start tag, number.
///
/// The bits of a float that is not negative order like the float.
pub(crate) type Place = (Priority, u64, u64);

/// A request that waits.
#[derive(Clone, Debug)]
pub(crate) struct Waiting {
    /// The request.
    pub(crate) ticket: Ticket,
    /// Cost in tokens.
    pub(crate) cost: f64,
    /// Whether it ran before; such a request is no longer refused.
    pub(crate) resumed: bool,
    finish_tag: f64,
}

/// Tags of one priority.
#[derive(Clone, Debug, Default)]
struct Tags {
    virtual_time: f64,
    finish: HashMap<OrgId, f64>,
}

/// Requests that wait, in the order in which they start.
#[derive(Clone, Debug, Default)]
pub(crate) struct Queue {
    waiting: BTreeMap<Place, Waiting>,
    tags: [Tags; 3],
}

impl Queue {
    /// Adds a request and returns its place.
    pub(crate) fn push(&mut self, ticket: Ticket, cost: f64, resumed: bool) -> Place {
        let tags = &mut self.tags[ticket.priority.index()];
        let last = tags.finish.get(&ticket.org).copied().unwrap_or(0.0);
        let start = last.max(tags.virtual_time);
        let finish_tag = start + cost / ticket.share.max(MIN_SHARE);
        tags.finish.insert(ticket.org.clone(), finish_tag);
        let place = (ticket.priority, start.to_bits(), ticket.id);
        let waiting = Waiting {
            ticket,
            cost,
            resumed,
            finish_tag,
        };
        self.waiting.insert(place, waiting);
        place
    }

    /// Takes the first request, and advances the virtual time of its priority.
    pub(crate) fn pop(&mut self) -> Option<Waiting> {
        let ((priority, start, _), waiting) = self.waiting.pop_first()?;
        let tags = &mut self.tags[priority.index()];
        tags.virtual_time = f64::from_bits(start);
        if tags.finish.len() > MAX_ORGS {
            let now = tags.virtual_time;
            tags.finish.retain(|_, finish| *finish > now);
        }
        Some(waiting)
    }

    /// Removes a request without running it.
    ///
    /// If it was the last of its organisation, its cost is given back.
    pub(crate) fn remove(&mut self, place: &Place) -> Option<Waiting> {
        let waiting = self.waiting.remove(place)?;
        let tags = &mut self.tags[place.0.index()];
        if let Some(finish) = tags.finish.get_mut(&waiting.ticket.org) {
            if *finish == waiting.finish_tag {
                *finish = f64::from_bits(place.1);
            }
        }
        Some(waiting)
    }

    /// Returns the place of a request.
    pub(crate) fn find(&self, id: u64) -> Option<Place> {
        self.waiting.keys().find(|place| place.2 == id).copied()
    }

    /// Returns the requests in the order in which they start.
    pub(crate) fn iter(&self) -> impl DoubleEndedIterator<Item = (&Place, &Waiting)> {
        self.waiting.iter()
    }

    /// Returns the number of requests.
    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }
}

//! Send times of first tokens.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Instant;

/// Number of generations whose send time is kept.
const MAX_ENTRIES: usize = 4_096;

/// Times at which the first tokens of the most recent generations were passed to their connections.
#[derive(Debug, Default)]
pub(crate) struct FirstTokenLog {
    entries: Mutex<VecDeque<(String, Instant)>>,
}

impl FirstTokenLog {
    pub(crate) fn record(&self, request_id: &str) {
        let now = Instant::now();
        let mut entries = self.entries();
        if entries.len() >= MAX_ENTRIES {
            entries.pop_front();
        }
        entries.push_back((request_id.to_owned(), now));
    }

    pub(crate) fn sent_at(&self, request_id: &str) -> Option<Instant> {
        let entries = self.entries();
        let found = entries.iter().rev().find(|(id, _)| id == request_id);
        found.map(|(_, at)| *at)
    }

    fn entries(&self) -> MutexGuard<'_, VecDeque<(String, Instant)>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

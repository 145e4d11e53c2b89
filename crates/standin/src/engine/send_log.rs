//! When the first tokens of generations were sent.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Instant;

/// Generations that are remembered.
const MAX_ENTRIES: usize = 4_096;

/// Times at which the first tokens of the newest generations were handed to their connections.
#[derive(Debug, Default)]
pub(crate) struct SendLog {
    entries: Mutex<VecDeque<(String, Instant)>>,
}

impl SendLog {
    pub(crate) fn record(&self, request_id: &str) {
        let now = Instant::now();
        let mut entries = self.entries();
        if entries.len() >= MAX_ENTRIES {
            entries.pop_front();
        }
        entries.push_back((request_id.to_owned(), now));
    }

    pub(crate) fn first_token(&self, request_id: &str) -> Option<Instant> {
        let entries = self.entries();
        let found = entries.iter().rev().find(|(id, _)| id == request_id);
        found.map(|(_, at)| *at)
    }

    fn entries(&self) -> MutexGuard<'_, VecDeque<(String, Instant)>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

//! Memory of all answers that are kept for resuming.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::Weak;

use dw_stream::Retention;

use crate::live::Live;
use crate::shared::lock;

#[derive(Debug)]
struct State {
    retention: Retention,
    answers: HashMap<u64, Weak<Live>>,
}

/// Account of the memory of all answers.
#[derive(Debug)]
pub(crate) struct Memory {
    state: Mutex<State>,
}

impl Memory {
    pub(crate) fn new(limit_bytes: usize) -> Self {
        Memory {
            state: Mutex::new(State {
                retention: Retention::new(limit_bytes),
                answers: HashMap::new(),
            }),
        }
    }

    /// Adds an answer, which `Weak` will lead to, and returns its number.
    pub(crate) fn open(&self, answer: Weak<Live>) -> u64 {
        let mut state = lock(&self.state);
        let number = state.retention.open();
        state.answers.insert(number, answer);
        number
    }

    /// Notes the size of an answer and returns by how much it must shrink.
    ///
    /// Finished answers are dropped first. A running answer shrinks only when none is left.
    pub(crate) fn resize(&self, answer: u64, size_bytes: usize) -> usize {
        let mut state = lock(&self.state);
        state.retention.resize(answer, size_bytes);
        let excess = state.retention.excess();
        let dropped: Vec<Arc<Live>> = excess
            .iter()
            .filter_map(|number| state.answers.remove(number)?.upgrade())
            .collect();
        let overrun = state.retention.overrun_bytes();
        drop(state);
        for answer in dropped {
            answer.discard();
        }
        overrun
    }

    /// Notes that an answer is complete.
    pub(crate) fn finish(&self, answer: u64) {
        lock(&self.state).retention.finish(answer);
    }

    /// Removes an answer.
    pub(crate) fn close(&self, answer: u64) {
        let mut state = lock(&self.state);
        state.retention.close(answer);
        state.answers.remove(&answer);
    }

    /// Returns the size of all answers.
    pub(crate) fn total_bytes(&self) -> usize {
        lock(&self.state).retention.total_bytes()
    }
}

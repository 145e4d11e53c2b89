//! State of one node.

use dw_base::DurationMs;
use dw_base::Incarnation;
use dw_base::TimeMs;

/// First and greatest time between probes of a suspect node.
const PROBE_MS: (u64, u64) = (100, 2_000);

/// State of a node.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// It receives work.
    Live,
    /// A connection failed; it receives probes only.
    Suspect,
    /// It finishes what it has and receives no new work.
    Leaving,
}

/// What is known of one node.
#[derive(Clone, Debug)]
pub(crate) struct Node {
    pub(crate) state: State,
    pub(crate) incarnation: Option<Incarnation>,
    /// When the node itself last gave a sign.
    pub(crate) evidence: Option<TimeMs>,
    probe_at: TimeMs,
    probe_wait: DurationMs,
}

impl Node {
    /// Creates a node that is known from the list only.
    pub(crate) fn new(now: TimeMs) -> Self {
        Node {
            state: State::Live,
            incarnation: None,
            evidence: None,
            probe_at: now,
            probe_wait: DurationMs(PROBE_MS.0),
        }
    }

    /// Takes in a sign of an incarnation; older incarnations are ignored.
    pub(crate) fn sign(&mut self, incarnation: Incarnation, leaving: bool, now: TimeMs) {
        if self.incarnation.is_some_and(|known| known > incarnation) {
            return;
        }
        let newer = self.incarnation != Some(incarnation);
        let final_notice = self.state == State::Leaving && !newer;
        self.incarnation = Some(incarnation);
        self.evidence = Some(now);
        self.state = match leaving || final_notice {
            true => State::Leaving,
            false => State::Live,
        };
        self.probe_wait = DurationMs(PROBE_MS.0);
    }

    /// Takes in a failed connection.
    pub(crate) fn failed(&mut self, now: TimeMs) {
        if self.state == State::Live {
            self.state = State::Suspect;
            self.probe_wait = DurationMs(PROBE_MS.0);
            self.probe_at = now + self.probe_wait;
        }
    }

    /// Returns whether a probe is due.
    pub(crate) fn probe_due(&self, now: TimeMs) -> bool {
        self.state == State::Suspect && now >= self.probe_at
    }

    /// Returns whether a probe is due, and schedules the next one.
    pub(crate) fn probe(&mut self, now: TimeMs) -> bool {
        let due = self.probe_due(now);
        if due {
            self.probe_wait = DurationMs((self.probe_wait.0 * 2).min(PROBE_MS.1));
            self.probe_at = now + self.probe_wait;
        }
        due
    }
}

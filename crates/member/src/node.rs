//! State of one node.

use dw_base::DurationMs;
use dw_base::Incarnation;
use dw_base::TimeMs;

/// First and longest pause between probes of a suspect node.
const PROBE_BACKOFF_MS: (u64, u64) = (100, 2_000);

/// State of a node.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// The node receives work.
    Live,
    /// A connection failed; the node receives probes only.
    Suspect,
    /// The node finishes its running work and receives no new work.
    Leaving,
}

/// State of a node and of the probes that it gets.
#[derive(Clone, Debug)]
pub(crate) struct Node {
    pub(crate) state: State,
    pub(crate) incarnation: Option<Incarnation>,
    /// When the node last responded, sent a heartbeat or announced that it is leaving.
    pub(crate) responded_at: Option<TimeMs>,
    probe_at: TimeMs,
    probe_pause_ms: DurationMs,
}

impl Node {
    /// Creates a node that is known from the VM list only.
    pub(crate) fn new(now: TimeMs) -> Self {
        Node {
            state: State::Live,
            incarnation: None,
            responded_at: None,
            probe_at: now,
            probe_pause_ms: DurationMs(PROBE_BACKOFF_MS.0),
        }
    }

    /// Records a response of an incarnation; responses of older incarnations are ignored.
    pub(crate) fn record_response(&mut self, incarnation: Incarnation, leaving: bool, now: TimeMs) {
        if self.incarnation.is_some_and(|known| known > incarnation) {
            return;
        }
        let is_new_incarnation = self.incarnation != Some(incarnation);
        let was_leaving = self.state == State::Leaving && !is_new_incarnation;
        self.incarnation = Some(incarnation);
        self.responded_at = Some(now);
        self.state = match leaving || was_leaving {
            true => State::Leaving,
            false => State::Live,
        };
        self.probe_pause_ms = DurationMs(PROBE_BACKOFF_MS.0);
    }

    /// Records a failed connection.
    pub(crate) fn record_failure(&mut self, now: TimeMs) {
        if self.state == State::Live {
            self.state = State::Suspect;
            self.probe_pause_ms = DurationMs(PROBE_BACKOFF_MS.0);
            self.probe_at = now + self.probe_pause_ms;
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
            self.probe_pause_ms = DurationMs((self.probe_pause_ms.0 * 2).min(PROBE_BACKOFF_MS.1));
            self.probe_at = now + self.probe_pause_ms;
        }
        due
    }
}

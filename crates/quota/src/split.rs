//! Part of a quota that processes grant which hear only some of the others.
//!
//! Load pattern: organisations send several times their quotas while the network is split, and on each side
//! a process counts that does not hear the other side.

use dw_base::DurationMs;
use dw_base::TimeMs;

use crate::requester::ISOLATED_FRACTION;

/// Part of the registered processes above which a side grants whole quotas: a quarter of the processes that
/// end, freeze or are cut off with their engines costs the organisations nothing.
const WHOLE_ABOVE: f64 = 2.0 / 3.0;

/// Part of the registered processes below which a side grants what isolated routers use, as the other side
/// may grant whole quotas. The last of three processes grants its third.
const ISOLATED_BELOW: f64 = 1.0 / 3.0;

/// Time for which processes must be missing before a smaller part is granted. A process on the other side
/// begins to count later than this.
const CONFIRM_MS: DurationMs = DurationMs(500);

/// Returns the part of each quota that the processes of one side grant together.
///
/// Over all sides the parts add up to one and [`ISOLATED_FRACTION`] of what is missing there at most.
pub fn granted_part(live: usize, registered: usize) -> f64 {
    let registered = live.max(registered).max(1);
    let part = live as f64 / registered as f64;
    if part > WHOLE_ABOVE {
        1.0
    } else if part < ISOLATED_BELOW {
        part * ISOLATED_FRACTION
    } else {
        part
    }
}

/// Part of each quota that one process grants, which falls only once others have been missing for a while.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GrantedPart {
    part: f64,
    lower_since: Option<TimeMs>,
}

impl Default for GrantedPart {
    fn default() -> Self {
        GrantedPart {
            part: 1.0,
            lower_since: None,
        }
    }
}

impl GrantedPart {
    /// Takes note of the live processes and of the registered ones.
    pub(crate) fn update(&mut self, live: usize, registered: usize, now: TimeMs) {
        let part = granted_part(live, registered);
        if part >= self.part {
            *self = GrantedPart {
                part,
                lower_since: None,
            };
            return;
        }
        let since = *self.lower_since.get_or_insert(now);
        if now.since(since) >= CONFIRM_MS {
            self.part = part;
        }
    }

    /// Returns the part.
    pub(crate) fn get(self) -> f64 {
        self.part
    }
}

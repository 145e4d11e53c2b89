//! Part of a quota that processes grant which hear only some of the others.
//!
//! Load pattern: organisations send several times their quotas while the network is split, and on each side
//! a process counts that does not hear the other side.

use crate::requester::ISOLATED_FRACTION;

/// Part of the registered processes from which a side grants whole quotas: single processes that end, freeze
/// or are cut off cost the organisations nothing.
const WHOLE_FROM: f64 = 0.75;

/// Part of the registered processes below which a side grants what isolated routers use; the other side may
/// grant whole quotas.
const ISOLATED_BELOW: f64 = 0.25;

/// Returns the part of each quota that the processes of one side grant together.
///
/// Over all sides the parts add up to one and [`ISOLATED_FRACTION`] of what is missing there at most.
pub fn granted_part(live: usize, registered: usize) -> f64 {
    let part = live as f64 / live.max(registered).max(1) as f64;
    if part >= WHOLE_FROM {
        1.0
    } else if part <= ISOLATED_BELOW {
        part * ISOLATED_FRACTION
    } else {
        part
    }
}

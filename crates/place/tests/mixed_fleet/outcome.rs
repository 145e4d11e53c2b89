//! Loads of the fleet and what came of them.

use std::fmt;

/// A kind of prompt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Kind {
    Short,
    Long,
}

/// Load and faults of one run; rates are prompts a second.
#[derive(Clone, Debug)]
pub(crate) struct Scenario {
    /// Factors of the speed, by turns.
    pub(crate) speeds: [f64; 3],
    pub(crate) short_per_s: f64,
    pub(crate) long_per_s: f64,
    /// Factor of the rate of long prompts during the wave.
    pub(crate) wave: f64,
    /// Engine that is lost on the way.
    pub(crate) lost: Option<usize>,
    /// Whether engines slow 2.5 times for 600 ms now and then.
    pub(crate) is_noisy: bool,
}

/// Returns a load that keeps equal engines busy most of the time.
pub(crate) fn scenario() -> Scenario {
    Scenario {
        speeds: [1.0; 3],
        short_per_s: 360.0,
        long_per_s: 75.0,
        wave: 1.0,
        lost: None,
        is_noisy: false,
    }
}

/// Requests of one kind, by outcome.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Served {
    pub(crate) asked: u32,
    pub(crate) in_aim: u32,
    /// Answered after callers have given up.
    pub(crate) given_up: u32,
}

impl Served {
    pub(crate) fn fraction(self) -> f64 {
        f64::from(self.in_aim) / f64::from(self.asked.max(1))
    }
}

/// Result of a run.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) short: Served,
    pub(crate) long: Served,
    pub(crate) read_again_tokens: u64,
}

impl Outcome {
    pub(super) fn of(&mut self, kind: Kind) -> &mut Served {
        match kind {
            Kind::Short => &mut self.short,
            Kind::Long => &mut self.long,
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Outcome {
            short,
            long,
            read_again_tokens,
        } = self;
        let given_up = long.given_up;
        let (short, long) = (short.fraction(), long.fraction());
        write!(
            f,
            "in aim: short {short:.3}, long {long:.3}, {given_up} given up; {read_again_tokens} tokens again"
        )
    }
}

//! Prompt tokens that wait at an engine, by priority.
//!
//! Load pattern: urgent requests beside less urgent ones in an overload. The engine computes the urgent
//! ones first, so they wait only for their like.

use dw_base::DurationMs;

/// Number of priorities; 0 is computed first.
pub(crate) const PRIORITIES: usize = 10;

/// Time constant with which earlier admissions count less in the mix of priorities.
const MIX_DECAY_MS: f64 = 2_000.0;

/// Lowest speed, in tokens per millisecond, so that a wrong value ends no engine's service.
const MIN_TOKENS_PER_MS: f64 = 1.0;

/// Weight of the newest value in the moving average of the speed.
const SPEED_SMOOTHING: f64 = 0.2;

/// Prompt tokens that are admitted and not computed yet.
#[derive(Clone, Debug, Default)]
pub(crate) struct Backlog {
    tokens: [f64; PRIORITIES],
    /// Tokens admitted lately, with which work of unknown priority is distributed.
    mix: [f64; PRIORITIES],
    /// Unknown until a router has told it; nothing is in the backlog before.
    tokens_per_ms: Option<f64>,
}

/// Returns the index of a priority.
fn index(priority: u8) -> usize {
    usize::from(priority).min(PRIORITIES - 1)
}

impl Backlog {
    /// Takes in a speed that a router has told.
    pub(crate) fn update_speed(&mut self, tokens_per_ms: f64) {
        let told = tokens_per_ms.max(MIN_TOKENS_PER_MS);
        let speed = self.tokens_per_ms.unwrap_or(told);
        self.tokens_per_ms = Some(speed + SPEED_SMOOTHING * (told - speed));
    }

    /// Removes what the engine has computed in the meantime, the most urgent work first.
    pub(crate) fn drain(&mut self, elapsed_ms: DurationMs) {
        let mut computed = elapsed_ms.0 as f64 * self.speed();
        for tokens in &mut self.tokens {
            let done = tokens.min(computed);
            *tokens -= done;
            computed -= done;
        }
        let decay = (-(elapsed_ms.0 as f64) / MIX_DECAY_MS).exp();
        for tokens in &mut self.mix {
            *tokens *= decay;
        }
    }

    /// Adds an admitted request.
    pub(crate) fn add(&mut self, priority: u8, tokens: f64) {
        self.tokens[index(priority)] += tokens;
        self.mix[index(priority)] += tokens;
    }

    /// Removes a request that was added and is not sent, as far as its tokens are still there.
    pub(crate) fn remove(&mut self, priority: u8, tokens: f64) {
        for amounts in [&mut self.tokens, &mut self.mix] {
            let amount = &mut amounts[index(priority)];
            *amount = (*amount - tokens).max(0.0);
        }
    }

    /// Raises the sum of all tokens to at least `least`, since routers or the engine know of work that
    /// nobody asked for. Such work has the priorities of what was admitted lately, or else that of the
    /// request at hand.
    pub(crate) fn raise_to(&mut self, least: f64, priority: u8) {
        let unknown = least - self.total();
        if unknown <= 0.0 {
            return;
        }
        let mix: f64 = self.mix.iter().sum();
        if mix < 1.0 {
            self.tokens[index(priority)] += unknown;
            return;
        }
        for (tokens, part) in self.tokens.iter_mut().zip(self.mix) {
            *tokens += unknown * part / mix;
        }
    }

    /// Lowers the sum of all tokens to at most `most`.
    pub(crate) fn lower_to(&mut self, most: f64) {
        let total = self.total();
        if total > most {
            for tokens in &mut self.tokens {
                *tokens *= most / total;
            }
        }
    }

    fn speed(&self) -> f64 {
        self.tokens_per_ms.unwrap_or(MIN_TOKENS_PER_MS)
    }

    /// Returns the sum of all tokens.
    pub(crate) fn total(&self) -> f64 {
        self.tokens.iter().sum()
    }

    /// Returns the time to compute all tokens.
    pub(crate) fn total_ms(&self) -> f64 {
        self.total() / self.speed()
    }

    /// Returns the time to compute what is at least as urgent as a priority.
    pub(crate) fn wait_ms(&self, priority: u8) -> f64 {
        let ahead: f64 = self.tokens[..=index(priority)].iter().sum();
        ahead / self.speed()
    }
}

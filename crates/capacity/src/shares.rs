//! Shares of organisations in what an engine admits.
//!
//! Load pattern: a hot organisation beside many small ones. It may take what others leave, and the others
//! keep theirs.

use std::collections::HashMap;

use dw_base::DurationMs;
use dw_base::OrgId;
use dw_base::TimeMs;

/// Time constant with which earlier admissions of an organisation count less.
const DECAY_MS: f64 = 2_000.0;

/// Interval at which organisations without recent admissions are removed.
const PRUNE_INTERVAL_MS: DurationMs = DurationMs(1_000);

/// Decayed tokens below which an organisation counts as absent.
const MIN_TOKENS: f64 = 32.0;

/// Factor that keeps a single organisation from being above its share by rounding.
const ROUNDING: f64 = 1.001;

#[derive(Clone, Copy, Debug)]
struct Usage {
    tokens: f64,
    at: TimeMs,
}

impl Usage {
    fn at(self, now: TimeMs) -> f64 {
        self.tokens * (-(now.since(self.at).0 as f64) / DECAY_MS).exp()
    }
}

/// Tokens admitted lately for each organisation. Requests without one count as one organisation.
#[derive(Clone, Debug, Default)]
pub(crate) struct Shares {
    usages: HashMap<Option<OrgId>, Usage>,
    total: f64,
    total_at: TimeMs,
    pruned_at: TimeMs,
}

impl Shares {
    /// Returns whether an organisation has had more than an equal share of the recent admissions.
    pub(crate) fn is_above(&self, org: &Option<OrgId>, now: TimeMs) -> bool {
        let Some(usage) = self.usages.get(org) else {
            return false;
        };
        let total = Usage {
            tokens: self.total,
            at: self.total_at,
        };
        usage.at(now) * self.usages.len() as f64 > total.at(now) * ROUNDING
    }

    /// Records an admission, or with negative tokens one that is given back.
    pub(crate) fn record(&mut self, org: &Option<OrgId>, tokens: f64, now: TimeMs) {
        let total = Usage {
            tokens: self.total,
            at: self.total_at,
        };
        self.total = (total.at(now) + tokens).max(0.0);
        self.total_at = now;
        match self.usages.get_mut(org) {
            Some(usage) => {
                *usage = Usage {
                    tokens: (usage.at(now) + tokens).max(0.0),
                    at: now,
                };
            }
            None if tokens <= 0.0 => {}
            None => {
                let usage = Usage { tokens, at: now };
                self.usages.insert(org.clone(), usage);
            }
        }
        self.prune(now);
    }

    /// Returns the number of organisations with recent admissions.
    pub(crate) fn len(&self) -> usize {
        self.usages.len()
    }

    fn prune(&mut self, now: TimeMs) {
        if now.since(self.pruned_at) < PRUNE_INTERVAL_MS {
            return;
        }
        self.pruned_at = now;
        self.usages.retain(|_, usage| usage.at(now) >= MIN_TOKENS);
        self.total = self.usages.values().map(|usage| usage.at(now)).sum();
        self.total_at = now;
    }
}

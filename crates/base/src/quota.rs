//! Quotas of organisations.

use std::fmt;
use std::fmt::Display;
use std::fmt::Formatter;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

use crate::id::ConfigVersion;
use crate::number::ParseNumberError;

/// What a quota counts.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum QuotaUnit {
    /// Each request counts one.
    #[default]
    Requests,
    /// A request counts its prompt tokens and the most tokens of its answer.
    Tokens,
}

/// Amount of a quota, in its unit.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct QuotaAmount(pub u64);

impl Display for QuotaAmount {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for QuotaAmount {
    type Err = ParseNumberError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse()
            .map(QuotaAmount)
            .map_err(|_| ParseNumberError::new(text, "a whole number"))
    }
}

/// Rate of a quota, in thousandths of its unit per second.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct QuotaRate(pub u64);

impl QuotaRate {
    /// Returns the rate for a number of units per second, rounded down.
    pub fn from_per_s(per_s: f64) -> Self {
        QuotaRate((per_s * 1_000.0) as u64)
    }

    /// Returns the rate in units per second.
    pub fn per_s(self) -> f64 {
        self.0 as f64 / 1_000.0
    }
}

impl Display for QuotaRate {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.per_s())
    }
}

impl FromStr for QuotaRate {
    type Err = ParseNumberError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let digits = text.strip_suffix("/s").unwrap_or(text);
        let per_s: Option<f64> = digits.parse().ok();
        let is_rate = |per_s: &f64| per_s.is_finite() && *per_s >= 0.0;
        let per_s = per_s.filter(is_rate);
        per_s
            .map(QuotaRate::from_per_s)
            .ok_or_else(|| ParseNumberError::new(text, "a number, optionally followed by /s"))
    }
}

/// Rate and burst of a quota, of one version of the configuration.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct QuotaLimit {
    /// Version of the configuration that holds it.
    pub version: ConfigVersion,
    /// Rate that all routers together may use.
    pub rate: QuotaRate,
    /// Amount that may be saved up and used at once.
    pub burst: QuotaAmount,
}

//! Service mixes of the two example deployments.

use std::fmt;
use std::str::FromStr;

use dw_base::DurationMs;
use dw_base::Priority;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::prompt::LevelSizes;

/// Example deployment that load can be generated for.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Deployment {
    /// Business for balloon arches.
    Division,
    /// Boarding house for tortoises.
    Letargo,
}

/// Error for an unknown deployment name.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("deployment {0:?} does not exist: use division or letargo")]
pub struct ParseDeploymentError(String);

impl fmt::Display for Deployment {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Deployment::Division => "division",
            Deployment::Letargo => "letargo",
        })
    }
}

impl FromStr for Deployment {
    type Err = ParseDeploymentError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        [Deployment::Division, Deployment::Letargo]
            .into_iter()
            .find(|deployment| deployment.to_string() == text)
            .ok_or_else(|| ParseDeploymentError(text.to_owned()))
    }
}

/// Kind of request that a service sends, with its parameters.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Target {
    /// Text generation by a model.
    Generate {
        /// Name of the model.
        model: &'static str,
        /// Length of each shared prefix level of the prompt.
        levels: LevelSizes,
        /// Tokens of request-specific text after the shared prefix.
        suffix_tokens: u64,
        /// Maximum number of tokens to generate.
        max_tokens: u64,
    },
    /// Call of a plain service.
    Call {
        /// Whether a call must run at most once and therefore carries an idempotency key.
        at_most_once: bool,
    },
}

/// Load parameters of one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceLoad {
    /// Name of the service.
    pub service: &'static str,
    /// Share of all arrivals.
    pub share: f64,
    /// Priority.
    pub priority: Priority,
    /// Worth (business value) of one request that is answered before its deadline.
    pub worth: f64,
    /// Time limit for the complete response, from the scheduled sending time.
    pub deadline: DurationMs,
    /// Kind of request.
    pub target: Target,
}

/// Returns the names of the organisations, in descending order of their load.
pub fn organisations() -> Vec<String> {
    (1..=8).map(|number| format!("org-{number}")).collect()
}

fn generate(
    model: &'static str,
    levels: [usize; 3],
    suffix_tokens: u64,
    max_tokens: u64,
) -> Target {
    let [catalogue, venue, client] = levels;
    Target::Generate {
        model,
        levels: LevelSizes {
            catalogue,
            venue,
            client,
        },
        suffix_tokens,
        max_tokens,
    }
}

const AT_MOST_ONCE_CALL: Target = Target::Call { at_most_once: true };

const REPEATABLE_CALL: Target = Target::Call {
    at_most_once: false,
};

type ServiceRow = (&'static str, f64, Priority, f64, u64, Target);

fn service_rows(deployment: Deployment) -> Vec<ServiceRow> {
    use Priority::Batch;
    use Priority::Normal;
    use Priority::Urgent;
    match deployment {
        Deployment::Division => vec![
            (
                "quote",
                0.45,
                Normal,
                10.0,
                15_000,
                generate("quote-writer", [4, 2, 1], 200, 120),
            ),
            (
                "classify",
                0.25,
                Normal,
                2.0,
                3_000,
                generate("order-desk", [1, 0, 0], 80, 4),
            ),
            ("deposit", 0.05, Normal, 20.0, 5_000, AT_MOST_ONCE_CALL),
            ("booking", 0.10, Normal, 15.0, 5_000, AT_MOST_ONCE_CALL),
            ("order-status", 0.15, Normal, 1.0, 2_000, REPEATABLE_CALL),
        ],
        Deployment::Letargo => vec![
            (
                "summary",
                0.35,
                Batch,
                4.0,
                30_000,
                generate("care-note", [3, 2, 2], 200, 150),
            ),
            (
                "intake",
                0.05,
                Normal,
                3.0,
                5_000,
                generate("booking-app", [1, 1, 0], 100, 20),
            ),
            (
                "flag",
                0.30,
                Urgent,
                20.0,
                3_000,
                generate("care-note", [3, 1, 0], 60, 8),
            ),
            ("booking", 0.08, Normal, 10.0, 5_000, AT_MOST_ONCE_CALL),
            ("fridge-move", 0.07, Normal, 10.0, 5_000, AT_MOST_ONCE_CALL),
            ("lookup", 0.15, Normal, 1.0, 2_000, REPEATABLE_CALL),
        ],
    }
}

impl Deployment {
    /// Returns the load parameters of all services of the deployment.
    pub fn services(self) -> Vec<ServiceLoad> {
        service_rows(self)
            .into_iter()
            .map(
                |(service, share, priority, worth, deadline_ms, target)| ServiceLoad {
                    service,
                    share,
                    priority,
                    worth,
                    deadline: DurationMs(deadline_ms),
                    target,
                },
            )
            .collect()
    }
}

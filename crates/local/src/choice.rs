//! Placement policies and admission gates by name.

use std::fmt;
use std::str::FromStr;

use dw_admit::Fair;
use dw_admit::FairSettings;
use dw_admit::Fifo;
use dw_admit::Gate;
use dw_config::Upstream;
use dw_place::FlatBlock;
use dw_place::FlatPrompt;
use dw_place::LeastLoaded;
use dw_place::Nested;
use dw_place::NestedSettings;
use dw_place::Policy;
use dw_place::RoundRobin;
use thiserror::Error;

/// A name that means no policy or gate.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{kind} {name:?} does not exist: use one of {known}")]
pub struct UnknownName {
    kind: &'static str,
    name: String,
    known: &'static str,
}

/// A placement policy by its name.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum PolicyName {
    /// The product.
    #[default]
    Nested,
    /// Each upstream in turn.
    RoundRobin,
    /// The upstream with the fewest requests.
    LeastLoaded,
    /// Hash of the whole prompt.
    FlatPrompt,
    /// Hash of the first block.
    FlatBlock,
}

impl PolicyName {
    /// All policies, the product first.
    pub const ALL: [PolicyName; 5] = [
        PolicyName::Nested,
        PolicyName::RoundRobin,
        PolicyName::LeastLoaded,
        PolicyName::FlatPrompt,
        PolicyName::FlatBlock,
    ];

    /// Creates the policy for one of `routers` routers.
    pub fn create(self, routers: u32) -> Box<dyn Policy> {
        match self {
            PolicyName::Nested => {
                let settings = NestedSettings::builder().routers(routers.max(1));
                Box::new(Nested::new(settings.build()))
            }
            PolicyName::RoundRobin => Box::new(RoundRobin::default()),
            PolicyName::LeastLoaded => Box::new(LeastLoaded::default()),
            PolicyName::FlatPrompt => Box::new(FlatPrompt),
            PolicyName::FlatBlock => Box::new(FlatBlock),
        }
    }
}

impl fmt::Display for PolicyName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            PolicyName::Nested => "nested",
            PolicyName::RoundRobin => "round-robin",
            PolicyName::LeastLoaded => "least-loaded",
            PolicyName::FlatPrompt => "flat-prompt",
            PolicyName::FlatBlock => "flat-block",
        })
    }
}

impl FromStr for PolicyName {
    type Err = UnknownName;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let found = PolicyName::ALL.into_iter().find(|p| p.to_string() == text);
        found.ok_or_else(|| UnknownName {
            kind: "policy",
            name: text.to_owned(),
            known: "nested, round-robin, least-loaded, flat-prompt, flat-block",
        })
    }
}

/// An admission gate by its name.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum GateName {
    /// First come, first served, within a priority.
    Fifo,
    /// Priorities, fair shares of organisations, worth and deadlines.
    Fair,
    /// The same, and urgent work pre-empts other work.
    #[default]
    FairPreempt,
}

impl GateName {
    /// Creates the gate of one agent.
    pub fn create(self, upstream: &Upstream, max_queued: usize) -> Box<dyn Gate> {
        match self {
            GateName::Fair | GateName::FairPreempt => {
                let settings = FairSettings::builder()
                    .max_running(upstream.max_batch)
                    .max_queued(max_queued)
                    .prefill_tokens_per_s(upstream.prefill_tokens_per_s)
                    .decode_tokens_per_s(upstream.decode_tokens_per_s)
                    .preempts(self == GateName::FairPreempt)
                    .build();
                Box::new(Fair::new(settings))
            }
            GateName::Fifo => Box::new(Fifo::new(
                upstream.max_batch,
                max_queued,
                upstream.prefill_tokens_per_s,
                upstream.decode_tokens_per_s,
            )),
        }
    }
}

impl FromStr for GateName {
    type Err = UnknownName;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "fair" => Ok(GateName::Fair),
            "fair-preempt" => Ok(GateName::FairPreempt),
            "fifo" => Ok(GateName::Fifo),
            _ => Err(UnknownName {
                kind: "gate",
                name: text.to_owned(),
                known: "fair-preempt, fair, fifo",
            }),
        }
    }
}

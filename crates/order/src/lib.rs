//! Level-triggered orders to one engine.
//!
//! [`decide`] compares what is desired with what was read from the engine and returns one step.
//! The agent carries it out and asks again with a fresh view, so a lost answer needs no own state.
//!
//! | view | step |
//! | --- | --- |
//! | engine not read | [`Step::Wait`], nothing is served |
//! | engine loads | [`Step::Wait`] or [`Step::TakeLease`] to keep the lease |
//! | engine has what is desired | [`Step::GiveBackLease`], then [`Step::Serve`] |
//! | it differs, no fencing number | [`Step::RaiseFence`], the old version is served |
//! | it differs, no confirmed lease | [`Step::TakeLease`], the old version is served until one is held |
//! | it differs, work runs | [`Step::Drain`] |
//! | it differs, nothing runs | [`Step::Send`] |
//! | an adapter is missing | [`Step::Send`] at once, since loading one disturbs nothing |
//! | the role differs | [`Step::Send`], standby only when nothing runs |
//!
//! [`claim`] picks the fencing number from what was just read from the table. An engine's refusal
//! of a number leads back to the table, so that a number is never raised from memory.
//!
//! [`Rollout`] decides without leases when one engine of many loads newly named weights.
//!
//! [`LeaseTable::choose`] picks the lease `lease/weights/<n>` that bounds concurrent weight loads.

mod decide;
mod fence;
mod history;
mod lease;
mod rollout;
mod weights_declarations;

pub use decide::decide;
pub use decide::Desired;
pub use decide::Observed;
pub use decide::Order;
pub use decide::Step;
pub use decide::View;
pub use fence::claim;
pub use fence::Claim;
pub use fence::Fence;
pub use history::History;
pub use lease::AvailableLease;
pub use lease::HeldLease;
pub use lease::Lease;
pub use lease::LeaseTable;
pub use lease::LEASE_MS;
pub use rollout::Peer;
pub use rollout::Rollout;
pub use rollout::TurnInputs;
pub use weights_declarations::NewestWeights;
pub use weights_declarations::WeightsDeclarations;

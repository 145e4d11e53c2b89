//! Level-triggered orders to one engine: each decision compares its desired and its actual state.
//!
//! [`decide`] compares the desired state with the state read from the engine and returns one step.
//! The agent executes it and decides again with a new view, so a lost response needs no special
//! handling.
//!
//! | view | step |
//! | --- | --- |
//! | state of the engine unknown | [`Step::Wait`], nothing is served |
//! | engine is loading | [`Step::Wait`], or [`Step::TakeLease`] to renew the lease |
//! | engine has the desired state | [`Step::GiveBackLease`], then [`Step::Serve`] |
//! | weights differ, no fencing number | [`Step::RaiseFence`]; the old version is served |
//! | weights differ, no recent lease | [`Step::TakeLease`]; the old version is served until the lease is held |
//! | weights differ, requests are running | [`Step::Drain`] |
//! | weights differ, no request is running | [`Step::Send`] |
//! | an adapter is missing | [`Step::Send`] without a lease, since loading an adapter does not interrupt requests |
//! | role differs | [`Step::Send`]; to standby only when no request is running |
//!
//! [`claim`] selects the fencing number from the value just read from the table. If an engine
//! rejects a number, the agent reads the table again; it never raises a number it has cached.
//!
//! [`Rollout`] decides without leases when one engine of a fleet loads newly published weights.
//!
//! [`LeaseTable::choose`] selects one of the leases `lease/weights/<n>`, which limit concurrent loads.

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

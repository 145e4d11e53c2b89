//! Admission control for the requests of one agent.
//!
//! | event | actions |
//! | --- | --- |
//! | [`Gate::offer`]: a request arrives | none, or [`Action::Refuse`] for it or for queued requests |
//! | [`Gate::offer`]: a pre-empted request is queued again | as above, but it is never refused itself |
//! | [`Gate::next`]: the upstream has capacity | [`Action::Start`], and [`Action::Refuse`] for requests that would miss their deadline |
//! | [`Gate::next`]: an urgent request is queued and there is no capacity | [`Action::Preempt`], then [`Action::Start`] |
//! | [`Gate::first_token`]: a prompt was computed | none; allows the next prefill |
//! | [`Gate::finished`]: a request ended | none; frees its slot and updates the measured speeds |
//! | [`Gate::withdraw`]: the caller disconnected | none; removes the queued request |
//!
//! After [`Action::Preempt`] the slot counts as free. The agent cancels the request on the upstream
//! and offers its ticket again with the remaining tokens. If the caller of a running request
//! disconnects, the agent reports the end of that request with [`Gate::finished`].
//!
//! [`Overload`], [`Congestion`] and [`Held`] decide for a router: they refuse requests while first tokens,
//! its own timers, or the memory that it holds exceed their bounds.

mod congestion;
mod fair;
mod fifo;
mod gate;
mod held;
mod overload;
mod queue;
mod retry_after;
mod slots;
mod speed;
mod ticket;

pub use congestion::Congestion;
pub use congestion::LAG_INTERVAL_MS;
pub use fair::Fair;
pub use fair::FairSettings;
pub use fifo::Fifo;
pub use gate::Action;
pub use gate::Cause;
pub use gate::Finished;
pub use gate::Gate;
pub use gate::Load;
pub use held::Held;
pub use held::HeldBounds;
pub use held::HeldClaim;
pub use held::NoRoom;
pub use overload::Offer;
pub use overload::Overload;
pub use retry_after::retry_after;
pub use retry_after::retry_after_limit;
pub use retry_after::retry_after_overload;
pub use retry_after::retry_after_pause;
pub use ticket::Ticket;

//! Admission control of an agent.
//!
//! | event | actions |
//! | --- | --- |
//! | [`Gate::offer`]: a request arrives | nothing, or [`Action::Refuse`] for it or for others |
//! | [`Gate::offer`]: a pre-empted request comes back | as above, but it is never refused itself |
//! | [`Gate::next`]: the upstream has room | [`Action::Start`], [`Action::Refuse`] of the late ones |
//! | [`Gate::next`]: urgent work waits and there is no room | [`Action::Preempt`], then its start |
//! | [`Gate::first_token`]: a prompt was computed | makes room for the next prompt |
//! | [`Gate::finished`]: a request ended | none; frees its slot and updates the measured speeds |
//! | [`Gate::withdraw`]: the caller left | none; removes a waiting request |
//!
//! After [`Action::Preempt`] the slot counts as free. The caller cancels the request on the
//! upstream and offers its ticket again, with the tokens that remain. It reports the end of a
//! running request whose caller left by [`Gate::finished`].

mod fair;
mod fifo;
mod gate;
mod overload;
mod queue;
mod retry_after;
mod slots;
mod speed;
mod ticket;

pub use fair::Fair;
pub use fair::FairSettings;
pub use fifo::Fifo;
pub use gate::Action;
pub use gate::Cause;
pub use gate::Finished;
pub use gate::Gate;
pub use gate::Load;
pub use overload::Offer;
pub use overload::Overload;
pub use retry_after::retry_after;
pub use retry_after::retry_after_overload;
pub use retry_after::retry_after_pause;
pub use ticket::Ticket;

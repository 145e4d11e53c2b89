//! Admission control of an agent.
//!
//! | event | actions |
//! | --- | --- |
//! | [`Gate::offer`]: a request arrives | nothing, or [`Action`]s that refuse it or others |
//! | [`Gate::next`]: the upstream has room | the request to run, and refusals of those that are too late |
//! | [`Gate::finished`]: a request ended | updates the measured drain rate |
//! | [`Gate::withdraw`]: the caller left | removes a waiting request |

mod fifo;
mod gate;
mod ticket;

pub use fifo::Fifo;
pub use gate::Action;
pub use gate::Cause;
pub use gate::Finished;
pub use gate::Gate;
pub use gate::Load;
pub use ticket::Ticket;

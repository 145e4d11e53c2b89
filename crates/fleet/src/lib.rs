//! What the processes of a fleet tell one another through relays.
//!
//! Load pattern: routers times engines grow to many thousands of pairs, most of them in different
//! data centres, and the smallest router has a few hundredths of a core. What one process sends and
//! receives must depend on the number of data centres and on a budget, not on the number of pairs.
//!
//! | type | used by | decides |
//! | --- | --- | --- |
//! | [`Members`] | all | which engines there are, and who could be a relay |
//! | [`Relays`] | all | which of these are used: silent ones are replaced without asking anyone |
//! | [`Aggregate`] | relays | what a data centre tells: changed engines at once, sums of loads at a pace |
//! | [`ForwardingPolicy`] | relays | which states of other data centres are passed on, and to whom |
//! | [`View`] | all | what is known of engines and loads, and for how long it is used |
//! | [`TableHints`] | routers, sidecars | when the platform's tables need not be asked |
//! | [`SentLoads`] | routers | which part of a sum is the router's own |
//! | [`SendPacing`] | relays | pauses from the length and the receivers of a datagram |

mod aggregate;
mod forwarding;
mod members;
mod pace;
mod relays;
mod sent_loads;
mod table_hints;
mod view;

pub use aggregate::router_hash;
pub use aggregate::Aggregate;
pub use forwarding::ForwardingPolicy;
pub use forwarding::Receivers;
pub use members::Members;
pub use pace::SendPacing;
pub use relays::Relays;
pub use sent_loads::SentLoads;
pub use table_hints::is_reader;
pub use table_hints::TableHints;
pub use view::Change;
pub use view::View;

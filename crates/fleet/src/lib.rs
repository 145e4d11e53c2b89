//! State that the processes of a fleet announce to one another through relays.
//!
//! Load pattern: routers times engines grow to many thousands of pairs, most of them in different
//! data centres, and the smallest router has a few hundredths of a core. What one process sends and
//! receives must depend on the number of data centres and on a budget, not on the number of pairs.
//!
//! | type | used by | decides |
//! | --- | --- | --- |
//! | [`Members`] | all | which engines are registered, and in which order they are preferred as relays |
//! | [`Relays`] | all | which relays are used; each process replaces unresponsive ones on its own |
//! | [`Aggregate`] | relays | what a data centre announces: changed engines at once, loads at a bounded rate |
//! | [`ForwardingPolicy`] | relays | which states of other data centres are forwarded, and to which receivers |
//! | [`View`] | all | which announced engine states and loads are recent enough to use |
//! | [`TableHints`] | routers, sidecars | when the platform's tables need not be polled |
//! | [`HintedCalls`] | routers | when the tables are called again for a position that others announce |
//! | [`SentLoads`] | routers | the router's own share of the announced sums |
//! | [`SendPacing`] | relays | the pause after a datagram, from its length and the number of receivers |

mod aggregate;
mod forwarding;
mod hint_timing;
mod hinted_calls;
mod members;
mod pace;
mod relays;
mod sent_loads;
mod table_hints;
mod table_state;
mod view;
mod wait_timing;

pub use aggregate::router_hash;
pub use aggregate::Aggregate;
pub use forwarding::ForwardingPolicy;
pub use forwarding::Receivers;
pub use hint_timing::HintTiming;
pub use hint_timing::HINT_CHECK_INTERVAL_MS;
pub use hinted_calls::HintedCalls;
pub use members::Members;
pub use pace::SendPacing;
pub use pace::RELAY_MAX_PAUSE_MS;
pub use pace::RELAY_MIN_PAUSE_MS;
pub use pace::RELAY_ROUND_PAUSE_MS;
pub use pace::ROUTER_MAX_PAUSE_MS;
pub use pace::ROUTER_MIN_PAUSE_MS;
pub use relays::Relays;
pub use sent_loads::SentLoads;
pub use table_hints::is_reader;
pub use table_hints::TableHints;
pub use table_state::hinted_pause_ms;
pub use table_state::FollowedTable;
pub use table_state::TablePoll;
pub use table_state::TablePollSettings;
pub use table_state::TableState;
pub use table_state::UnreadConfiguration;
pub use view::Change;
pub use view::View;
pub use wait_timing::WaitTiming;

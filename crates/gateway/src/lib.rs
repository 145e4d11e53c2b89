//! Router that sends straight to upstreams.
//!
//! A request passes resolve, body, place, forward and relay. What operators declare, which upstreams
//! are registered, and the platform's formats come through the traits of `dw_port`; the decisions
//! are those of `dw_place`, `dw_member` and `dw_retry`.

mod answer;
mod body;
mod caller;
mod candidates;
mod connections;
mod context;
mod declaration_times;
mod declarations;
mod drain;
mod forward;
mod gateway;
mod gossip;
mod in_flight;
mod kv;
mod metrics;
mod part_keys;
mod pool;
mod probe;
mod registrations;
mod relay;
mod relay_updates;
mod request;
mod roster;
mod selection;
mod shared;
mod tables;
mod weights;

pub use drain::DrainTimes;
pub use gateway::Gateway;
pub use gateway::GatewayParts;
pub use gateway::StartError;

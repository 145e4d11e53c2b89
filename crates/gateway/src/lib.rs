//! Router that sends straight to upstreams.
//!
//! A request passes resolve, body, place, forward and relay. What operators declare, which upstreams
//! are registered, and the platform's formats come through the traits of `dw_port`; the decisions
//! are those of `dw_place`, `dw_member` and `dw_retry`.

mod ages;
mod answer;
mod body;
mod caller;
mod candidates;
mod choose;
mod connections;
mod drain;
mod forward;
mod gateway;
mod gossip;
mod heard;
mod in_flight;
mod job;
mod kv;
mod measures;
mod part_keys;
mod pool;
mod probe;
mod registrations;
mod relay;
mod request;
mod roster;
mod routes;
mod shared;
mod tables;
mod weights;

pub use drain::Drain;
pub use gateway::Gateway;
pub use gateway::GatewayParts;
pub use gateway::StartError;

//! Router that sends requests directly to upstreams.
//!
//! A request is resolved to a route, its body is read, an upstream is selected, and the request is
//! forwarded and its answer relayed. Declarations of operators, registrations of upstreams and the
//! platform's formats come through the traits of `dw_port`. `dw_place`, `dw_member`, `dw_retry`
//! and `dw_quarantine` decide where a request goes, whether it is retried, and whether it is sent at all.

mod admission;
mod answer;
mod arrival_rules;
mod body;
mod caller;
mod candidates;
mod configuration_lag;
mod connections;
mod context;
mod declaration_times;
mod declarations;
mod drain;
mod explain;
mod explain_server;
mod explained_upstreams;
mod forward;
mod framing;
mod gateway;
mod gossip;
mod in_flight;
mod judged_by;
mod kv;
mod lag;
mod limits;
mod memory;
mod metrics;
mod origin_store;
mod origins;
mod overload_rule;
mod part_keys;
mod pool;
mod probe;
mod quarantine;
mod quarantine_rule;
mod questions;
mod quotas;
mod read_ahead;
mod received_response;
mod registrations;
mod relay;
mod relay_updates;
mod request;
mod request_body;
mod roster;
mod rules;
mod selection;
mod shared;
mod tables;
mod upstream_end;
mod weights;

pub use drain::DrainTimes;
pub use gateway::Gateway;
pub use gateway::GatewayParts;
pub use gateway::StartError;

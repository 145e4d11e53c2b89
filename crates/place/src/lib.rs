//! Placement policies and their estimators.
//!
//! | event | effect |
//! | --- | --- |
//! | [`Policy::place`] | chooses an upstream; [`Nested`] also records the sent work and updates home set widths |
//! | [`Observation::FirstToken`] | updates speed, cache lifetime, heat and warm hints |
//! | [`Observation::Report`] | replaces the expected waits, updates the measured speed |
//! | [`Observation::CacheLost`] | clears the hints about the upstream's cache |
//! | [`Observation::Sent`], [`Observation::Finished`] | count requests in [`LeastLoaded`] |
//!
//! The state of [`Nested`] is bounded, whatever the number of blocks: 4,096 prefixes of 64 bytes,
//! and less than 256 bytes for each upstream. Initial home sets do not depend on it.

mod cached_prefixes;
mod cost;
mod decision;
mod direct;
mod direct_homes;
mod direct_request;
mod direct_settings;
mod flat_block;
mod flat_prompt;
mod heat;
mod home_shares;
mod homes;
mod learned_speed;
mod least_loaded;
mod load;
mod mixed;
mod mixed_settings;
mod nested;
mod observation;
mod oracle;
mod policy;
mod round_robin;
mod scored;
mod speed;
mod target;
mod upstream_load;

pub use cost::ImportCost;
pub use decision::Alternative;
pub use decision::Candidate;
pub use decision::Decision;
pub use direct::Direct;
pub use direct_request::Choice;
pub use direct_request::DirectRequest;
pub use direct_request::DirectTarget;
pub use direct_request::SentRequest;
pub use direct_settings::DirectSettings;
pub use flat_block::FlatBlock;
pub use flat_prompt::FlatPrompt;
pub use least_loaded::LeastLoaded;
pub use mixed_settings::MixedSettings;
pub use nested::Nested;
pub use nested::NestedSettings;
pub use observation::Observation;
pub use oracle::FleetView;
pub use oracle::Oracle;
pub use policy::KnownCost;
pub use policy::PlaceRequest;
pub use policy::Policy;
pub use round_robin::RoundRobin;
pub use target::Target;
pub use upstream_load::UpstreamLoad;

//! Process beside a model engine that announces the engine's state and orders it to load weights.
//!
//! The sidecar is the only sender of orders to its engine. It learns of published weights from the
//! platform's table and from routers, and decides from the other sidecars' announcements when its
//! engine loads them.

mod admission;
mod cache;
mod engine_announcer;
mod gossip;
mod metrics;
mod orders;
mod origins;
mod permits;
mod quotas;
mod relay;
mod relay_announcer;
mod sidecar;
mod state;
mod stores;
mod table_proxy;
mod weights;

pub use sidecar::Sidecar;
pub use sidecar::SidecarParts;
pub use sidecar::StartError;

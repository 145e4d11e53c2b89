//! Process beside a model engine: tells its state and orders its weights.
//!
//! It is the only sender of orders to its engine. It hears of named weights from the platform's
//! table and from routers, and agrees with the other sidecars by datagrams on who loads when.

mod cache;
mod gossip;
mod measures;
mod orders;
mod own_state;
mod relay;
mod relay_teller;
mod sidecar;
mod state;
mod stores;
mod weights;

pub use sidecar::Sidecar;
pub use sidecar::SidecarParts;
pub use sidecar::StartError;

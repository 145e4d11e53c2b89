//! Keeps the configuration of a node current.

mod cell;
mod commit;
mod error;
mod node;
mod peers;

pub use commit::CommitReport;
pub use error::SyncError;
pub use node::ConfigNode;
pub use peers::PeerError;
pub use peers::Peers;

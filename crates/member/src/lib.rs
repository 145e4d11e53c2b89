//! Membership of VMs from the VM list and from fresher evidence.
//!
//! | event | effect |
//! | --- | --- |
//! | [`Event::Listed`]: a snapshot of the VM list | adds unknown nodes; forgets absent ones without fresher evidence |
//! | [`Event::Answered`]: answer, refusal or heartbeat | `live`, unless the incarnation is older or is leaving |
//! | [`Event::Leaving`]: a leaving notice | `leaving`, final for the incarnation |
//! | [`Event::Failed`]: a connection failed | `suspect`, with a later next probe |
//! | [`Members::probe`]: a probe is due | allows one probe of a suspect node |
//!
//! No event means that the list or the table is down: then nothing changes.

mod members;
mod node;

pub use members::Event;
pub use members::Members;
pub use node::State;

//! Membership of VMs from the VM list and from fresher evidence.
//!
//! | event | effect |
//! | --- | --- |
//! | [`Event::RegisteredUpstream`]: a snapshot of the VM list | adds unknown nodes; forgets absent ones without fresher evidence |
//! | [`Event::Answered`]: answer, refusal or heartbeat | `live`, unless the incarnation is older or is leaving |
//! | [`Event::Leaving`]: a leaving notice | `leaving`, final for the incarnation |
//! | [`Event::Failed`]: a connection failed | `suspect`, with a later next probe |
//! | [`Members::probe`]: a probe is due | allows one probe of a suspect node |
//!
//! [`Directory`] is the membership of upstreams that routers reach directly: it follows the
//! registrations in the platform's table and the answers of the upstreams.
//!
//! | event | effect |
//! | --- | --- |
//! | [`Directory::put`], [`Directory::replace`] | takes over registrations |
//! | [`Directory::remove`] | drops one; after an outage of the table only if it stays away |
//! | [`Health::record_unreachable`], [`Health::record_failure`] | `suspect`, with a later next probe |
//! | [`Health::record_success`] | in use again |
//! | [`Directory::mark_leaving`] | no new work for this start of it, whatever the table says |
//! | [`Directory::pause_until`] | no requests until the pause ends |
//!
//! No event means that the list or the table is down: then nothing changes.

mod directory;
mod health;
mod members;
mod node;
mod notices;
mod registered_upstream;

pub use directory::Directory;
pub use directory::Entry;
pub use health::Health;
pub use members::Event;
pub use members::Members;
pub use node::State;
pub use notices::Notice;
pub use registered_upstream::RegisteredUpstream;

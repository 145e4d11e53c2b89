//! Membership of VMs, from the VM list and from more recent direct observations.
//!
//! | event | effect |
//! | --- | --- |
//! | [`Event::Listed`]: a snapshot of the VM list | adds unknown nodes; removes absent ones without a recent response |
//! | [`Event::Answered`]: answer, refusal or heartbeat | `live`, unless the incarnation is outdated or leaving |
//! | [`Event::Leaving`]: a leaving notice | `leaving`, final for the incarnation |
//! | [`Event::Failed`]: a connection failed | a live node becomes `suspect` and is probed after a pause |
//! | [`Members::probe`] | allows one probe of a suspect node if it is due, and doubles the pause |
//!
//! [`Directory`] holds the upstreams that routers reach directly. It follows the registrations in
//! the platform's table and the answers of the upstreams.
//!
//! | event | effect |
//! | --- | --- |
//! | [`Directory::put`], [`Directory::replace`] | adds, updates and removes registrations |
//! | [`Directory::remove`] | removes one; after an outage of the table only if it is not renewed |
//! | [`Health::record_unreachable`], [`Health::record_failure`] | `suspect`, at once or after repeated failures |
//! | [`Health::record_success`] | no longer `suspect` |
//! | [`Directory::mark_leaving`] | no new work until it restarts, whatever the table holds |
//! | [`Directory::pause_until`] | no requests until the pause ends |
//!
//! While the list or the table is unavailable there are no events, and membership stays as it is.

mod directory;
mod health;
mod members;
mod node;
mod notices;
mod registered_upstream;
mod removals;

pub use directory::Directory;
pub use directory::Entry;
pub use health::Health;
pub use members::Event;
pub use members::Members;
pub use node::State;
pub use notices::Notice;
pub use registered_upstream::RegisteredUpstream;

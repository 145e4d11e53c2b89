//! Stand-ins for the platform's services and for upstreams.

mod objects;
mod platform;
mod server;
mod table;
mod vms;

pub use objects::start_objects;
pub use objects::MemoryObjects;
pub use platform::Counters;
pub use platform::Outage;
pub use platform::PlatformFaults;
pub use platform::PlatformLimits;
pub use server::ephemeral;
pub use server::Cut;
pub use server::Running;
pub use table::start_table;
pub use table::MemoryTable;
pub use vms::start_vms;
pub use vms::MemoryVms;

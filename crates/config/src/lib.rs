//! Configuration objects, changes, versions and snapshots.

mod object;
mod source;
mod view;

pub use object::Limit;
pub use object::Model;
pub use object::Object;
pub use object::ObjectKey;
pub use object::ObjectKind;
pub use object::Operator;
pub use object::Organisation;
pub use object::ParseObjectKeyError;
pub use object::Service;
pub use object::ServiceKind;
pub use object::Setting;
pub use object::Upstream;
pub use object::UpstreamKind;
pub use object::UpstreamState;
pub use source::ConfigSource;
pub use source::FixedConfig;
pub use source::Listener;
pub use view::Config;
pub use view::Entry;

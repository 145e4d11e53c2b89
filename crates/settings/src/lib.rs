//! Loading and checking of YAML settings files.
//!
//! Every binary takes `--settings FILE`, and `--check` to stop after the check.

mod error;
mod load;
mod options;
mod program;
mod value;

pub use error::Fault;
pub use error::SettingsError;
pub use load::from_text;
pub use load::load;
pub use load::Check;
pub use options::open;
pub use options::Opened;
pub use options::Options;
pub use options::OptionsError;
pub use options::EXIT_BAD_SETTINGS;
pub use program::start;
pub use value::Addr;
pub use value::Delay;
pub use value::ParseAddrError;

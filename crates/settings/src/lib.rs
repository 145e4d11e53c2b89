//! Loading and validation of YAML settings files.
//!
//! Every binary accepts `--settings FILE`, and `--check` to validate the file and exit.

mod error;
mod load;
mod options;
mod program;
mod value;

pub use error::InvalidValue;
pub use error::SettingsError;
pub use load::from_text;
pub use load::load;
pub use load::Check;
pub use options::load_from_args;
pub use options::Options;
pub use options::OptionsError;
pub use options::StartAction;
pub use options::EXIT_BAD_SETTINGS;
pub use program::start;
pub use value::Addr;
pub use value::DurationSetting;
pub use value::ParseAddrError;

//! Command-line client for operators: sends statements to the administration API of a router.

mod client;
mod options;
mod render;
mod run;

pub use client::Client;
pub use client::ClientError;
pub use options::usage;
pub use options::Format;
pub use options::Options;
pub use options::Source;
pub use options::UsageError;
pub use render::render_error;
pub use render::render_response;
pub use run::run;
pub use run::ExitStatus;

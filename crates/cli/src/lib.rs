//! Command-line client for operators: sends statements to the administration API of a router, and asks a
//! gateway where a request would go.

mod client;
mod explain;
mod explain_options;
mod explanation;
mod options;
mod render;
mod run;

pub use client::Client;
pub use client::ClientError;
pub use client::ExplainFailure;
pub use explain_options::ExplainOptions;
pub use explanation::render_explanation;
pub use options::usage;
pub use options::Format;
pub use options::Options;
pub use options::Source;
pub use options::UsageError;
pub use render::render_error;
pub use render::render_response;
pub use run::run;
pub use run::ExitStatus;

//! Load for measurements: workloads, an open-loop sender and reports.
//!
//! [`Workload`] is a pure iterator over [`Arrival`]s and depends on its settings and seed only.
//! [`send`] sends each arrival at its time, whether or not earlier ones were answered, and returns
//! one [`Sample`] each. [`Report`] sums the samples up per service.

mod mix;
mod prompt;
mod report;
mod sample;
mod sender;
mod skew;
mod sse;
mod workload;

pub use mix::organisations;
pub use mix::Deployment;
pub use mix::ParseDeploymentError;
pub use mix::ServiceLoad;
pub use mix::Target;
pub use prompt::LevelSizes;
pub use prompt::Prompt;
pub use report::Latency;
pub use report::Report;
pub use report::ServiceReport;
pub use sample::Outcome;
pub use sample::Sample;
pub use sender::send;
pub use sender::SendError;
pub use skew::Skew;
pub use sse::SseParser;
pub use workload::org_token;
pub use workload::Arrival;
pub use workload::Workload;
pub use workload::WorkloadSettings;

//! Load generation and measurement: workloads, an open-loop sender, experiments and reports.
//!
//! [`Workload`] is a deterministic iterator over [`Arrival`]s that depends only on its settings,
//! which include the seed. [`send`] sends each arrival at its scheduled time, without waiting for
//! earlier responses, and returns one [`Sample`] for each. [`Report`] aggregates the samples by
//! service. [`ExperimentRunner`] runs a [`Scenario`]
//! under every placement policy on a fleet in this process.

mod capacity;
mod command;
mod compare;
mod cpu;
mod experiment;
mod measurement;
mod mix;
mod plot;
mod progress;
mod prompt;
mod report;
mod run;
mod sample;
mod scenario;
mod sender;
mod series;
mod skew;
mod slopes;
mod sse;
mod streaming;
mod workload;

pub use capacity::Capacity;
pub use command::Command;
pub use command::Invocation;
pub use command::Task;
pub use command::UsageError;
pub use compare::compare;
pub use compare::FigureComparison;
pub use experiment::ExperimentRunner;
pub use measurement::Counts;
pub use measurement::Experiment;
pub use measurement::Measurement;
pub use measurement::MAX_CPU_SHARE;
pub use mix::organisations;
pub use mix::Deployment;
pub use mix::ParseDeploymentError;
pub use mix::ServiceLoad;
pub use mix::Target;
pub use plot::plot;
pub use plot::PlotError;
pub use prompt::LevelSizes;
pub use prompt::Prompt;
pub use report::LatencySummary;
pub use report::Refusals;
pub use report::Report;
pub use report::ServiceReport;
pub use run::run_command;
pub use sample::Outcome;
pub use sample::Sample;
pub use scenario::Case;
pub use scenario::Fault;
pub use scenario::Load;
pub use scenario::Scenario;
pub use scenario::ScenarioError;
pub use sender::send;
pub use sender::send_scaled;
pub use sender::Routers;
pub use sender::SendError;
pub use series::time_series;
pub use series::Recovery;
pub use series::SeriesPoint;
pub use skew::Zipf;
pub use slopes::ControlTraffic;
pub use slopes::Slope;
pub use slopes::Slopes;
pub use sse::SseParser;
pub use streaming::PathStatistics;
pub use streaming::StreamLevel;
pub use streaming::StreamPath;
pub use streaming::StreamingReport;
pub use workload::org_token;
pub use workload::Arrival;
pub use workload::RateChange;
pub use workload::Workload;
pub use workload::WorkloadSettings;

//! Every role and stand-in in one process.

mod choice;
mod cluster;
mod config;
mod example;
mod no_objects;
mod report;
mod statements;

pub use choice::GateName;
pub use choice::PolicyName;
pub use choice::UnknownName;
pub use cluster::Cluster;
pub use cluster::ClusterSettings;
pub use config::declare;
pub use config::token_sha256;
pub use config::OPERATOR_TOKEN;
pub use config::TOKEN;
pub use example::examples;
pub use example::Example;
pub use report::run_examples;
pub use report::Row;
pub use report::Table;
pub use statements::statements;

/// Description of the Division's stand-ins.
pub const DIVISION: &str = include_str!("../../../examples/division.yaml");

/// Description of Letargo's stand-ins.
pub const LETARGO: &str = include_str!("../../../examples/letargo.yaml");

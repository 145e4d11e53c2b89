//! The agent beside each upstream.
//!
//! An agent queues requests for its upstream, runs them, relays the answers, keeps an exact index
//! of the engine's prefix cache, and is the only sender of orders to the engine. Start one with
//! [`Agent::start`] from [`Parts`], and stop it with [`Agent::shutdown`].
//!
//! The data path is HTTP/1.1: `POST /v1/run` and `POST /v1/resume` take a postcard message and
//! answer with length-delimited frames, each written at once. A resume repeats the first
//! frame, which names the request. The control path is tarpc over TCP with the bincode format.

mod agent;
mod arrival;
mod call;
mod check;
mod client;
mod control;
mod engine;
mod feed;
mod follow;
mod gate;
mod generate;
mod kv;
mod live;
mod memory;
mod metrics;
mod orders;
mod parts;
mod peers;
mod process;
mod queue;
mod relay;
mod server;
mod settings;
mod shared;
mod trace;
mod wait;
mod writer;

pub use agent::Agent;
pub use agent::StartError;
pub use follow::ConfigFollower;
pub use follow::FollowParts;
pub use gate::gate_for;
pub use gate::GateKind;
pub use parts::ConfigPeer;
pub use parts::FixedPeer;
pub use parts::Parts;
pub use process::run;
pub use settings::Platform;
pub use settings::ProcessSettings;
pub use settings::Settings;
pub use writer::Writer;

//! Stand-in for a model inference engine.

mod audit;
mod block_registry;
mod cache;
mod core;
mod events;
mod first_token_log;
mod generation;
mod http;
mod runner;
mod settings;
mod stream;
mod text;
mod weight_load;

pub use self::audit::Audit;
pub use self::audit::BlockOrigin;
pub use self::audit::IsolationViolation;
pub use self::block_registry::BlockRegistry;
pub use self::runner::start_engine;
pub use self::runner::Engine;
pub use self::settings::EngineFaults;
pub use self::settings::EngineSettings;
pub use self::text::answer_text;
pub use self::text::token_text;
pub use self::weight_load::WeightLoad;
pub use self::weight_load::WeightLoadTracker;

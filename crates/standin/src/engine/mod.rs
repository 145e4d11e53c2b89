//! Stand-in for a model engine.

mod audit;
mod cache;
mod core;
mod events;
mod generation;
mod holders;
mod http;
mod load_gate;
mod runner;
mod send_log;
mod settings;
mod stream;
mod text;

pub use self::audit::Audit;
pub use self::audit::Crossing;
pub use self::audit::Stamp;
pub use self::holders::Holders;
pub use self::load_gate::LoadGate;
pub use self::load_gate::Loading;
pub use self::runner::start_engine;
pub use self::runner::Engine;
pub use self::settings::EngineFaults;
pub use self::settings::EngineSettings;
pub use self::text::answer_text;
pub use self::text::token_text;

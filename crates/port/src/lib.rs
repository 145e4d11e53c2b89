//! Traits between the routers and a platform.
//!
//! A platform implements them once; the shells and their tests know nothing else of it. No
//! implementation decides anything: it names, encodes, decodes and calls.

mod ask;
mod codec;
mod engine;
mod feed;
mod kv;
mod naming;

pub use ask::Ask;
pub use ask::AskError;
pub use codec::AnswerHead;
pub use codec::Codec;
pub use codec::Envelope;
pub use engine::Engine;
pub use engine::EngineError;
pub use engine::Order;
pub use engine::OrderAnswer;
pub use engine::Report;
pub use feed::Declaration;
pub use feed::Feed;
pub use feed::FeedError;
pub use feed::NamedWeights;
pub use feed::Page;
pub use feed::Registration;
pub use feed::TableVersion;
pub use feed::Unreadable;
pub use kv::KvError;
pub use kv::KvIndex;
pub use naming::NamingTime;
pub use naming::NamingTimes;

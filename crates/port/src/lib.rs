//! Traits between the routers and a platform.
//!
//! A platform implements them once; the shells and their tests know nothing else of it. No
//! implementation decides anything: it names, encodes, decodes and calls.

mod codec;
mod declaration_time;
mod engine;
mod feed;
mod kv;
mod origin;
mod proxy;
mod quarantine;
mod request_head;

pub use codec::Codec;
pub use codec::Envelope;
pub use codec::NamedLimit;
pub use codec::ResponseHead;
pub use declaration_time::DeclarationTime;
pub use declaration_time::DeclarationTimes;
pub use engine::Engine;
pub use engine::EngineError;
pub use engine::Order;
pub use engine::OrderResult;
pub use engine::Report;
pub use feed::Declaration;
pub use feed::DeclaredWeights;
pub use feed::Feed;
pub use feed::FeedError;
pub use feed::InvalidRoutes;
pub use feed::InvalidRow;
pub use feed::Page;
pub use feed::Registration;
pub use feed::TableVersion;
pub use feed::FEED_SILENCE_MS;
pub use kv::KvError;
pub use kv::KvIndex;
pub use origin::OriginTable;
pub use origin::StoredOrigins;
pub use proxy::TableProxies;
pub use proxy::TableProxy;
pub use quarantine::QuarantineRecords;
pub use quarantine::QuarantineTable;
pub use request_head::RequestHead;
pub use request_head::RequestHeadError;

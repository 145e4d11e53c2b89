//! Exact index of one engine's prefix cache, and its exchange with the KV store.
//!
//! | event | actions |
//! | --- | --- |
//! | [`Index::apply_batch`]: numbered events | applied in order; [`Action::Resync`] after a gap or a lost tail |
//! | [`Index::apply_snapshot`]: whole cache content | replaces the index |
//! | [`Index::observe`]: incarnation and weights seen | a change clears the index: [`Action::Resync`] |
//! | [`Index::record_reported`]: cached tokens of an answer | wrong entries are dropped, missing ones added |
//!
//! [`RecentChains`] holds the newest chains, which agents tell to routers with their answers.
//! [`Exchange`] decides what is exported to the KV store and what is looked up there:
//!
//! | event | actions |
//! | --- | --- |
//! | [`Exchange::record_use`]: a prompt was computed | its pieces that the store lacks wait for their export |
//! | [`Exchange::next_export`]: the write allowance is asked | a [`Run`] to export, hot and shallow ones first |
//! | [`Exchange::next_lookup`]: a prompt is to run | the key to look up; none without allowance or in an outage |
//! | [`Exchange::record_lookup`], [`Exchange::record_export`] | the answer of the store is remembered |
//! | [`Exchange::record_failure`] | no call for [`BREAKER_PAUSE_MS`], then a single one |
//!
//! An entry is a 16-byte hash in an open-addressing table with one control byte per slot. At
//! 70,000 blocks the table has 131,072 slots, which is 31.8 bytes per block or 2.2 MB per engine.

mod allowance;
mod breaker;
mod contents;
mod event;
mod exchange;
mod index;
mod pieces;
mod recent;
mod saving;

pub use breaker::BREAKER_PAUSE_MS;
pub use contents::Contents;
pub use contents::KvChange;
pub use contents::KvPage;
pub use event::Action;
pub use event::Batch;
pub use event::Event;
pub use event::Kind;
pub use event::Snapshot;
pub use exchange::import_is_cheaper;
pub use exchange::Exchange;
pub use exchange::Run;
pub use exchange::StoredBlock;
pub use exchange::EXPORTS_PER_S;
pub use exchange::LOOKUPS_PER_S;
pub use exchange::MAX_WAITING_RUNS;
pub use exchange::NEGATIVE_LOOKUP_TTL_MS;
pub use index::Index;
pub use index::Prediction;
pub use index::LOST_TAIL_MS;
pub use pieces::MAX_KNOWN_BLOCKS;
pub use recent::RecentChains;
pub use saving::is_worth_saving;
pub use saving::Inflow;

//! Index of one engine's prefix cache, and exports to and imports from the KV store.
//!
//! | event | actions |
//! | --- | --- |
//! | [`Index::apply_batch`]: numbered events | applied in order; [`Action::Resync`] after a gap or a lost last event |
//! | [`Index::apply_snapshot`]: complete cache contents | replaces the index |
//! | [`Index::observe`]: incarnation and weights seen | a change clears the index: [`Action::Resync`] |
//! | [`Index::record_reported`]: cached tokens reported with an answer | wrong entries are dropped, missing ones added |
//!
//! [`RecentChains`] holds the newest chains, which agents report to routers with their answers.
//! [`Exchange`] decides which blocks to export to the KV store and which runs to look up there:
//!
//! | event | actions |
//! | --- | --- |
//! | [`Exchange::record_use`]: a prompt was computed | blocks that the store lacks are queued for export |
//! | [`Exchange::next_export`]: the agent is ready to export | a [`Run`] if the write allowance permits, hot and shallow ones first |
//! | [`Exchange::next_lookup`]: a prompt is about to run | the key to look up; none without allowance or while the breaker is open |
//! | [`Exchange::record_lookup`], [`Exchange::record_export`] | the known contents of the store are updated |
//! | [`Exchange::record_failure`] | no calls for [`BREAKER_PAUSE_MS`], then one probe call |
//!
//! An entry is a 16-byte hash in an open-addressing table with one control byte per slot. At
//! 70,000 blocks the table has 131,072 slots, which is 31.8 bytes per block or 2.2 MB per engine.

mod allowance;
mod blocks;
mod breaker;
mod contents;
mod event;
mod exchange;
mod index;
mod recent;
mod saving;

pub use blocks::MAX_KNOWN_BLOCKS;
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
pub use recent::RecentChains;
pub use saving::is_worth_saving;
pub use saving::Inflow;

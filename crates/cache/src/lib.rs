//! Exact index of one engine's prefix cache.
//!
//! | event | actions |
//! | --- | --- |
//! | [`Index::batch`]: numbered events | applied in order; [`Action::Resync`] after a gap or a lost tail |
//! | [`Index::snapshot`]: whole cache content | replaces the index |
//! | [`Index::observe`]: incarnation and weights seen | a change clears the index: [`Action::Resync`] |
//! | [`Index::reported`]: cached tokens of an answer | wrong entries are dropped, missing ones added |
//!
//! [`RecentChains`] holds the newest chains, which agents tell to routers with their answers.
//!
//! An entry is a 16-byte hash in an open-addressing table with one control byte per slot. At
//! 70,000 blocks the table has 131,072 slots, which is 31.8 bytes per block or 2.2 MB per engine.

mod event;
mod index;
mod recent;

pub use event::Action;
pub use event::Batch;
pub use event::Event;
pub use event::Kind;
pub use event::Snapshot;
pub use index::Index;
pub use index::Prediction;
pub use index::LOST_TAIL_MS;
pub use recent::RecentChains;

//! Outcome records of calls that run at most once.
//!
//! [`Call`] is the state machine of one attempt in the agent that would send it.
//!
//! | event | actions |
//! | --- | --- |
//! | [`Call::begin`] | insert `running` if the record is absent |
//! | [`Event::Committed`] | send; or refuse and write `not_run` if the deadline passed meanwhile |
//! | [`Event::Conflict`], [`Event::Unknown`] | read, to settle the outcome by the attempt id |
//! | [`Event::Unavailable`], [`Event::ReadFailed`] | refuse; release the record if it may exist |
//! | [`Event::Found`] | send, answer from the record, refuse, or insert again |
//! | [`Event::Answered`] | answer the caller and write `done` |
//! | [`Event::NotSent`] | refuse and write `not_run` |
//! | [`Event::Lost`] | fail; the record stays `running` and is read as unknown after its time |
//!
//! [`Expiry`] decides which records are deleted after their retention time.
//!
//! | event | actions |
//! | --- | --- |
//! | [`Expiry::due`]: a batch was written | the oldest index rows are to be read, at most 10 times a second |
//! | [`Expiry::select_expired`]: they were read | the expired ones, of which [`deletions`] are written |
//!
//! After a refusal a call never asks to send, so "not run" is true. Writes name the record version
//! that they replace, so a write that takes effect late cannot undo a later one.

mod batch;
mod call;
mod expiry;
mod record;

pub use batch::Batcher;
pub use batch::MAX_BATCH_ITEMS;
pub use batch::MAX_BATCH_WAIT_MS;
pub use call::Action;
pub use call::Call;
pub use call::Event;
pub use call::Holder;
pub use call::Refusal;
pub use expiry::deletions;
pub use expiry::index_key;
pub use expiry::index_prefix;
pub use expiry::BatchIndex;
pub use expiry::Expiry;
pub use expiry::IndexRow;
pub use expiry::MAX_ROWS;
pub use expiry::RETENTION_MS;
pub use record::table_key;
pub use record::Body;
pub use record::Record;

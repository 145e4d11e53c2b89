//! Outcome records of calls that run at most once.
//!
//! [`Call`] is the state machine of one attempt, in the agent that sends it to the upstream.
//!
//! | event | actions |
//! | --- | --- |
//! | [`Call::begin`] | insert a `running` record if there is none |
//! | [`Event::Committed`] | send; or refuse and write `not_run` if the deadline has passed |
//! | [`Event::Conflict`], [`Event::Unknown`] | read, to determine the outcome by the attempt id |
//! | [`Event::Unavailable`], [`Event::ReadFailed`] | refuse; write `not_run` if the record may exist |
//! | [`Event::Found`] | send, respond from the record, refuse, or insert again |
//! | [`Event::Answered`] | respond to the caller and write `done` |
//! | [`Event::NotSent`] | refuse and write `not_run` |
//! | [`Event::Lost`] | fail; the record stays `running`, and after its end the outcome is reported as unknown |
//!
//! [`Expiry`] decides which records are deleted after their retention time.
//!
//! | event | actions |
//! | --- | --- |
//! | [`Expiry::due`]: a batch was written | read the oldest index rows, at most 10 times per second |
//! | [`Expiry::looked`]: the rows were read | write the [`deletions`] of the expired ones |
//!
//! After a refusal, an attempt is never sent, so "not run" is guaranteed. Each write is conditional
//! on the version of the record that it replaces, so a delayed write cannot overwrite a later one.

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

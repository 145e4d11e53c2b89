//! The record of one idempotency key.

use dw_base::AttemptId;
use dw_base::IdempotencyKey;
use dw_base::Incarnation;
use dw_base::NodeId;
use dw_base::OrgId;
use dw_base::ServiceId;
use dw_base::TimeMs;
use serde::Deserialize;
use serde::Serialize;

/// Where the body of an answer is.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Body {
    /// In the record, as JSON text.
    Inline(String),
    /// In the object store, under this key.
    Object(String),
}

/// What is known about the call of one key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "state")]
pub enum Record {
    /// An attempt may be running.
    Running {
        /// Attempt that made the record.
        attempt: AttemptId,
        /// Agent of the attempt.
        agent: NodeId,
        /// Incarnation of the agent.
        incarnation: Incarnation,
        /// Hash of the caller's body.
        body_hash: String,
        /// When the record was made.
        since: TimeMs,
        /// When the attempt ends at the latest, on the clock of its agent.
        until: TimeMs,
    },
    /// The call has run.
    Done {
        /// Attempt that ran.
        attempt: AttemptId,
        /// Hash of the caller's body.
        body_hash: String,
        /// HTTP status for the caller.
        http_status: u16,
        /// Body for the caller.
        body: Body,
        /// When the record was written.
        at: TimeMs,
    },
    /// The attempt certainly did not run; the key may be used again.
    NotRun {
        /// Attempt that did not run.
        attempt: AttemptId,
        /// When the record was written.
        at: TimeMs,
    },
}

/// Returns the table key of a record.
///
/// Ids may contain a slash, which would let the records of two organisations share a key; `%`
/// cannot occur in an id, so escaping the slash keeps keys distinct.
pub fn table_key(org: &OrgId, service: &ServiceId, key: &IdempotencyKey) -> String {
    let escape = |text: &str| text.replace('/', "%2F");
    format!(
        "outcome/{}/{}/{}",
        escape(org.as_str()),
        escape(service.as_str()),
        escape(key.as_str())
    )
}

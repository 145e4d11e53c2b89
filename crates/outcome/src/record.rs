//! Outcome record of one idempotency key.

use dw_base::AttemptId;
use dw_base::IdempotencyKey;
use dw_base::Incarnation;
use dw_base::NodeId;
use dw_base::OrgId;
use dw_base::ServiceId;
use dw_base::TimeMs;
use serde::Deserialize;
use serde::Serialize;

/// Body of a response, or its location.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Body {
    /// The body itself, as JSON text.
    Inline(String),
    /// Key of the body in the object store.
    Object(String),
}

/// State of the call with one idempotency key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "state")]
pub enum Record {
    /// An attempt may be running.
    Running {
        /// Attempt that created the record.
        attempt: AttemptId,
        /// Agent that makes the attempt.
        agent: NodeId,
        /// Incarnation of the agent.
        incarnation: Incarnation,
        /// Hash of the request body.
        body_hash: String,
        /// Time at which the record was created.
        since: TimeMs,
        /// Latest end of the attempt, on the clock of its agent.
        until: TimeMs,
    },
    /// The call has run.
    Done {
        /// Attempt that ran.
        attempt: AttemptId,
        /// Hash of the request body.
        body_hash: String,
        /// HTTP status of the response.
        http_status: u16,
        /// Body of the response.
        body: Body,
        /// Time at which the record was written.
        at: TimeMs,
    },
    /// The attempt did not run; the key may be used again.
    NotRun {
        /// Attempt that did not run.
        attempt: AttemptId,
        /// Time at which the record was written.
        at: TimeMs,
    },
}

/// Returns the table key of a record.
///
/// Ids may contain slashes, so unescaped ids of two organisations could result in the same key. Ids
/// cannot contain `%`, so escaping the slashes as `%2F` keeps the keys distinct.
pub fn table_key(org: &OrgId, service: &ServiceId, key: &IdempotencyKey) -> String {
    let escape = |text: &str| text.replace('/', "%2F");
    format!(
        "outcome/{}/{}/{}",
        escape(org.as_str()),
        escape(service.as_str()),
        escape(key.as_str())
    )
}

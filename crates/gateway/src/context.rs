//! One caller's request on its way.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;

use dw_base::Bytes;
use dw_base::DurationMs;
use dw_base::ServiceId;
use dw_base::TimeMs;
use dw_base::WeightsVersion;
use dw_port::RequestHead;
use dw_route::Organisation;
use dw_route::Route;
use http::HeaderMap;
use http::Method;
use http::Uri;

/// Heads of a request and its answer, and a short answer.
const OVERHEAD_BYTES: u64 = 1_200;

/// One caller's request on its way.
pub(crate) struct RequestContext {
    pub(crate) request_head: RequestHead,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: bytes::Bytes,
    pub(crate) route: Arc<Route>,
    pub(crate) organisation: Option<Arc<Organisation>>,
    pub(crate) service: ServiceId,
    pub(crate) arrived: TimeMs,
    /// When the caller or the route stops waiting.
    pub(crate) deadline: TimeMs,
    /// Tries at upstreams so far.
    pub(crate) attempts: Cell<u32>,
}

impl RequestContext {
    /// Returns the time that is left.
    pub(crate) fn remaining(&self, now: TimeMs) -> DurationMs {
        self.deadline.since(now)
    }

    /// Returns the length of the request and of a usual answer.
    pub(crate) fn bytes(&self) -> Bytes {
        Bytes(self.body.len() as u64 + OVERHEAD_BYTES)
    }

    /// Returns who shares the cached prompt, without the weights.
    pub(crate) fn scope(&self) -> String {
        let model = self
            .request_head
            .model
            .as_ref()
            .map_or("", |model| model.as_str());
        match self.organisation.as_ref().filter(|org| org.exclusive) {
            Some(organisation) => format!("{model}/{}", organisation.org),
            None => model.to_owned(),
        }
    }

    /// Returns the priority at the engine.
    pub(crate) fn priority(&self) -> u8 {
        let organisation_priority = self.organisation.as_ref().and_then(|org| org.priority);
        organisation_priority.unwrap_or(self.route.priority)
    }
}

/// Returns the salt of cached prompts of a scope and weights.
pub(crate) fn salt(scope: &str, weights: WeightsVersion) -> String {
    format!("{scope}@{weights}")
}

/// Shared ownership of a job by the request and the relay of its answer.
pub(crate) type SharedContext = Rc<RequestContext>;

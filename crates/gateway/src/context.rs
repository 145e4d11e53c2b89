//! State of one request while it is handled.

use std::cell::Cell;
use std::cell::OnceCell;
use std::rc::Rc;
use std::sync::Arc;

use dw_base::Bytes;
use dw_base::DurationMs;
use dw_base::ModelPart;
use dw_base::RequestDigest;
use dw_base::ServiceId;
use dw_base::SoftwareVersion;
use dw_base::TimeMs;
use dw_base::WeightsVersion;
use dw_port::RequestHead;
use dw_route::Organisation;
use dw_route::Resolved;
use dw_route::Route;
use http::request::Parts;
use http::HeaderMap;
use http::Method;
use http::Uri;

use crate::judged_by::JudgedBy;
use crate::memory::Reservation;
use crate::quarantine::ProbeKind;

/// Estimated size of the heads of a request and its answer, and of a short answer body.
const OVERHEAD_BYTES: u64 = 1_200;

/// Maximum number of prompt parts in a log line.
const MAX_LOGGED_PARTS: usize = 16;

/// State of one request while it is handled.
pub(crate) struct RequestContext {
    pub(crate) request_head: RequestHead,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: bytes::Bytes,
    /// Memory of the body.
    pub(crate) _held: Reservation,
    pub(crate) route: Arc<Route>,
    pub(crate) organisation: Option<Arc<Organisation>>,
    pub(crate) judged_by: JudgedBy,
    pub(crate) service: ServiceId,
    /// The only version of an upstream's software that may run it, for a stream that goes on.
    pub(crate) software: Option<SoftwareVersion>,
    pub(crate) arrived: TimeMs,
    /// When the caller's deadline or the route's timeout is reached, whichever comes first.
    pub(crate) deadline: TimeMs,
    /// Number of attempts so far.
    pub(crate) attempts: Cell<u32>,
    /// What it tests, if it is sent as a probe of what is in quarantine.
    pub(crate) probe: Cell<Option<ProbeKind>>,
    /// Digest of the content, once it is needed.
    pub(crate) digest: OnceCell<RequestDigest>,
}

/// A request whose route is known and that has been read.
pub(crate) struct AcceptedRequest {
    pub(crate) request_head: RequestHead,
    pub(crate) head: Parts,
    pub(crate) body: bytes::Bytes,
    /// Memory of the body.
    pub(crate) held: Reservation,
    pub(crate) resolved: Resolved,
    pub(crate) judged_by: JudgedBy,
    pub(crate) arrived: TimeMs,
    pub(crate) deadline: TimeMs,
}

impl AcceptedRequest {
    /// Returns the state of a request to a service; `software` is the only version that may run it.
    pub(crate) fn into_context(
        self,
        service: ServiceId,
        software: Option<SoftwareVersion>,
    ) -> RequestContext {
        RequestContext {
            request_head: self.request_head,
            method: self.head.method,
            uri: self.head.uri,
            headers: self.head.headers,
            body: self.body,
            _held: self.held,
            route: self.resolved.route,
            organisation: self.resolved.organisation,
            judged_by: self.judged_by,
            service,
            software,
            arrived: self.arrived,
            deadline: self.deadline,
            attempts: Cell::new(0),
            probe: Cell::new(None),
            digest: OnceCell::new(),
        }
    }
}

impl RequestContext {
    /// Returns the time until the deadline.
    pub(crate) fn remaining(&self, now: TimeMs) -> DurationMs {
        self.deadline.since(now)
    }

    /// Returns the estimated number of bytes that the request and its answer transfer.
    pub(crate) fn bytes(&self) -> Bytes {
        Bytes(self.body.len() as u64 + OVERHEAD_BYTES)
    }

    /// Returns the scope in which cached prompts are shared: the model, and the organisation if its
    /// cache is exclusive. The weights are not part of it.
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

    /// Returns the parts of the prompt that other requests may share: all but the last one.
    pub(crate) fn shared_parts(&self) -> Vec<ModelPart> {
        let model = self.request_head.model.as_ref();
        let model = model.map_or("", |model| model.as_str());
        let shared = self.request_head.prompt.split_last();
        let shared = shared.map_or(&[][..], |(_, shared)| shared);
        shared
            .iter()
            .map(|part| ModelPart::new(model, part))
            .collect()
    }

    /// Returns the digest of the request's content: the organisation, the method, the path, the body, and
    /// the prompt parts that other requests may share.
    ///
    /// Headers stay out, as those that differ between two attempts of a caller do not change what runs.
    pub(crate) fn digest(&self) -> RequestDigest {
        *self.digest.get_or_init(|| {
            let organisation = self.organisation.as_ref();
            let organisation = organisation.map_or("", |organisation| organisation.org.as_str());
            let path = self.uri.path_and_query().map_or("", |path| path.as_str());
            let parts = self.shared_parts().into_iter();
            let parts: Vec<u8> = parts.flat_map(|part| part.0.to_be_bytes()).collect();
            let content: [&[u8]; 4] = [
                self.method.as_str().as_bytes(),
                path.as_bytes(),
                &parts,
                &self.body,
            ];
            RequestDigest::new(organisation, content)
        })
    }

    /// Returns the first shared parts as text for logs.
    pub(crate) fn logged_parts(&self) -> String {
        let parts = self.shared_parts().into_iter().take(MAX_LOGGED_PARTS);
        let parts: Vec<String> = parts.map(|part| part.to_string()).collect();
        parts.join(",")
    }

    /// Returns the priority of the request at the engine.
    pub(crate) fn priority(&self) -> u8 {
        let organisation_priority = self.organisation.as_ref().and_then(|org| org.priority);
        organisation_priority.unwrap_or(self.route.priority)
    }
}

/// Returns the cache salt for a scope and a version of the weights.
pub(crate) fn salt(scope: &str, weights: WeightsVersion) -> String {
    format!("{scope}@{weights}")
}

/// Context that the request and the relay of its answer share.
pub(crate) type SharedContext = Rc<RequestContext>;

//! Heads of requests and answers.

use std::net::SocketAddr;

use dw_base::DurationMs;
use dw_base::OrgId;
use dw_base::RequestsPerS;
use dw_base::UpstreamId;
use dw_base::WeightsVersion;
use http::request;
use http::HeaderMap;
use http::StatusCode;

use crate::request_head::RequestHead;
use crate::request_head::RequestHeadError;

/// What a router adds to a request that it forwards.
#[derive(Clone, Debug)]
pub struct Envelope {
    /// Upstream that is to run the request; any other refuses it.
    pub upstream: UpstreamId,
    /// Time that is left.
    pub deadline_ms: DurationMs,
    /// Organisation that sends the request.
    pub org: Option<OrgId>,
    /// Priority at the engine, 0 first.
    pub priority: Option<u8>,
    /// Weights that are to run the request; an engine with others refuses it.
    pub weights: Option<WeightsVersion>,
    /// Separates cached prompts that must not be shared.
    pub salt: Option<String>,
    /// Where the engine fetches parts of the prompt that it does not hold.
    pub fetch_from: Option<SocketAddr>,
    /// Where the engine saves parts of the prompt that it computes.
    pub save_to: Option<SocketAddr>,
    /// Last event that the caller has received from an earlier run.
    pub resume_after: Option<String>,
}

/// What an answer says about the requests that its upstream takes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum NamedLimit {
    /// It names no limit.
    #[default]
    Unlimited,
    /// Requests that the upstream takes from all VMs together.
    Limit(RequestsPerS),
    /// It names something that is not a rate.
    Unreadable,
}

/// Decoded head of an upstream's answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseHead {
    /// Id of the request that is answered.
    pub request_id: Option<String>,
    /// Whether the upstream says that it did not run the request.
    pub not_run: bool,
    /// Whether another upstream has the address, or the engine has other weights.
    pub misdirected: bool,
    /// Upstream that answered, where it says so.
    pub upstream: Option<String>,
    /// Weights that the engine has.
    pub weights: Option<WeightsVersion>,
    /// Time after which the upstream closes an idle connection.
    pub idle_ms: Option<DurationMs>,
    /// Whether the upstream closes the connection after this answer.
    pub closes: bool,
    /// Whether the upstream leaves and takes no new work.
    pub leaving: bool,
    /// Time for which the upstream, which turns the request away, wants no others.
    pub pause_ms: Option<DurationMs>,
    /// Limit of the requests that the upstream takes.
    pub limit: NamedLimit,
}

/// Names and formats of headers.
pub trait Codec: Send + Sync {
    /// Decodes the head of a caller's request.
    ///
    /// # Errors
    ///
    /// Returns an error that names the header and the remedy.
    fn decode_request(&self, head: &request::Parts) -> Result<RequestHead, RequestHeadError>;

    /// Sets the id of a request that names none.
    fn set_default_id(&self, headers: &mut HeaderMap, id: &'static str);

    /// Returns the headers for the upstream: the caller's, less those that concern one connection
    /// or that only a router may set, and those of the envelope.
    fn upstream_headers(&self, caller: &HeaderMap, envelope: &Envelope) -> HeaderMap;

    /// Decodes the head of an upstream's answer.
    fn decode_response(&self, status: StatusCode, headers: &HeaderMap) -> ResponseHead;

    /// Returns the headers for the caller: the upstream's, less those that concern one connection.
    fn caller_headers(&self, upstream: &HeaderMap) -> HeaderMap;
}

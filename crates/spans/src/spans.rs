//! Export of spans and propagation of trace context.

use std::borrow::Cow;
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use fastrace::collector::Config;
use fastrace::collector::SpanContext;
use fastrace::Span;
use fastrace_opentelemetry::OpenTelemetryReporter;
use opentelemetry::InstrumentationScope;
use opentelemetry_otlp::Protocol;
use opentelemetry_otlp::SpanExporter;
use opentelemetry_otlp::WithExportConfig;
use opentelemetry_sdk::Resource;
use thiserror::Error;

/// Timeout of one export request.
const EXPORT_TIMEOUT: Duration = Duration::from_secs(5);

/// Span export could not be started, or a trace context is invalid.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum SpanError {
    /// The exporter cannot be created for the endpoint.
    #[error("span exporter for {endpoint:?} cannot be created: {detail}; write http://IP:PORT/v1/traces")]
    Exporter {
        /// URL of the OTLP endpoint.
        endpoint: String,
        /// Error of the exporter.
        detail: String,
    },
    /// A `traceparent` header is malformed.
    #[error("{0:?} is not a W3C traceparent; write 00-<trace id>-<parent id>-<flags>")]
    TraceParent(String),
}

/// Exports the remaining spans when dropped.
#[derive(Debug)]
pub struct SpanGuard(());

impl Drop for SpanGuard {
    fn drop(&mut self) {
        fastrace::flush();
    }
}

/// Exports spans with OTLP over HTTP to `endpoint`, on the background thread of `fastrace`.
///
/// # Errors
///
/// Returns an error if the exporter rejects the endpoint.
pub fn start_spans(service_name: &str, endpoint: &str) -> Result<SpanGuard, SpanError> {
    let exporter = SpanExporter::builder()
        .with_http()
        .with_protocol(Protocol::HttpBinary)
        .with_endpoint(endpoint)
        .with_timeout(EXPORT_TIMEOUT)
        .build()
        .map_err(|e| SpanError::Exporter {
            endpoint: endpoint.to_owned(),
            detail: e.to_string(),
        })?;
    let resource = Resource::builder()
        .with_service_name(service_name.to_owned())
        .build();
    let scope = InstrumentationScope::builder("dandelionwall").build();
    let reporter = OpenTelemetryReporter::new(exporter, Cow::Owned(resource), scope);
    fastrace::set_reporter(reporter, Config::default());
    Ok(SpanGuard(()))
}

/// W3C trace context of a request.
#[derive(Clone, Copy, Debug)]
pub struct TraceParent(SpanContext);

impl TraceParent {
    /// Creates a context with a random trace id and span id.
    pub fn random() -> Self {
        TraceParent(SpanContext::random())
    }

    /// Starts a span whose parent is this context.
    pub fn span(self, name: impl Into<Cow<'static, str>>) -> Span {
        Span::root(name, self.0)
    }

    /// Returns the context for children of `span`, or this context if spans are not collected.
    pub fn child_of(self, span: &Span) -> Self {
        SpanContext::from_span(span).map_or(self, TraceParent)
    }
}

impl FromStr for TraceParent {
    type Err = SpanError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        SpanContext::decode_w3c_traceparent(text)
            .map(TraceParent)
            .ok_or_else(|| SpanError::TraceParent(text.chars().take(64).collect()))
    }
}

impl fmt::Display for TraceParent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0.encode_w3c_traceparent())
    }
}

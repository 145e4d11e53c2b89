//! Spans and trace context.

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

/// Longest wait for one export.
const EXPORT_TIMEOUT: Duration = Duration::from_secs(5);

/// Spans cannot be exported.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum SpanError {
    /// The exporter rejects its settings.
    #[error("span exporter for {endpoint:?} cannot be created: {detail}; write http://IP:PORT/v1/traces")]
    Exporter {
        /// Endpoint.
        endpoint: String,
        /// What the exporter reported.
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

/// Exports spans by OTLP over HTTP to `endpoint`, on the collector's own thread.
///
/// # Errors
///
/// Returns an error if the exporter rejects the endpoint.
pub fn start_spans(process: &str, endpoint: &str) -> Result<SpanGuard, SpanError> {
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
        .with_service_name(process.to_owned())
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
    /// Starts a new trace.
    pub fn random() -> Self {
        TraceParent(SpanContext::random())
    }

    /// Starts a span whose parent is this context.
    pub fn span(self, name: impl Into<Cow<'static, str>>) -> Span {
        Span::root(name, self.0)
    }

    /// Returns the context whose parent is `span`, or this one if spans are not collected.
    pub fn below(self, span: &Span) -> Self {
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

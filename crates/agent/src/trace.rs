//! Spans of one request.

use dw_spans::TraceParent;
use fastrace::Span;

/// Spans of one request below the router's span.
pub(crate) struct Trace {
    root: Span,
}

impl Trace {
    /// Starts the span of a request; without a valid context nothing is recorded.
    pub(crate) fn start(traceparent: Option<&str>) -> Self {
        let parent = traceparent.and_then(|text| text.parse::<TraceParent>().ok());
        Trace {
            root: parent.map_or_else(Span::noop, |parent| parent.span("agent")),
        }
    }

    /// Starts the span of a step, which ends when it is dropped.
    pub(crate) fn step(&self, name: &'static str) -> Span {
        Span::enter_with_parent(name, &self.root)
    }
}

//! Tests of W3C trace context.

use dw_spans::TraceParent;

/// Guards against a trace id that is not propagated, and against malformed headers that are
/// accepted.
#[test]
fn trace_context_is_kept() {
    let text = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    let parent: TraceParent = text.parse().expect("valid");
    assert_eq!(parent.to_string(), text);
    let child = parent.child_of(&parent.span("request")).to_string();
    assert!(
        child.starts_with("00-0af7651916cd43dd8448eb211c80319c-"),
        "{child}"
    );
    for malformed in [
        "",
        "00-1-2",
        "zz-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
    ] {
        assert!(malformed.parse::<TraceParent>().is_err(), "{malformed}");
    }
}

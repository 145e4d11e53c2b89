//! Trace context of requests.

use dw_spans::TraceParent;

/// Guards against a trace id that changes on the way through, and against malformed headers.
#[test]
fn trace_context_is_kept() {
    let text = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    let parent: TraceParent = text.parse().expect("valid");
    assert_eq!(parent.to_string(), text);
    let below = parent.below(&parent.span("request")).to_string();
    assert!(
        below.starts_with("00-0af7651916cd43dd8448eb211c80319c-"),
        "{below}"
    );
    for bad in [
        "",
        "00-1-2",
        "zz-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
    ] {
        assert!(bad.parse::<TraceParent>().is_err(), "{bad}");
    }
}

//! The cases.

pub mod drill;
pub mod fences;
pub mod keys;
pub mod quota;
pub mod turned_away;
pub mod versions;

use std::time::Duration;
use std::time::Instant;

/// Model that engines name first.
pub const FIRST_MODEL: &str = "bodu1";

/// Model that engines name second.
pub const SECOND_MODEL: &str = "bodu2";

const LIMITS: &str =
    "\"limits\":{\"header-bytes\":16384,\"body-bytes\":4194304,\"header-ms\":3000,\"idle-ms\":15000}";

/// Formats a route.
pub fn route(name: &str, kind: &str, service: &str) -> String {
    let is_stream = kind == "streaming";
    format!(
        "{{\"name\":\"{name}\",\"host\":\"h.example\",\"prefix\":\"/{name}/\",\"kind\":\"{kind}\",\
         \"timeout-ms\":3000,\"slo-ms\":500,\"priority\":1,\"service\":\"{service}\",\"max-attempts\":2,\
         \"anonymous\":false,\"sticky\":{is_stream},\"can-resume\":{is_stream},\"gap-target-ms\":500}}"
    )
}

/// Formats a configuration with the services `llm` and `desk`.
pub fn configuration(version: u64, routes: &[String], tenants: &str) -> String {
    let models = format!("{{\"name\":\"{FIRST_MODEL}\"}},{{\"name\":\"{SECOND_MODEL}\"}}");
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"llm\",\
         \"health-path\":\"/healthz\",\"max-conns\":470,\"protocol\":\"h1\",\"tls\":false,\"engine\":\
         {{\"slots\":32,\"kv-capacity\":251640,\"kv-bytes\":18432,\"link-mbps\":88000.0,\"moves\":true,\
         \"backups\":true,\"stride\":6,\"max-inflight\":12,\"pin-ms\":4000.0,\"hold-ms\":2000.0,\
         \"models\":[{models}]}}}},{{\"name\":\"desk\",\"health-path\":\"/healthz\",\"max-conns\":210,\
         \"protocol\":\"h1\",\"tls\":false}}],{LIMITS},\"tenants\":[{tenants}]}}",
        routes.join(",")
    )
}

/// Waits until a condition holds; returns whether it did.
pub fn wait_until(timeout: Duration, condition: impl Fn() -> bool) -> bool {
    let until = Instant::now() + timeout;
    while !condition() {
        if Instant::now() > until {
            return false;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    true
}

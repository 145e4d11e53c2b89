//! Memory of quotas.

use dw_quota::Counter;
use dw_quota::Requester;

/// Guards against state that outgrows a sidecar or a router with 2,000 organisations: docs/CAPACITY.md adds up
/// these lengths.
#[test]
fn state_of_quotas_is_large() {
    for (bytes, most_bytes) in [
        (Counter::ACCOUNT_BYTES, 240),
        (Counter::RECENT_GRANT_BYTES, 48),
        (Requester::ORGANISATION_BYTES, 80),
        (Requester::DENIAL_BYTES, 64),
    ] {
        println!("{bytes} bytes");
        assert!(bytes <= most_bytes, "{bytes} bytes");
    }
}

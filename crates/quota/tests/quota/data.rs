//! Test data about quotas.

use std::net::SocketAddr;

use dw_base::ConfigVersion;
use dw_base::OrgId;
use dw_base::QuotaAmount;
use dw_base::QuotaLimit;
use dw_base::QuotaRate;
use dw_wire::QuotaQuestion;

/// Returns the address of a process.
pub(crate) fn addr(process: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, process as u8 + 1], 7340))
}

/// Returns the organisation that the tests ask for.
pub(crate) fn org() -> OrgId {
    "acme".parse().expect("name is valid")
}

/// Returns a quota of one version of the configuration.
pub(crate) fn limit(version: u64, per_s: u64, burst: u64) -> QuotaLimit {
    QuotaLimit {
        version: ConfigVersion(version),
        rate: QuotaRate(per_s * 1_000),
        burst: QuotaAmount(burst),
    }
}

/// Returns a question for an amount with an urgency.
pub(crate) fn question(
    number: u32,
    limit: QuotaLimit,
    (amount, urgency): (u64, u8),
) -> QuotaQuestion {
    QuotaQuestion {
        number,
        org: org(),
        limit,
        amount: QuotaAmount(amount),
        urgency,
    }
}

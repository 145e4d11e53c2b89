//! Router's use of the answers of counters, and of its share without them.

use dw_base::DurationMs;
use dw_base::QuotaAmount;
use dw_base::QuotaLimit;
use dw_base::TimeMs;
use dw_quota::Claim;
use dw_quota::Isolated;
use dw_quota::Requester;
use dw_wire::QuotaResult;

use crate::data::limit;
use crate::data::org;

fn claim(limit: QuotaLimit, amount: u64, urgency: u8) -> Claim {
    Claim {
        org: org(),
        limit,
        amount: QuotaAmount(amount),
        urgency,
    }
}

fn record(requester: &mut Requester, (limit, amount, urgency): (QuotaLimit, u64, u8)) {
    let denied = QuotaResult::Denied(DurationMs(8_000));
    let result = requester.record(&claim(limit, amount, urgency), denied, TimeMs(1_000));
    assert_eq!(result, Err(DurationMs(8_000)));
}

fn wait_ms(
    requester: &Requester,
    (limit, amount, urgency): (QuotaLimit, u64, u8),
    now: u64,
) -> Option<u64> {
    let until = requester.denied_until(&claim(limit, amount, urgency), TimeMs(now))?;
    Some(until.since(TimeMs(now)).0)
}

/// Guards against a denial that outlasts a raise of the quota, or that refuses requests which the counter
/// would grant: less urgent ones with a part of their own, and smaller ones.
#[test]
fn denial_refuses_only_what_it_is_about() {
    let low = limit(1, 10_000, 10_000);
    let mut requester = Requester::default();
    record(&mut requester, (low, 12_000, 1));
    assert_eq!(wait_ms(&requester, (low, 12_000, 1), 1_100), Some(7_900));
    assert_eq!(wait_ms(&requester, (low, 2_400, 1), 1_100), None);
    assert_eq!(wait_ms(&requester, (low, 12_000, 2), 1_100), None);
    assert_eq!(wait_ms(&requester, (low, 12_000, 0), 1_100), None);
    let raised = limit(2, 700_000, 700_000);
    assert_eq!(wait_ms(&requester, (raised, 12_000, 1), 1_100), None);
    // Others may have given something back, or know of a newer configuration.
    assert_eq!(wait_ms(&requester, (low, 12_000, 1), 2_100), None);
}

/// Guards against routers without a counter that use turns of short requests for long ones, which together
/// are many times a small quota.
#[test]
fn isolated_routers_use_more_than_their_shares() {
    let quota = limit(1, 36_000, 36_000);
    for routers in [25, 45, 340] {
        let mut used = 0;
        for router in 0..routers {
            let mut requester = Requester::default();
            let share = Isolated {
                routers,
                router_hash: (u32::MAX / routers) * router + u32::MAX / routers / 2,
            };
            for step in 0..400 {
                let amount = if step == 0 { 2_400 } else { 71_000 };
                let now = TimeMs(1_000 + step * 20);
                let taken = requester.take_isolated(&claim(quota, amount, 1), &share, now);
                used += taken.map_or(0, |()| amount);
            }
        }
        assert!(used <= 36_000 + 71_000, "{routers} routers: {used}");
    }
}

//! Measures overshoot and underuse of a shared limit in virtual time.

use dw_base::TimeMs;
use dw_limit::Borrower;
use dw_limit::Bucket;

const LIMIT_PER_S: f64 = 120.0;
const RUN_MS: u64 = 20_000;
const DELAY_MS: u64 = 3;

/// Returns what was allowed as a share of the limit, at twice the demand.
fn allowed_share(routers: u64, cut_off: bool) -> f64 {
    let start = TimeMs(0);
    let mut owner = Bucket::new(LIMIT_PER_S, LIMIT_PER_S / 10.0, start);
    let mut borrowers = vec![Borrower::new(LIMIT_PER_S, start); routers as usize];
    let mut loans: Vec<(u64, usize, Option<f64>)> = Vec::new();
    let mut allowed = 0.0;
    let gap_ms = routers * 1_000 / (2 * LIMIT_PER_S as u64);
    for step in 0..RUN_MS {
        let now = TimeMs(step);
        for (at, router, loan) in std::mem::take(&mut loans) {
            match loan {
                _ if at > step => loans.push((at, router, loan)),
                Some(amount) => borrowers[router].add_loan(amount, now),
                None => borrowers[router].owner_unreachable(routers as u32, now),
            }
        }
        for (router, borrower) in borrowers.iter_mut().enumerate() {
            if (step + router as u64).is_multiple_of(gap_ms.max(1)) {
                allowed += f64::from(u8::from(borrower.take(1.0, now)));
            }
            if let Some(wanted) = borrower.amount_to_borrow() {
                let reachable = !(cut_off && router == 0);
                let loan = reachable.then(|| owner.lend(wanted, now));
                loans.push((step + DELAY_MS, router, loan));
            }
        }
    }
    allowed / (LIMIT_PER_S * RUN_MS as f64 / 1_000.0)
}

/// Guards against loans that exceed the limit or leave it unused; a router that is cut off adds
/// at most its limit/N.
#[test]
fn limit_is_shared() {
    for routers in [1, 4, 12] {
        let share = allowed_share(routers, false);
        println!("{routers} routers: {share:.3} of the limit");
        assert!((0.95..=1.05).contains(&share), "{routers} routers: {share}");
        let cut = allowed_share(routers, true);
        println!("{routers} routers, one cut off: {cut:.3} of the limit");
        let most = 1.05 + 1.0 / routers as f64;
        assert!((0.95..=most).contains(&cut), "{routers} routers: {cut}");
    }
}

/// Guards against loans that pile up at routers without traffic.
#[test]
fn unused_loan_expires() {
    let mut borrower = Borrower::new(LIMIT_PER_S, TimeMs(0));
    borrower.add_loan(5.0, TimeMs(0));
    assert!(borrower.take(1.0, TimeMs(1_000)));
    assert!(!borrower.take(1.0, TimeMs(2_001)));
}

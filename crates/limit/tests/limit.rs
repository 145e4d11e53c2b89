//! Tests of how closely routers keep to a shared limit, in virtual time.

use dw_base::TimeMs;
use dw_limit::Borrower;
use dw_limit::Bucket;
use dw_limit::Share;

const LIMIT_PER_S: f64 = 120.0;
const DURATION_MS: u64 = 20_000;
const LOAN_DELAY_MS: u64 = 3;

/// Returns the share of one of several routers.
fn share(routers: u64, router: usize) -> Share {
    Share {
        routers: routers as u32,
        place: (router as u32).wrapping_mul(2_654_435_761),
    }
}

/// Returns the ratio of allowed requests to the limit, at a demand of twice the limit.
fn allowed_ratio(routers: u64, isolate_one: bool) -> f64 {
    let start = TimeMs(0);
    let mut owner = Bucket::new(LIMIT_PER_S, LIMIT_PER_S / 10.0, start);
    let mut borrowers = vec![Borrower::new(LIMIT_PER_S, start); routers as usize];
    let mut loans: Vec<(u64, usize, Option<f64>)> = Vec::new();
    let mut allowed = 0.0;
    let interval_ms = routers * 1_000 / (2 * LIMIT_PER_S as u64);
    for step in 0..DURATION_MS {
        let now = TimeMs(step);
        for (due_ms, router, loan) in std::mem::take(&mut loans) {
            match loan {
                _ if due_ms > step => loans.push((due_ms, router, loan)),
                Some(amount) => borrowers[router].add_loan(amount, now),
                None => borrowers[router].owner_unreachable(share(routers, router), now),
            }
        }
        for (router, borrower) in borrowers.iter_mut().enumerate() {
            if (step + router as u64).is_multiple_of(interval_ms.max(1)) {
                allowed += f64::from(u8::from(borrower.take(1.0, now)));
            }
            if let Some(wanted) = borrower.amount_to_borrow() {
                let reachable = !(isolate_one && router == 0);
                let loan = reachable.then(|| owner.lend(wanted, now));
                loans.push((step + LOAN_DELAY_MS, router, loan));
            }
        }
    }
    allowed / (LIMIT_PER_S * DURATION_MS as f64 / 1_000.0)
}

/// Guards against loans that exceed the limit or leave part of it unused. A router that cannot
/// reach the owner adds at most its equal share of the limit.
#[test]
fn limit_is_shared() {
    for routers in [1, 4, 12] {
        let ratio = allowed_ratio(routers, false);
        println!("{routers} routers: {ratio:.3} of the limit");
        assert!((0.95..=1.05).contains(&ratio), "{routers} routers: {ratio}");
        let isolated_ratio = allowed_ratio(routers, true);
        println!("{routers} routers, one isolated: {isolated_ratio:.3} of the limit");
        let max_ratio = 1.05 + 1.0 / routers as f64;
        assert!(
            (0.95..=max_ratio).contains(&isolated_ratio),
            "{routers} routers: {isolated_ratio}"
        );
    }
}

/// Guards against routers without an owner that each save up one request, which hundreds of them then send at
/// the same time.
#[test]
fn shares_of_many_routers_add_up_to_more_than_the_limit() {
    for (routers, limit_per_s) in [(5, 4.7), (61, 1.9), (103, 4.7), (340, 4.7), (340, 20.0)] {
        let mut borrowers = vec![Borrower::new(limit_per_s, TimeMs(0)); routers];
        let mut allowed_at = Vec::new();
        for step in 0..60_000_u64 {
            let now = TimeMs(step);
            if step % 1_000 == 0 {
                for (router, borrower) in borrowers.iter_mut().enumerate() {
                    borrower.owner_unreachable(share(routers as u64, router), now);
                }
            }
            // Quiet for 20 s, and then five times the limit.
            let interval_ms = (200.0 / limit_per_s) as u64;
            if step >= 20_000 && step % interval_ms == 0 {
                let router = (step / interval_ms * 7) as usize % routers;
                if borrowers[router].take(1.0, now) {
                    allowed_at.push(step);
                }
            }
        }
        let in_4_s = |from: &u64| {
            let later = allowed_at
                .iter()
                .filter(|at| (*from..*from + 4_000).contains(*at));
            later.count()
        };
        let most = allowed_at.iter().map(in_4_s).max().unwrap_or(0);
        // The owner's bucket holds one second of allowance.
        let bound = (5.0 * limit_per_s).ceil() as usize;
        assert!(
            most <= bound,
            "{routers} routers, limit {limit_per_s}: {most} in 4 s, bound {bound}"
        );
        assert!(
            !allowed_at.is_empty(),
            "{routers} routers use nothing of the limit"
        );
    }
}

/// Guards against loans that accumulate at routers without traffic.
#[test]
fn unused_loan_expires() {
    let mut borrower = Borrower::new(LIMIT_PER_S, TimeMs(0));
    borrower.add_loan(5.0, TimeMs(0));
    assert!(borrower.take(1.0, TimeMs(1_000)));
    assert!(!borrower.take(1.0, TimeMs(2_001)));
}

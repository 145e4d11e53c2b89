//! Counter of one process: changes of who counts, of the quota, and repeated questions.

use std::net::SocketAddr;

use dw_base::DurationMs;
use dw_base::QuotaAmount;
use dw_base::QuotaLimit;
use dw_base::TimeMs;
use dw_quota::first_counter;
use dw_quota::Counter;
use dw_wire::QuotaResult;
use dw_wire::QuotaReturn;

use crate::data::addr;
use crate::data::limit;
use crate::data::org;
use crate::data::question;

/// A counter that is ticked often enough.
struct Process {
    counter: Counter,
    now: u64,
    number: u32,
}

impl Process {
    fn new(own: usize) -> Self {
        Process {
            counter: Counter::new(addr(own), TimeMs(0)),
            now: 0,
            number: 0,
        }
    }

    fn run(&mut self, live: &[usize], length_ms: u64) {
        for _ in 0..length_ms / 100 {
            self.now += 100;
            let live: Vec<SocketAddr> = live.iter().copied().map(addr).collect();
            let registered = live.len();
            self.counter.tick(live, registered, TimeMs(self.now));
        }
    }

    fn ask(&mut self, limit: QuotaLimit, amount: u64, urgency: u8) -> QuotaResult {
        self.number += 1;
        let question = question(self.number, limit, (amount, urgency));
        self.counter.ask(addr(200), &question, TimeMs(self.now)).0
    }

    /// Returns how many requests of 1,000 are granted before the first that is not.
    fn use_up(&mut self, limit: QuotaLimit) -> u64 {
        (0..)
            .find(|_| self.ask(limit, 1_000, 1) != QuotaResult::Granted)
            .unwrap_or(0)
    }
}

/// Returns the processes in the order in which they count for the organisation.
fn order() -> (usize, usize) {
    match first_counter(&org(), [addr(0), addr(1)].into_iter()) == Some(addr(0)) {
        true => (0, 1),
        false => (1, 0),
    }
}

/// Guards against a second burst from a process that saved it up while another one counted.
#[test]
fn counter_that_is_first_again_has_saved_nothing() {
    let (first, second) = order();
    let mut process = Process::new(second);
    process.run(&[second], 15_000);
    assert!(process.use_up(limit(1, 36_000, 36_000)) >= 36);
    process.run(&[first, second], 10_000);
    process.run(&[second], 500);
    assert_eq!(process.use_up(limit(1, 36_000, 36_000)), 0);
}

/// Guards against a second burst from a process that was cut off while another one counted.
#[test]
fn counter_that_was_cut_off_has_saved_nothing() {
    let (first, second) = order();
    let mut process = Process::new(first);
    process.run(&[first, second], 15_000);
    assert!(process.use_up(limit(1, 36_000, 36_000)) >= 36);
    process.run(&[first], 10_000);
    process.run(&[first, second], 500);
    assert_eq!(process.use_up(limit(1, 36_000, 36_000)), 0);
}

/// Guards against two processes that both grant requests while one takes over from the other.
#[test]
fn new_counter_grants_nothing_while_another_may_count() {
    let (first, second) = order();
    let mut process = Process::new(second);
    process.run(&[first, second], 10_000);
    process.run(&[second], 900);
    assert_eq!(process.use_up(limit(1, 36_000, 36_000)), 0);
    process.run(&[second], 1_000);
    assert!(process.use_up(limit(1, 36_000, 36_000)) > 0);
}

/// Guards against quotas that nobody counts for seconds after all processes have started at once and hear each
/// other one by one.
#[test]
fn processes_that_start_together_count_after_a_second() {
    let (first, second) = order();
    let mut process = Process::new(first);
    process.run(&[first], 600);
    process.run(&[first, second], 700);
    assert!(process.use_up(limit(1, 36_000, 36_000)) > 0);
}

/// Guards against requests that are refused because another process begins to count while both are live, and
/// against an account that is worth more there.
#[test]
fn account_goes_on_at_the_next_process() {
    let (first, second) = order();
    let (mut giver, mut receiver) = (Process::new(second), Process::new(first));
    giver.run(&[second], 15_000);
    receiver.run(&[first], 15_000);
    assert!(giver.use_up(limit(1, 36_000, 36_000)) >= 36);
    giver.run(&[second], 500);
    giver.now += 100;
    let live = vec![addr(first), addr(second)];
    let moved = giver.counter.tick(live, 2, TimeMs(giver.now));
    assert_eq!(moved.len(), 1);
    let (receiver_addr, handed) = &moved[0];
    assert_eq!(*receiver_addr, addr(first));
    receiver.run(&[first, second], 600);
    assert!(receiver.counter.take_over(handed, TimeMs(receiver.now)));
    let granted = receiver.use_up(limit(1, 36_000, 36_000));
    assert!((1..=22).contains(&granted), "{granted} of 600 ms");
    assert!(!receiver.counter.take_over(handed, TimeMs(receiver.now)));
}

/// Guards against an account that is lost when a process which was stopped first gets it handed over and then
/// hears the one that has counted meanwhile.
#[test]
fn account_that_was_handed_over_is_kept_when_its_giver_is_heard() {
    let (first, second) = order();
    let (mut giver, mut receiver) = (Process::new(second), Process::new(first));
    giver.run(&[second], 15_000);
    receiver.run(&[first], 15_000);
    giver.use_up(limit(1, 36_000, 36_000));
    giver.run(&[second], 500);
    giver.now += 100;
    let live = vec![addr(first), addr(second)];
    let moved = giver.counter.tick(live, 2, TimeMs(giver.now));
    receiver.now += 5_000;
    receiver.run(&[first], 100);
    let (_, handed) = &moved[0];
    assert!(receiver.counter.take_over(handed, TimeMs(receiver.now)));
    receiver.run(&[first, second], 300);
    let granted = receiver.use_up(limit(1, 36_000, 36_000));
    assert!((1..=37).contains(&granted), "{granted} of one second");
}

/// Guards against a second burst after a process was stopped.
#[test]
fn counter_that_was_stopped_has_saved_nothing() {
    let mut process = Process::new(0);
    process.run(&[0], 15_000);
    process.use_up(limit(1, 36_000, 36_000));
    process.now += 6_000;
    assert_eq!(process.use_up(limit(1, 36_000, 36_000)), 0);
}

/// Guards against a debt that was small under the quota before and blocks the organisation for long
/// under a much lower one.
#[test]
fn debt_of_a_higher_quota_blocks_a_lower_one() {
    let mut process = Process::new(0);
    process.run(&[0], 15_000);
    let high = limit(1, 700_000, 70_000);
    assert_eq!(process.ask(high, 140_000, 0), QuotaResult::Granted);
    let low = limit(2, 10_000, 10_000);
    process.ask(low, 1_000, 0);
    process.run(&[0], 500);
    assert_eq!(process.ask(low, 1_000, 0), QuotaResult::Granted);
}

/// Guards against a burst that was saved under a higher quota and is spent under a lower one.
#[test]
fn saved_burst_of_a_higher_quota_is_spent_under_a_lower_one() {
    let mut process = Process::new(0);
    process.run(&[0], 15_000);
    process.ask(limit(1, 700_000, 700_000), 1_000, 1);
    process.run(&[0], 1_000);
    assert!(process.use_up(limit(2, 10_000, 10_000)) <= 11);
}

/// Guards against a quota that no configuration holds any more after the store came back from a copy.
#[test]
fn quota_of_a_lost_version_lapses() {
    let mut process = Process::new(0);
    process.run(&[0], 15_000);
    process.use_up(limit(9, 700_000, 700_000));
    // Routers take up the older configuration within the bound; each names what it knows.
    for _ in 0..10 {
        process.run(&[0], 200);
        process.ask(limit(9, 700_000, 700_000), 1, 1);
        process.ask(limit(3, 10_000, 10_000), 1, 1);
    }
    assert!(
        process.use_up(limit(3, 10_000, 10_000)) > 100,
        "version 9 is still named"
    );
    for _ in 0..30 {
        process.run(&[0], 200);
        process.use_up(limit(3, 10_000, 10_000));
    }
    process.run(&[0], 2_000);
    assert!(process.use_up(limit(3, 10_000, 10_000)) <= 11);
}

/// Guards against a quota that a version between holds, when an older and the newest one are equal.
#[test]
fn quota_of_a_version_between_does_not_count() {
    let mut process = Process::new(0);
    process.run(&[0], 15_000);
    process.use_up(limit(5, 10_000, 10_000));
    process.use_up(limit(9, 10_000, 10_000));
    process.use_up(limit(7, 700_000, 700_000));
    process.run(&[0], 2_000);
    assert!(process.use_up(limit(7, 700_000, 700_000)) <= 11);
}

/// Guards against a time to come back at which nothing is granted yet, or long after that.
#[test]
fn denial_names_the_time_of_the_next_grant() {
    let mut process = Process::new(0);
    process.run(&[0], 15_000);
    let limit = limit(1, 10_000, 10_000);
    assert_eq!(process.ask(limit, 71_000, 1), QuotaResult::Granted);
    let QuotaResult::Denied(DurationMs(wait_ms)) = process.ask(limit, 1_000, 1) else {
        panic!("granted in debt");
    };
    process.run(&[0], wait_ms.div_ceil(100) * 100 - 200);
    assert_ne!(process.ask(limit, 1_000, 1), QuotaResult::Granted);
    process.run(&[0], 200);
    assert_eq!(process.ask(limit, 1_000, 1), QuotaResult::Granted);
}

/// Guards against a quota so small that the wait overflows.
#[test]
fn quota_of_nearly_nothing_denies() {
    let mut process = Process::new(0);
    process.run(&[0], 15_000);
    process.ask(limit(1, 36_000, 36_000), 71_000, 1);
    for rate in [1, 0] {
        let mut limit = limit(3 - rate, 0, 0);
        limit.rate.0 = rate;
        process.ask(limit, 71_000, 1);
        assert!(matches!(
            process.ask(limit, 71_000, 1),
            QuotaResult::Denied(_)
        ));
    }
}

/// Guards against a request as large as a tenth of the window, or larger than the burst, that is never
/// granted by a process that has just taken over, or beside many short ones.
#[test]
fn large_request_is_granted_after_a_takeover() {
    let limit = limit(1, 36_000, 36_000);
    for amount in [28_800, 71_000] {
        let mut process = Process::new(0);
        let mut granted_at = None;
        process.run(&[0], 1_000);
        while granted_at.is_none() && process.now < 12_000 {
            process.run(&[0], 100);
            if process.ask(limit, amount, 0) == QuotaResult::Granted {
                granted_at = Some(process.now);
            }
        }
        assert!(
            granted_at.is_some_and(|at| at <= 4_000),
            "{amount}: {granted_at:?}"
        );
    }
}

/// Guards against a debt at a process that has taken over beside the one that the other process granted
/// shortly before.
#[test]
fn new_counter_grants_no_debts_for_a_window() {
    let limit = limit(1, 36_000, 36_000);
    let mut process = Process::new(0);
    let mut granted = 0;
    while process.now < 8_900 {
        process.run(&[0], 100);
        for (amount, urgency) in [(71_000, 0), (12_000, 1), (2_400, 0)] {
            if process.ask(limit, amount, urgency) == QuotaResult::Granted {
                granted += amount;
            }
        }
        let added = 36 * process.now.saturating_sub(1_000);
        assert!(
            granted <= added,
            "{granted} of {added} at {} ms",
            process.now
        );
    }
    assert!(granted >= 36_000 * 6, "{granted}");
}

/// Guards against urgent short requests that long less urgent ones starve, and the other way round, under
/// several times the quota.
#[test]
fn urgencies_starve_each_other() {
    for (rate, long) in [(709_743, 71_000), (36_000, 12_000), (36_000, 71_000)] {
        let limit = limit(1, rate, rate);
        let mut process = Process::new(0);
        process.run(&[0], 15_000);
        let mut used = [0_u64; 2];
        for _ in 0..600 {
            process.run(&[0], 100);
            for (urgency, amount) in [(0, 2_400), (1, long)] {
                for _ in 0..(rate / 10 * 3).div_ceil(amount) {
                    if process.ask(limit, amount, urgency) == QuotaResult::Granted {
                        used[usize::from(urgency)] += amount;
                    }
                }
            }
        }
        let part = used.map(|used| used as f64 / (rate * 60) as f64);
        assert!(part[0] >= 0.5 && part[1] >= 0.05, "{rate} {long}: {part:?}");
        assert!(part[0] + part[1] >= 0.97, "{rate} {long}: {part:?}");
    }
}

/// Guards against a lost answer that costs the organisation the amount twice, or at all if the request
/// gives up, and against an amount that is given back though it was not granted.
#[test]
fn lost_answer_costs_the_amount_again() {
    let limit = limit(1, 36_000, 36_000);
    let mut process = Process::new(0);
    process.run(&[0], 15_000);
    let now = TimeMs(process.now);
    let asked = question(7, limit, (20_000, 1));
    for _ in 0..3 {
        let result = process.counter.ask(addr(200), &asked, now).0;
        assert_eq!(result, QuotaResult::Granted);
    }
    let withdrawn = QuotaReturn {
        org: org(),
        amount: QuotaAmount(20_000),
        number: Some(7),
    };
    for _ in 0..3 {
        process.counter.give_back(addr(200), &withdrawn, now);
    }
    process.number = 100;
    assert_eq!(process.use_up(limit), 36);
}

//! Evidence about prompt parts under drawn histories of crashes, answers and lost announcements.

use std::collections::BTreeSet;

use dw_base::DurationMs;
use dw_base::ModelPart;
use dw_base::TimeMs;
use dw_quarantine::Suspects;
use dw_quarantine::Verdict;
use dw_wire::UpstreamStart;
use proptest::prelude::*;

const ROUTERS: usize = 5;
const SOUND_PARTS: u64 = 6;
const QUERY_OF_DEATH: ModelPart = ModelPart(99);

/// Ends under one part after which no router may send it, once the news has spread.
const ENDS_UNTIL_KNOWN: usize = 5;

fn start(number: u64) -> UpstreamStart {
    UpstreamStart::new(&format!("u{number}").parse().expect("name is valid"), 1)
}

fn is_quarantined(suspects: &Suspects<ModelPart>, part: ModelPart) -> bool {
    matches!(suspects.verdict(&[part]), Verdict::Quarantined(_))
}

/// Routers of one data centre that announce to one another through a relay.
struct Fleet {
    routers: Vec<Suspects<ModelPart>>,
    relay: Suspects<ModelPart>,
    now: TimeMs,
    ended: u64,
}

impl Fleet {
    fn new() -> Self {
        Fleet {
            routers: vec![Suspects::default(); ROUTERS],
            relay: Suspects::relay(),
            now: TimeMs(1_000_000),
            ended: 0,
        }
    }

    /// Ends an upstream that held these prompts for these routers without a first token.
    fn end(&mut self, held: &[(usize, Vec<ModelPart>)]) {
        self.ended += 1;
        for (router, parts) in held {
            self.routers[*router].record_end(parts, start(self.ended), self.now);
        }
    }

    fn answer(&mut self, router: usize, parts: &[ModelPart]) {
        self.routers[router].record_answer(parts, self.now);
    }

    /// Announces what is due; the datagrams of routers for which `is_lost` holds are lost.
    fn announce(&mut self, is_lost: impl Fn(usize) -> bool) {
        self.now = self.now + DurationMs(100);
        for (number, router) in self.routers.iter_mut().enumerate() {
            let reports = router.take_due(self.now);
            if !is_lost(number) {
                self.relay.merge(reports, self.now);
            }
        }
        let reports = self.relay.take_due(self.now);
        for (number, router) in self.routers.iter_mut().enumerate() {
            if !is_lost(number) {
                router.merge(reports.clone(), self.now);
            }
        }
    }
}

/// One request of each part for which a router has it, and whether it is lost with its upstream.
#[derive(Clone, Debug)]
enum Event {
    /// An upstream crashes with prompts of these sound parts.
    Crash(Vec<(usize, u64)>),
    /// A router sends a request with the query of death and one sound part.
    Death(usize, u64),
    /// An answer begins on a sound part.
    Answer(usize, u64),
    /// Announcements, of which those of some routers are lost.
    Announce(u8),
}

fn event() -> impl Strategy<Value = Event> {
    let router = || 0..ROUTERS;
    let part = || 0..SOUND_PARTS;
    prop_oneof![
        1 => proptest::collection::vec((router(), part()), 0..4).prop_map(Event::Crash),
        2 => (router(), part()).prop_map(|(router, part)| Event::Death(router, part)),
        4 => (router(), part()).prop_map(|(router, part)| Event::Answer(router, part)),
        3 => any::<u8>().prop_map(Event::Announce),
    ]
}

proptest! {
    /// Guards against a query of death that is sent on after five ends, and against sound parts that
    /// stay refused after an answer.
    #[test]
    fn query_of_death_is_stopped_and_answered_parts_are_not(
        events in proptest::collection::vec(event(), 1..120)
    ) {
        let mut fleet = Fleet::new();
        let mut deaths = 0;
        for event in events {
            match event {
                Event::Crash(held) => {
                    let held = held.into_iter();
                    let held: Vec<_> = held
                        .map(|(router, part)| (router, vec![ModelPart(part)]))
                        .collect();
                    fleet.end(&held);
                }
                Event::Death(router, part) => {
                    let parts = vec![ModelPart(part), QUERY_OF_DEATH];
                    let verdict = fleet.routers[router].verdict(&parts);
                    if !matches!(verdict, Verdict::Quarantined(_)) {
                        fleet.end(&[(router, parts)]);
                        deaths += 1;
                    }
                }
                Event::Answer(router, part) => fleet.answer(router, &[ModelPart(part)]),
                Event::Announce(lost) => fleet.announce(|router| lost & (1 << router) != 0),
            }
        }
        for _ in 0..20 {
            fleet.announce(|_| false);
        }
        for part in 0..SOUND_PARTS {
            fleet.answer(0, &[ModelPart(part)]);
        }
        for _ in 0..20 {
            fleet.announce(|_| false);
        }
        for router in &fleet.routers {
            if deaths >= ENDS_UNTIL_KNOWN {
                prop_assert!(is_quarantined(router, QUERY_OF_DEATH), "{deaths} ends");
            }
            for part in 0..SOUND_PARTS {
                let verdict = router.verdict(&[ModelPart(part)]);
                prop_assert!(verdict == Verdict::Clear, "sound part {part}: {verdict:?}");
            }
        }
    }
}

/// Guards against counts of one router's own: five ends over 14 routers are less than one each.
#[test]
fn ends_are_counted_over_all_routers() {
    let mut fleet = Fleet::new();
    for router in 0..3 {
        fleet.end(&[(router, vec![QUERY_OF_DEATH])]);
        fleet.announce(|_| false);
    }
    for router in &fleet.routers {
        assert!(is_quarantined(router, QUERY_OF_DEATH));
    }
}

/// Guards against one crash that counts once for each of the requests or routers that it meets.
#[test]
fn one_crash_counts_once() {
    let mut fleet = Fleet::new();
    let held: Vec<_> = (0..ROUTERS)
        .map(|router| (router, vec![ModelPart(1)]))
        .collect();
    fleet.end(&held);
    for _ in 0..15 {
        fleet.announce(|_| false);
    }
    for router in &fleet.routers {
        assert_eq!(router.ends(ModelPart(1)), 1);
    }
}

/// Guards against a router that restarts during an incident and sends the part again.
#[test]
fn restarted_router_learns_of_the_quarantine() {
    let mut fleet = Fleet::new();
    for _ in 0..3 {
        fleet.end(&[(1, vec![QUERY_OF_DEATH])]);
    }
    fleet.announce(|_| false);
    for router in 0..ROUTERS {
        fleet.routers[router] = Suspects::default();
        for _ in 0..12 {
            fleet.announce(|_| false);
        }
        assert!(is_quarantined(&fleet.routers[router], QUERY_OF_DEATH));
    }
}

/// Guards against an answer of one router that leaves the part refused at the others.
#[test]
fn answer_at_one_router_releases_the_part_at_all() {
    let mut fleet = Fleet::new();
    for router in 0..3 {
        fleet.end(&[(router, vec![ModelPart(1)])]);
        fleet.announce(|_| false);
    }
    fleet.answer(4, &[ModelPart(1)]);
    fleet.announce(|_| false);
    for router in &fleet.routers {
        assert_eq!(router.verdict(&[ModelPart(1)]), Verdict::Clear);
    }
}

/// Exchanges what is due between the relays of two data centres.
fn exchange(a: &mut Suspects<ModelPart>, b: &mut Suspects<ModelPart>, now: TimeMs) {
    let (from_a, from_b) = (a.take_due(now), b.take_due(now));
    a.merge(from_b, now);
    b.merge(from_a, now);
}

/// Guards against evidence that is lost with the path between two data centres.
#[test]
fn evidence_is_added_up_after_a_cut() {
    let mut near = Suspects::relay();
    let mut far = Suspects::relay();
    let mut now = TimeMs(1_000_000);
    near.record_end(&[QUERY_OF_DEATH], start(1), now);
    near.record_end(&[QUERY_OF_DEATH], start(2), now);
    far.record_end(&[QUERY_OF_DEATH], start(3), now);
    // The path is cut: what both announce is lost.
    near.take_due(now);
    far.take_due(now);
    assert!(!is_quarantined(&near, QUERY_OF_DEATH) && !is_quarantined(&far, QUERY_OF_DEATH));
    for _ in 0..5 {
        now = now + DurationMs(1_000);
        exchange(&mut near, &mut far, now);
    }
    assert!(is_quarantined(&near, QUERY_OF_DEATH) && is_quarantined(&far, QUERY_OF_DEATH));
}

/// Guards against two queries of death of which one hides the other.
#[test]
fn two_queries_of_death_are_both_quarantined() {
    let other = ModelPart(98);
    let mut fleet = Fleet::new();
    for number in 0..6 {
        let part = if number % 2 == 0 {
            QUERY_OF_DEATH
        } else {
            other
        };
        let router = number % ROUTERS;
        fleet.end(&[(router, vec![ModelPart(1), part])]);
        fleet.answer(router, &[ModelPart(1)]);
        fleet.announce(|_| false);
    }
    for router in &fleet.routers {
        assert!(is_quarantined(router, QUERY_OF_DEATH) && is_quarantined(router, other));
        assert_eq!(router.verdict(&[ModelPart(1)]), Verdict::Clear);
    }
}

/// Guards against state that grows with the parts that a caller invents, and against losing the
/// evidence among them.
#[test]
fn invented_parts_do_not_displace_evidence() {
    let mut suspects = Suspects::default();
    let mut now = TimeMs(1_000_000);
    for round in 0..3 {
        let invented = (0..4_000).map(|number| ModelPart(1_000 + round * 4_000 + number));
        let mut parts: Vec<ModelPart> = invented.collect();
        parts.insert(2_000, QUERY_OF_DEATH);
        suspects.record_end(&parts, start(round), now);
        now = now + DurationMs(1_000);
    }
    assert!(is_quarantined(&suspects, QUERY_OF_DEATH));
    let mut announced = BTreeSet::new();
    for _ in 0..200 {
        let reports = suspects.take_due(now);
        assert!(
            reports.len() <= 96,
            "an announcement fits into one datagram"
        );
        announced.extend(reports.into_iter().map(|report| report.key));
        now = now + DurationMs(1);
    }
    assert!(announced.contains(&QUERY_OF_DEATH));
    assert!(announced.len() <= 8_192);
}

/// Guards against invented parts that enter quarantine together with one query of death and leave no room
/// for the evidence against another one.
#[test]
fn invented_parts_do_not_hide_a_second_query_of_death() {
    let mut suspects = Suspects::default();
    let now = TimeMs(1_000_000);
    for caller in 0..4 {
        let invented = (0..4_000).map(|number| ModelPart(1_000 + caller * 4_000 + number));
        let mut parts: Vec<ModelPart> = invented.collect();
        parts.push(QUERY_OF_DEATH);
        for round in 0..3 {
            let named = suspects.record_end(&parts, start(caller * 3 + round), now);
            assert!(
                named.quarantined.len() <= 32,
                "one transaction stores the records"
            );
        }
    }
    let second = ModelPart(98);
    for number in 20..23 {
        suspects.record_end(&[second], start(number), now);
    }
    assert!(is_quarantined(&suspects, second));
    assert!(is_quarantined(&suspects, QUERY_OF_DEATH));
}

/// Guards against evidence that is kept for ever.
#[test]
fn old_evidence_expires() {
    let mut suspects = Suspects::default();
    suspects.record_end(&[ModelPart(1)], start(1), TimeMs(0));
    suspects.expire(TimeMs(600_000));
    assert!(suspects.is_empty());
}

/// Guards against a quarantine that ends with the age of its evidence while callers still ask.
#[test]
fn quarantine_outlasts_its_evidence() {
    let mut suspects = Suspects::default();
    for number in 0..3 {
        suspects.record_end(&[QUERY_OF_DEATH], start(number), TimeMs(0));
    }
    suspects.expire(TimeMs(3_600_000));
    assert!(is_quarantined(&suspects, QUERY_OF_DEATH));
}

//! Evidence about whole requests under drawn histories, in fleets of several sizes.

use dw_base::DurationMs;
use dw_base::ModelPart;
use dw_base::RequestDigest;
use dw_base::Suspect;
use dw_base::TimeMs;
use dw_quarantine::decide_probe;
use dw_quarantine::EvidenceSet;
use dw_quarantine::ProbeDecision;
use dw_quarantine::QuarantineRecord;
use dw_quarantine::Suspects;
use dw_quarantine::Verdict;
use dw_wire::UpstreamStart;
use proptest::prelude::*;

/// Numbers of routers of the deployments and of the target.
const FLEET_SIZES: [usize; 5] = [5, 14, 61, 103, 340];

/// Ends under one request after which it must be known.
const ENDS_UNTIL_KNOWN: usize = 3;

/// Sends of a request, summed over all routers, that may follow once it is known to all.
const MOST_SENDS_ONCE_KNOWN: usize = 3;

/// Time within which all routers in touch must know it.
const CONTACT_MS: DurationMs = DurationMs(3_000);

/// Time within which a sound request that was in quarantine by chance is sent again.
const MOST_SOUND_PAUSE_MS: DurationMs = DurationMs(1_000);

/// Length of a step of the model.
const STEP_MS: DurationMs = DurationMs(100);

const PART: ModelPart = ModelPart(7);

fn digest(organisation: &str, content: u64) -> RequestDigest {
    RequestDigest::new(organisation, [&content.to_be_bytes()[..]])
}

fn start(number: u64) -> UpstreamStart {
    UpstreamStart::new(&format!("u{number}").parse().expect("name is valid"), 1)
}

/// Routers that announce to one another through a relay, and the table of quarantine records.
struct Fleet {
    routers: Vec<EvidenceSet>,
    relay_parts: Suspects<ModelPart>,
    relay_requests: Suspects<RequestDigest>,
    table: Vec<QuarantineRecord>,
    is_table_down: bool,
    now: TimeMs,
    ended: u64,
}

impl Fleet {
    fn new(routers: usize) -> Self {
        Fleet {
            routers: vec![EvidenceSet::default(); routers],
            relay_parts: Suspects::relay(),
            relay_requests: Suspects::relay(),
            table: Vec::new(),
            is_table_down: false,
            now: TimeMs(1_000_000),
            ended: 0,
        }
    }

    /// Ends an upstream that held these requests of these routers.
    fn end(&mut self, held: &[(usize, RequestDigest, &[ModelPart])]) {
        self.ended += 1;
        for (router, request, parts) in held {
            let router = &mut self.routers[*router];
            router.record_end(*request, parts, start(self.ended), self.now);
        }
    }

    /// Announces what is due; the datagrams of routers for which `is_lost` holds are lost.
    fn announce(&mut self, is_lost: impl Fn(usize) -> bool) {
        self.now = self.now + STEP_MS;
        let now = self.now;
        for (number, router) in self.routers.iter_mut().enumerate() {
            let due = router.take_due(now);
            if !is_lost(number) {
                self.relay_requests.merge(due.requests, now);
                self.relay_parts.merge(due.parts, now);
            }
        }
        let requests = self.relay_requests.take_due(now);
        let parts = self.relay_parts.take_due(now);
        for (number, router) in self.routers.iter_mut().enumerate() {
            if !is_lost(number) {
                router.merge_requests(requests.clone(), now);
                router.merge_parts(parts.clone(), now);
            }
        }
    }

    /// Returns whether a router may send a request now, as a probe if it is in quarantine.
    fn may_send(&mut self, router: usize, request: RequestDigest, parts: &[ModelPart]) -> bool {
        let verdict = self.routers[router].verdict(|| request, parts);
        let Verdict::Quarantined(suspects) = verdict else {
            return true;
        };
        if self.is_table_down {
            return false;
        }
        let (records, is_sent) = match decide_probe(&suspects, &self.table, self.now.0) {
            ProbeDecision::Send(records) => (records, true),
            ProbeDecision::Wait { missing, .. } => (missing, false),
        };
        for record in records {
            self.table.retain(|known| known.suspect != record.suspect);
            self.table.push(record);
        }
        is_sent
    }

    /// Restarts a router, which reads the table.
    fn restart(&mut self, router: usize) {
        let mut evidence = EvidenceSet::default();
        if !self.is_table_down {
            for record in &self.table {
                evidence.restore(record.suspect, self.now);
            }
        }
        self.routers[router] = evidence;
    }

    /// Sends the request that ends upstreams at a router, if it may be sent; returns whether it was.
    fn send_deadly(&mut self, router: usize, request: RequestDigest) -> bool {
        let is_sent = self.may_send(router, request, &[PART]);
        if is_sent {
            self.end(&[(router, request, &[PART])]);
        }
        is_sent
    }

    fn is_quarantined(&self, router: usize, suspect: impl Into<Suspect>) -> bool {
        self.routers[router].quarantined().contains(&suspect.into())
    }
}

/// What happens in one step.
#[derive(Clone, Debug)]
enum Event {
    /// The request that ends upstreams comes at a router.
    Deadly(u16),
    /// A sound request with the same part is answered at a router.
    Sound(u16),
    /// An upstream ends by chance and takes sound requests of some routers with it.
    Crash(Vec<u16>),
    /// A router restarts.
    Restart(u16),
    /// The table goes away or comes back.
    Table(bool),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => any::<u16>().prop_map(Event::Deadly),
        4 => any::<u16>().prop_map(Event::Sound),
        1 => proptest::collection::vec(any::<u16>(), 0..6).prop_map(Event::Crash),
        1 => any::<u16>().prop_map(Event::Restart),
        1 => any::<bool>().prop_map(Event::Table),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    /// Guards against a request that ends upstream after upstream: once three ends are known to all
    /// routers, no more than three sends follow, whatever restarts and whether the table answers.
    #[test]
    fn request_is_sent_three_times_at_most_once_it_is_known(
        size in 0..FLEET_SIZES.len(),
        events in proptest::collection::vec(event(), 1..120),
    ) {
        let mut fleet = Fleet::new(FLEET_SIZES[size]);
        let deadly = digest("a", 1);
        let at = |number: u16| usize::from(number) % FLEET_SIZES[size];
        let mut third_end_at = None;
        let mut late_sends = 0;
        for (number, event) in events.into_iter().enumerate() {
            match event {
                Event::Deadly(router) => {
                    let is_late = third_end_at
                        .is_some_and(|third: TimeMs| fleet.now.since(third) >= CONTACT_MS);
                    if fleet.send_deadly(at(router), deadly) {
                        late_sends += usize::from(is_late);
                        if fleet.ended_under(deadly) >= ENDS_UNTIL_KNOWN {
                            third_end_at.get_or_insert(fleet.now);
                        }
                    }
                }
                Event::Sound(router) => {
                    let now = fleet.now;
                    let sound = digest("a", 1_000 + number as u64);
                    let router = &mut fleet.routers[at(router)];
                    router.record_answer(|| sound, &[PART], now);
                }
                Event::Crash(routers) => {
                    let sound = |router: &u16| (at(*router), digest("b", u64::from(*router)));
                    let held: Vec<_> = routers.iter().map(sound).collect();
                    let held: Vec<(usize, RequestDigest, &[ModelPart])> =
                        held.iter().map(|(router, sound)| (*router, *sound, &[][..])).collect();
                    fleet.end(&held);
                }
                // One router at a time; what it knew was announced.
                Event::Restart(router) => {
                    fleet.announce(|_| false);
                    fleet.restart(at(router));
                }
                Event::Table(is_down) => fleet.is_table_down = is_down,
            }
            for _ in 0..12 {
                fleet.announce(|_| false);
            }
        }
        prop_assert!(late_sends <= MOST_SENDS_ONCE_KNOWN, "{late_sends} sends too late");
    }

    /// Guards against a quarantine of sound requests that upstreams which end by chance have held, of the
    /// same or of another organisation.
    #[test]
    fn sound_request_of_three_ended_upstreams_is_sent_again(
        size in 0..FLEET_SIZES.len(),
        routers in proptest::collection::vec(any::<u16>(), 3),
        asks in any::<u16>(),
    ) {
        let mut fleet = Fleet::new(FLEET_SIZES[size]);
        let at = |number: u16| usize::from(number) % FLEET_SIZES[size];
        let sound = digest("a", 1);
        for router in routers {
            fleet.end(&[(at(router), sound, &[PART])]);
            fleet.announce(|_| false);
        }
        // The record is stored with the quarantine.
        fleet.may_send(at(asks), sound, &[PART]);
        let since = fleet.now;
        while !fleet.may_send(at(asks), sound, &[PART]) {
            fleet.announce(|_| false);
            prop_assert!(fleet.now.since(since) <= MOST_SOUND_PAUSE_MS + STEP_MS);
        }
        let now = fleet.now;
        fleet.routers[at(asks)].record_answer(|| sound, &[PART], now);
        for _ in 0..3 {
            fleet.announce(|_| false);
        }
        for router in &fleet.routers {
            prop_assert_eq!(router.verdict(|| sound, &[PART]), Verdict::Clear);
        }
    }
}

impl Fleet {
    /// Returns the ends that some router knows under a request.
    fn ended_under(&self, request: RequestDigest) -> usize {
        let routers = self.routers.iter();
        let ends = routers.map(|router| router.ends(request.into()));
        ends.max().unwrap_or_default()
    }
}

/// Guards against a sound part that enters quarantine since one request with it ends upstreams, also at
/// routers that hear of it from others.
#[test]
fn part_of_one_request_that_ends_upstreams_is_not_quarantined() {
    let mut fleet = Fleet::new(14);
    let deadly = digest("a", 1);
    for router in 0..3 {
        fleet.end(&[(router, deadly, &[PART])]);
        fleet.announce(|_| false);
    }
    fleet.announce(|_| false);
    for router in 0..14 {
        assert!(fleet.is_quarantined(router, deadly));
        assert!(!fleet.is_quarantined(router, PART), "router {router}");
    }
}

/// Guards against a part that ends upstreams in requests with other tails, each of which comes once.
#[test]
fn part_of_several_requests_that_end_upstreams_is_quarantined() {
    let mut fleet = Fleet::new(14);
    for router in 0..3 {
        fleet.end(&[(router, digest("a", router as u64), &[PART])]);
        fleet.announce(|_| false);
    }
    fleet.announce(|_| false);
    for router in 0..14 {
        assert!(fleet.is_quarantined(router, PART));
        assert!(!fleet.is_quarantined(router, digest("a", 0)));
    }
}

/// Guards against an answer that goes on, or an answer to another request, that clears a request.
#[test]
fn only_a_whole_answer_clears_a_request() {
    let mut evidence = EvidenceSet::default();
    let deadly = digest("a", 1);
    for number in 0..3 {
        evidence.record_end(deadly, &[PART], start(number), TimeMs(1_000));
    }
    evidence.record_progress(&[PART], TimeMs(2_000));
    evidence.record_answer(|| digest("a", 2), &[PART], TimeMs(2_000));
    let verdict = evidence.verdict(|| deadly, &[PART]);
    assert_eq!(verdict, Verdict::Quarantined(vec![deadly.into()]));
    evidence.record_answer(|| deadly, &[PART], TimeMs(3_000));
    assert_eq!(evidence.verdict(|| deadly, &[PART]), Verdict::Clear);
}

/// Guards against an organisation that ends upstreams again and again and pushes out the evidence against
/// a request of another one.
#[test]
fn requests_of_one_organisation_do_not_displace_those_of_another() {
    let mut evidence = EvidenceSet::default();
    let quiet = digest("quiet", 1);
    evidence.record_end(quiet, &[], start(1), TimeMs(1_000));
    for number in 0..20_000 {
        let request = digest("loud", number);
        for end in 0..3 {
            evidence.record_end(request, &[], start(10 + end), TimeMs(2_000));
        }
    }
    assert_eq!(evidence.ends(quiet.into()), 1);
}

/// Guards against a datagram for each of the requests that many upstreams held when they ended at once.
#[test]
fn ends_of_many_upstreams_at_once_are_announced_within_bounds() {
    const MOST_FIRST_REPORTS_PER_S: usize = 96;
    let mut evidence = EvidenceSet::default();
    let mut now = TimeMs(1_000_000);
    for number in 0..5_000 {
        evidence.record_end(digest("a", number), &[], start(number / 64), now);
    }
    let mut announced = 0;
    for _ in 0..10 {
        announced += evidence.take_due(now).requests.len();
        now = now + STEP_MS;
    }
    assert!(announced <= MOST_FIRST_REPORTS_PER_S, "{announced} reports");
    let deadly = digest("a", 9_999);
    for number in 0..3 {
        evidence.record_end(deadly, &[], start(1_000 + number), now);
    }
    let due = evidence.take_due(now).requests;
    assert!(
        due.iter().any(|report| report.key == deadly),
        "a request in quarantine does not wait"
    );
}

/// Guards against sound parts that enter quarantine since all requests with them have the same home as those
/// of the part that ends upstreams, so that no answer comes in between: at the router that answered them
/// before, and at one that hears of their answers and ends only.
#[test]
fn sound_parts_beside_a_query_of_death_are_not_quarantined() {
    const SOUND: ModelPart = ModelPart(8);
    const QUERY_OF_DEATH: ModelPart = ModelPart(9);
    let mut fleet = Fleet::new(5);
    for number in 0..5 {
        let (now, sound) = (fleet.now, digest("a", number));
        let router = &mut fleet.routers[number as usize];
        router.record_answer(|| sound, &[PART, SOUND], now);
    }
    for number in 0..4 {
        let (router, deadly) = (number as usize, digest("a", 10 + number));
        fleet.end(&[
            (router, deadly, &[PART, QUERY_OF_DEATH]),
            (router + 1, digest("a", 20 + number), &[PART, SOUND]),
        ]);
        for _ in 0..4 {
            fleet.announce(|_| false);
        }
    }
    for router in 0..5 {
        assert!(
            fleet.is_quarantined(router, QUERY_OF_DEATH),
            "router {router}"
        );
        let verdict = fleet.routers[router].verdict(|| digest("a", 30), &[PART, SOUND]);
        assert!(
            !matches!(verdict, Verdict::Quarantined(_)),
            "router {router}: {verdict:?}"
        );
    }
}

/// Guards against a part that ends upstreams and hides behind another one that was never answered: requests
/// without that one are still counted.
#[test]
fn answered_part_that_ends_upstreams_is_found_beside_a_new_part() {
    const NEW: ModelPart = ModelPart(8);
    let mut fleet = Fleet::new(1);
    let now = fleet.now;
    fleet.routers[0].record_answer(|| digest("a", 0), &[PART], now);
    for number in 1..6 {
        let parts: &[ModelPart] = if number <= 3 { &[PART, NEW] } else { &[PART] };
        fleet.end(&[(0, digest("a", number), parts)]);
        for _ in 0..4 {
            fleet.announce(|_| false);
        }
    }
    assert!(fleet.is_quarantined(0, PART));
}

/// Guards against a sound part that all requests share and that is refused since several upstreams which held
/// some of them crashed at one moment; ends one after the other are still counted.
#[test]
fn upstreams_that_crash_together_accuse_no_answered_part() {
    let mut fleet = Fleet::new(5);
    for router in 0..5 {
        let (now, sound) = (fleet.now, digest("a", router as u64));
        fleet.routers[router].record_answer(|| sound, &[PART], now);
    }
    for number in 0..4 {
        let (first, second) = (digest("a", 10 + number), digest("a", 20 + number));
        fleet.end(&[(number as usize, first, &[PART]), (4, second, &[PART])]);
    }
    for _ in 0..4 {
        fleet.announce(|_| false);
    }
    for router in 0..5 {
        assert!(!fleet.is_quarantined(router, PART), "router {router}");
    }
    for number in 0..2 {
        for _ in 0..4 {
            fleet.announce(|_| false);
        }
        fleet.end(&[(0, digest("a", 30 + number), &[PART])]);
    }
    assert!(fleet.is_quarantined(0, PART));
}

/// Guards against a record that stays since nobody is told that a part leaves quarantine as a later end shows
/// which part was at fault.
#[test]
fn part_that_is_explained_by_a_later_end_is_told_as_released() {
    const QUERY_OF_DEATH: ModelPart = ModelPart(9);
    let mut router = EvidenceSet::default();
    router.record_answer(|| digest("a", 0), &[PART], TimeMs(1_000));
    let mut changes = Vec::new();
    for number in 0..3 {
        let at = TimeMs(2_000 + number * 1_000);
        changes.push(router.record_end(digest("a", 1 + number), &[PART], start(number), at));
    }
    assert_eq!(changes[2].quarantined, [PART.into()]);
    let at = TimeMs(6_000);
    for number in 0..2 {
        let parts = &[QUERY_OF_DEATH];
        changes.push(router.record_end(digest("a", 9 + number), parts, start(number), at));
    }
    assert_eq!(changes[4].released, [PART.into()]);
    assert!(!router.quarantined().contains(&PART.into()));
}

/// Guards against sound parts and requests that stay in quarantine because of upstreams that were only cut off, and
/// against a deadly part that leaves it with one of them, also once its first ends have expired.
#[test]
fn evidence_of_upstreams_that_go_on_is_withdrawn() {
    const OTHER: ModelPart = ModelPart(8);
    let mut evidence = EvidenceSet::default();
    let mut now = TimeMs(1_000_000);
    for number in 0..3 {
        evidence.record_end(digest("a", number), &[PART], start(number), now);
        evidence.record_end(digest("b", 100), &[], start(number), now);
        now = now + DurationMs(1_000);
    }
    for number in 10..14 {
        evidence.record_end(digest("a", number), &[OTHER], start(number), now);
        now = now + DurationMs(1_000);
    }
    let quarantined = |evidence: &EvidenceSet| evidence.quarantined();
    let all = [Suspect::Request(digest("b", 100)), Suspect::Part(OTHER)];
    assert_eq!(quarantined(&evidence), all);
    assert_eq!(evidence.withdraw(|_, _| false), []);
    let released = evidence.withdraw(|ended, _| ended == start(2));
    assert_eq!(released, [Suspect::Request(digest("b", 100))]);
    assert_eq!(evidence.withdraw(|ended, _| ended == start(10)), []);
    assert_eq!(quarantined(&evidence), [Suspect::Part(OTHER)]);
    // The others are enough still, after they have expired too.
    now = now + DurationMs(3_600_000);
    evidence.expire(now);
    evidence.record_end(digest("a", 20), &[OTHER], start(20), now);
    assert_eq!(evidence.withdraw(|ended, _| ended == start(20)), []);
    assert_eq!(quarantined(&evidence), [Suspect::Part(OTHER)]);
}

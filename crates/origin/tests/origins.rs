//! Where streams may go on, under drawn histories of releases, restarts and lost datagrams.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use dw_base::DurationMs;
use dw_base::ServiceId;
use dw_base::SoftwareVersion;
use dw_base::StreamKey;
use dw_base::TimeMs;
use dw_origin::decide_resume;
use dw_origin::keepers;
use dw_origin::CallLimit;
use dw_origin::CallPace;
use dw_origin::CannotResume;
use dw_origin::ObservedSoftware;
use dw_origin::OriginKeeper;
use dw_origin::Resume;
use dw_origin::SoftwareHistory;
use dw_wire::StreamOrigin;
use dw_wire::UpstreamStart;
use proptest::prelude::*;

/// Numbers of routers and of sidecars of the deployments and of the target.
const FLEETS: [(usize, usize); 4] = [(5, 9), (14, 36), (103, 144), (340, 780)];

/// Time for which a stream may be taken up.
const RETENTION_MS: DurationMs = DurationMs(10_000);

/// Gap in the observations after which a router cannot know what served meanwhile.
const MAX_GAP_MS: DurationMs = DurationMs(4_000);

fn new_history() -> SoftwareHistory {
    SoftwareHistory::new(MAX_GAP_MS)
}

fn service() -> ServiceId {
    "s".parse().expect("name is valid")
}

fn version(number: u8) -> SoftwareVersion {
    format!("v{number}").parse().expect("version is valid")
}

fn origin(number: u8) -> StreamOrigin {
    StreamOrigin {
        service: service(),
        software: version(number),
    }
}

fn addr(number: usize) -> SocketAddr {
    let number = u32::try_from(number).expect("number is small");
    SocketAddr::from((std::net::Ipv4Addr::from(0x0a00_0000 + number), 8_080))
}

/// Routers and sidecars of a fleet in which versions come and go.
struct Fleet {
    histories: Vec<SoftwareHistory>,
    sidecars: Vec<OriginKeeper>,
    versions: BTreeSet<u8>,
    now: TimeMs,
    streams: Vec<(StreamKey, u8, TimeMs)>,
}

impl Fleet {
    fn new((routers, sidecars): (usize, usize)) -> Self {
        Fleet {
            histories: vec![new_history(); routers],
            sidecars: vec![OriginKeeper::default(); sidecars],
            versions: BTreeSet::from([1]),
            now: TimeMs(1_000_000),
            streams: Vec::new(),
        }
    }

    fn step(&mut self, pause_ms: DurationMs) {
        self.now = self.now + pause_ms;
        let service = service();
        let versions: Vec<SoftwareVersion> = self.versions.iter().copied().map(version).collect();
        for history in &mut self.histories {
            let registered = versions
                .iter()
                .map(|software| (&service, ObservedSoftware::Version(software)));
            history.observe(registered, self.now, self.now);
        }
    }

    fn keepers(&self, stream: StreamKey, count: usize) -> Vec<usize> {
        let all = (0..self.sidecars.len()).map(addr);
        let chosen = keepers(stream, all, count);
        let indices = chosen.into_iter().map(|keeper| {
            (0..self.sidecars.len())
                .find(|number| addr(*number) == keeper)
                .expect("a keeper is a sidecar")
        });
        indices.collect()
    }

    /// Begins a stream at one of the versions that serve; the datagrams to its keepers may be lost.
    fn begin(&mut self, at: usize, is_lost: bool) {
        let serving: Vec<u8> = self.versions.iter().copied().collect();
        let software = serving[at % serving.len()];
        let stream = StreamKey::new("a", &self.streams.len().to_string());
        self.streams.push((stream, software, self.now));
        if !is_lost {
            for keeper in self.keepers(stream, 2) {
                let sidecar = &mut self.sidecars[keeper];
                sidecar.record(stream, origin(software), RETENTION_MS, self.now);
            }
        }
    }

    /// Takes a stream up at a router; returns the version that began it and where it may go on.
    fn take_up(&self, router: usize, at: usize) -> Option<(u8, Result<Resume, CannotResume>)> {
        let recent = self
            .streams
            .iter()
            .filter(|(_, _, began)| self.now.since(*began) < RETENTION_MS);
        let recent: Vec<_> = recent.collect();
        let (stream, began, _) = *recent.get(at % recent.len().max(1))?;
        let asked = self.keepers(*stream, 4).into_iter();
        let found = asked
            .filter_map(|keeper| self.sidecars[keeper].get(*stream, self.now))
            .next();
        let history = &self.histories[router % self.histories.len()];
        let decided = decide_resume(found.cloned(), &[service()], |service| {
            history.had_one_version(service, RETENTION_MS, self.now)
        });
        Some((*began, decided))
    }
}

/// What happens in one step.
#[derive(Clone, Debug)]
enum Event {
    Begin(u16, bool),
    TakeUp(u16, u16),
    /// Upstreams of a version start or leave.
    Release(u8, bool),
    RestartRouter(u16),
    RestartAllRouters,
    RestartSidecar(u16),
    RestartAll,
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        6 => (any::<u16>(), any::<bool>()).prop_map(|(at, lost)| Event::Begin(at, lost)),
        6 => (any::<u16>(), any::<u16>()).prop_map(|(router, at)| Event::TakeUp(router, at)),
        3 => (1_u8..4, any::<bool>()).prop_map(|(version, serves)| Event::Release(version, serves)),
        1 => any::<u16>().prop_map(Event::RestartRouter),
        1 => Just(Event::RestartAllRouters),
        1 => any::<u16>().prop_map(Event::RestartSidecar),
        1 => Just(Event::RestartAll),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Guards against a stream that goes on at another version, whichever routers and sidecars restart,
    /// whichever versions come and go, and whatever datagrams are lost.
    #[test]
    fn no_stream_goes_on_at_another_version(
        size in 0..FLEETS.len(),
        events in proptest::collection::vec((event(), 1_u64..4_000), 1..80),
    ) {
        let mut fleet = Fleet::new(FLEETS[size]);
        for (event, pause_ms) in events {
            fleet.step(DurationMs(pause_ms));
            match event {
                Event::Begin(at, is_lost) => fleet.begin(usize::from(at), is_lost),
                Event::TakeUp(router, at) => {
                    let taken_up = fleet.take_up(usize::from(router), usize::from(at));
                    let Some((began, decided)) = taken_up else {
                        continue;
                    };
                    match decided {
                        Ok(Resume::At(_, software)) => prop_assert_eq!(software, version(began)),
                        Ok(Resume::Any(_)) => {
                            prop_assert_eq!(&fleet.versions, &BTreeSet::from([began]));
                        }
                        Err(_) => {}
                    }
                }
                Event::Release(version, true) => {
                    fleet.versions.insert(version);
                }
                Event::Release(version, false) => {
                    if fleet.versions.len() > 1 {
                        fleet.versions.remove(&version);
                    }
                }
                Event::RestartRouter(router) => {
                    let router = usize::from(router) % fleet.histories.len();
                    fleet.histories[router] = new_history();
                }
                Event::RestartAllRouters => fleet.histories.fill(new_history()),
                Event::RestartSidecar(sidecar) => {
                    let sidecar = usize::from(sidecar) % fleet.sidecars.len();
                    fleet.sidecars[sidecar] = OriginKeeper::default();
                }
                Event::RestartAll => {
                    fleet.histories.fill(new_history());
                    fleet.sidecars.fill(OriginKeeper::default());
                }
            }
            // A version that starts or leaves is read before the next step.
            fleet.step(DurationMs(1));
        }
    }
}

/// Guards against streams that are rejected although it is known which version began them: after a restart
/// of all routers, of one of the two sidecars, and when one sidecar has left since.
#[test]
fn known_streams_go_on_after_restarts() {
    for fleet in FLEETS {
        let mut fleet = Fleet::new(fleet);
        fleet.versions.insert(2);
        fleet.step(DurationMs(1));
        for number in 0..40 {
            fleet.begin(number, false);
        }
        fleet.histories.fill(new_history());
        for at in 0..40 {
            let (stream, began, _) = fleet.streams[at];
            let keeper = fleet.keepers(stream, 1)[0];
            let kept = std::mem::take(&mut fleet.sidecars[keeper]);
            let (_, decided) = fleet.take_up(at, at).expect("the stream is recent");
            assert_eq!(decided, Ok(Resume::At(service(), version(began))));
            fleet.sidecars[keeper] = kept;
            let without = (0..fleet.sidecars.len()).filter(|number| *number != keeper);
            let told = fleet.keepers(stream, 2)[1];
            assert!(keepers(stream, without.map(addr), 4).contains(&addr(told)));
        }
    }
}

/// Guards against records that only some streams need: with one version for long enough, all go on.
#[test]
fn unknown_streams_go_on_while_one_version_serves() {
    let mut fleet = Fleet::new(FLEETS[0]);
    fleet.begin(0, true);
    for _ in 0..=RETENTION_MS.0 / 1_000 {
        fleet.step(DurationMs(1_000));
    }
    fleet.begin(0, true);
    let (_, decided) = fleet.take_up(0, 0).expect("the stream is recent");
    assert_eq!(decided, Ok(Resume::Any(service())));
    fleet.versions = BTreeSet::from([2]);
    fleet.step(DurationMs(1));
    let (_, decided) = fleet.take_up(0, 0).expect("the stream is recent");
    assert_eq!(decided, Err(CannotResume::UnknownOrigin));
}

/// Guards against a router that stood still, or was cut off, while upstreams of another version joined, and
/// takes the version that it knew for the only one: streams that began at the others meanwhile are taken up
/// there as soon as it wakes, and after it has read what is registered now.
#[test]
fn router_out_of_step_joins_streams_of_versions_that_it_missed() {
    for missed_ms in [1_600, 3_000, 6_000] {
        let mut fleet = Fleet::new(FLEETS[0]);
        for _ in 0..20 {
            fleet.step(DurationMs(1_000));
        }
        let before = fleet.histories[0].clone();
        fleet.versions = BTreeSet::from([2]);
        fleet.step(DurationMs(500));
        fleet.begin(0, true);
        fleet.versions = BTreeSet::from([1]);
        fleet.step(DurationMs(missed_ms - 500));
        fleet.histories[0] = before;
        let (_, decided) = fleet.take_up(0, 0).expect("the stream is recent");
        assert_eq!(
            decided,
            Err(CannotResume::UnknownOrigin),
            "{missed_ms} ms, as it wakes"
        );
        fleet.step(DurationMs(1));
        let (_, decided) = fleet.take_up(0, 0).expect("the stream is recent");
        assert_eq!(
            decided,
            Err(CannotResume::UnknownOrigin),
            "{missed_ms} ms, once it has read"
        );
    }
}

/// Guards against a router that is cut off from the registrations while it runs, and takes the version that
/// it knew for the only one.
#[test]
fn router_that_is_cut_off_does_not_know_what_serves() {
    let mut history = new_history();
    let (service, first) = (service(), version(1));
    for second in 0..30 {
        let (now, complete_at) = (TimeMs(second * 1_000), TimeMs(second.min(20) * 1_000));
        history.observe(
            [(&service, ObservedSoftware::Version(&first))],
            complete_at,
            now,
        );
        let has_one = history.had_one_version(&service, RETENTION_MS, now);
        assert_eq!(has_one, (10..=24).contains(&second), "after {second} s");
    }
}

/// Guards against a stream of an unknown version that goes on anywhere: an upstream whose version is not known may
/// run another one than all others.
#[test]
fn unknown_version_is_another_version() {
    let mut history = new_history();
    let (service, first) = (service(), version(1));
    for second in 0..30 {
        let now = TimeMs(second * 1_000);
        let unknown =
            (second >= 20).then_some((&service, ObservedSoftware::Unknown(UpstreamStart(1))));
        let known = [(&service, ObservedSoftware::Version(&first))];
        history.observe(known.into_iter().chain(unknown), now, now);
        let has_one = history.had_one_version(&service, RETENTION_MS, now);
        assert_eq!(has_one, (10..20).contains(&second), "after {second} s");
    }
}

/// Guards against a stream that goes on at a service to which its route does not lead any more.
#[test]
fn stream_of_another_service_does_not_go_on() {
    let other: ServiceId = "t".parse().expect("name is valid");
    let decided = decide_resume(Some(origin(1)), &[other], |_| true);
    assert_eq!(decided, Err(CannotResume::OtherService));
    let both = [service(), "t".parse().expect("name is valid")];
    let decided = decide_resume(None, &both, |_| true);
    assert_eq!(decided, Err(CannotResume::UnknownOrigin));
}

/// Guards against state that grows with the ids that callers choose, and against an id that is used again
/// and changes what is kept.
#[test]
fn kept_origins_are_bounded_and_do_not_change() {
    let mut keeper = OriginKeeper::default();
    let stream = StreamKey(1);
    keeper.record(stream, origin(1), RETENTION_MS, TimeMs(0));
    keeper.record(stream, origin(2), RETENTION_MS, TimeMs(1));
    assert_eq!(keeper.get(stream, TimeMs(2)), Some(&origin(1)));
    for number in 0..200_000 {
        let at = TimeMs(number / 100);
        keeper.record(StreamKey(10 + number), origin(1), RETENTION_MS, at);
    }
    assert!(keeper.len() <= 65_536);
    keeper.expire(TimeMs(60_000));
    assert!(keeper.is_empty());
}

/// Guards against origins that take the calls of the table from configurations and registrations as the fleet grows.
#[test]
fn calls_of_all_routers_stay_under_a_tenth_of_the_rate() {
    const CALLS_PER_S: f64 = 400.0;
    let limits = [
        CallLimit::READS,
        CallLimit::WRITES,
        CallLimit::WRITES_OF_ONE_VERSION,
    ];
    for (routers, _) in FLEETS {
        for (limit, calls_per_round) in limits.into_iter().zip([5, 1, 1]) {
            let count = u32::try_from(routers).expect("fleet is small");
            let interval_ms = limit.interval_ms(count, calls_per_round, CALLS_PER_S);
            let calls_per_s = (routers * calls_per_round) as f64 / interval_ms.as_secs_f64();
            assert!(calls_per_s <= 40.0, "{routers} routers: {calls_per_s}");
        }
    }
}

/// Guards against routers that know no other ones and call a table that refuses them at full pace.
#[test]
fn pace_slows_down_while_calls_fail() {
    const INTERVAL_MS: DurationMs = DurationMs(250);
    let mut pace = CallPace::default();
    let mut now = TimeMs(1_000);
    let mut calls = 0;
    while now < TimeMs(61_000) {
        pace.record_start(now);
        pace.record_failure(now);
        now = now + pace.pause_ms(INTERVAL_MS, now);
        calls += 1;
    }
    assert!(calls <= 13, "{calls} calls in a minute");
    pace.record_success();
    pace.record_start(now);
    assert_eq!(pace.pause_ms(INTERVAL_MS, now), INTERVAL_MS);
}

/// Guards against an upstream that was only cut off and counts as one of another version for as long as versions are
/// remembered.
#[test]
fn withdrawn_end_is_no_other_version() {
    let mut history = new_history();
    let (service, first) = (service(), version(1));
    let (cut_off, ended) = (UpstreamStart(1), UpstreamStart(2));
    let mut now = TimeMs::default();
    for second in 0..30 {
        now = TimeMs(second * 1_000);
        let known = ObservedSoftware::Version(&first);
        let unknown = [cut_off, ended].map(ObservedSoftware::Unknown);
        let is_cut_off = (18..20).contains(&second);
        let unknown = unknown.into_iter().filter(|_| is_cut_off);
        let observed = unknown.chain([known]).map(|software| (&service, software));
        history.observe(observed, now, now);
    }
    history.withdraw_unknown(cut_off);
    assert!(!history.had_one_version(&service, RETENTION_MS + DurationMs(2_000), now));
    history.withdraw_unknown(ended);
    assert!(history.had_one_version(&service, RETENTION_MS + DurationMs(2_000), now));
    assert!(!history.has_several_versions(&service));
    let second = version(2);
    let observed = [&first, &second].map(|version| (&service, ObservedSoftware::Version(version)));
    history.observe(observed, now, now);
    assert!(history.has_several_versions(&service));
}

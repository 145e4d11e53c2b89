//! What upstreams say of themselves in answers, beside what the table says.

use std::collections::HashMap;

use dw_base::DurationMs;
use dw_base::ServiceId;
use dw_base::TimeMs;
use dw_base::UpstreamId;
use dw_member::Directory;
use dw_member::RegisteredUpstream;
use proptest::prelude::*;

fn listed(number: u8, started_ms: u64) -> RegisteredUpstream {
    RegisteredUpstream {
        upstream: id(number),
        service: service(),
        addr: format!("10.0.0.{number}:80").parse().expect("test data"),
        data_centre: "a".parse().expect("test data is valid"),
        slots: 6,
        leaving: false,
        models: Vec::new(),
        started_ms,
    }
}

fn id(number: u8) -> UpstreamId {
    format!("u{number}").parse().expect("test data is valid")
}

fn service() -> ServiceId {
    "s".parse().expect("test data is valid")
}

#[derive(Clone, Debug)]
enum Event {
    Put(u8, u64),
    Removed(u8),
    Replaced(u8, u64),
    Lost,
    Answered,
    Leaves(u8),
    Pause(u8, u64),
}

fn event() -> impl Strategy<Value = Event> {
    let number = || 0u8..3;
    prop_oneof![
        (number(), 1u64..4).prop_map(|(number, born)| Event::Put(number, born)),
        number().prop_map(Event::Removed),
        (number(), 1u64..4).prop_map(|(number, born)| Event::Replaced(number, born)),
        Just(Event::Lost),
        Just(Event::Answered),
        number().prop_map(Event::Leaves),
        (number(), 100u64..5_000).prop_map(|(number, pause)| Event::Pause(number, pause)),
    ]
}

proptest! {
    /// Guards against requests to an upstream that has said that it leaves or has asked for a pause,
    /// after any order of registrations, removals, outages of the table and restarts: only a later
    /// start of it, or the end of the pause, makes it take requests again.
    #[test]
    fn word_of_an_upstream_holds(events in prop::collection::vec((0u64..900, event()), 1..80)) {
        let mut directory = Directory::new(DurationMs(2_400));
        let mut now = TimeMs(0);
        let mut left: Vec<(UpstreamId, u64)> = Vec::new();
        let mut paused: HashMap<(UpstreamId, u64), TimeMs> = HashMap::new();
        for (pause_ms, event) in events {
            now = now + DurationMs(pause_ms);
            let born = |directory: &Directory, id: &UpstreamId| {
                directory.get(id).map(|entry| entry.registration.started_ms)
            };
            match event {
                Event::Put(number, started_ms) => directory.put(listed(number, started_ms)),
                Event::Removed(number) => directory.remove(&id(number), now),
                Event::Replaced(number, started_ms) => {
                    directory.replace(vec![listed(number, started_ms)], now);
                }
                Event::Lost => directory.table_unreachable(now),
                Event::Answered => directory.table_reachable(now),
                Event::Leaves(number) => {
                    let id = id(number);
                    left.extend(born(&directory, &id).map(|started_ms| (id.clone(), started_ms)));
                    directory.mark_leaving(&id, now);
                }
                Event::Pause(number, pause_ms) => {
                    let id = id(number);
                    let until = now + DurationMs(pause_ms);
                    if let Some(started_ms) = born(&directory, &id) {
                        let end = paused.entry((id.clone(), started_ms)).or_default();
                        *end = until.max(*end);
                    }
                    directory.pause_until(&id, until, now);
                }
            }
            directory.expire(now);
            for entry in directory.serving(&service()) {
                let start = (entry.registration.upstream.clone(), entry.registration.started_ms);
                prop_assert!(!left.contains(&start), "{start:?} has said that it leaves");
                let end = paused.get(&start).copied().unwrap_or_default();
                prop_assert_eq!(entry.is_paused(now), now < end, "{:?}", start);
            }
        }
    }
}

/// Guards against a time to come back while one upstream still takes requests, and against one
/// before the first pause ends.
#[test]
fn service_is_paused_once_all_its_upstreams_are() {
    let mut directory = Directory::new(DurationMs(2_400));
    let now = TimeMs(1_000);
    for number in 0..3 {
        directory.put(listed(number, 1));
    }
    directory.mark_leaving(&id(0), now);
    directory.pause_until(&id(1), TimeMs(5_000), now);
    assert_eq!(directory.paused_until(&service(), now), None);
    directory.pause_until(&id(2), TimeMs(4_000), now);
    let first = directory.paused_until(&service(), now);
    assert_eq!(first, Some(TimeMs(4_000)));
    assert_eq!(directory.paused_until(&service(), TimeMs(4_000)), None);
}

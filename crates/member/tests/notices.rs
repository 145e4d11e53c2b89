//! Leaving notices and pauses from the answers of upstreams, along with the table's registrations.

use std::collections::HashMap;

use dw_base::DurationMs;
use dw_base::ServiceId;
use dw_base::SoftwareVersion;
use dw_base::TimeMs;
use dw_base::UpstreamId;
use dw_member::Directory;
use dw_member::RegisteredUpstream;
use proptest::prelude::*;

fn registration(number: u8, started_ms: u64) -> RegisteredUpstream {
    RegisteredUpstream {
        upstream: id(number),
        service: service(),
        software: SoftwareVersion::default(),
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
    TableUnreachable,
    TableReachable,
    Leaving(u8),
    Pause(u8, u64),
}

fn event() -> impl Strategy<Value = Event> {
    let number = || 0u8..3;
    prop_oneof![
        (number(), 1u64..4).prop_map(|(number, started_ms)| Event::Put(number, started_ms)),
        number().prop_map(Event::Removed),
        (number(), 1u64..4).prop_map(|(number, started_ms)| Event::Replaced(number, started_ms)),
        Just(Event::TableUnreachable),
        Just(Event::TableReachable),
        number().prop_map(Event::Leaving),
        (number(), 100u64..5_000).prop_map(|(number, pause_ms)| Event::Pause(number, pause_ms)),
    ]
}

proptest! {
    /// Guards against requests to an upstream that is leaving or has asked for a pause, in any order
    /// of registrations, removals, outages of the table and restarts. Only a restart or the end of
    /// the pause makes it take requests again.
    #[test]
    fn word_of_an_upstream_holds(events in prop::collection::vec((0u64..900, event()), 1..80)) {
        let mut directory = Directory::new(DurationMs(2_400));
        let mut now = TimeMs(0);
        let mut leaving: Vec<(UpstreamId, u64)> = Vec::new();
        let mut paused: HashMap<(UpstreamId, u64), TimeMs> = HashMap::new();
        for (step_ms, event) in events {
            now = now + DurationMs(step_ms);
            let started = |directory: &Directory, id: &UpstreamId| {
                directory.get(id).map(|entry| entry.registration.started_ms)
            };
            match event {
                Event::Put(number, started_ms) => directory.put(registration(number, started_ms)),
                Event::Removed(number) => directory.remove(&id(number), now),
                Event::Replaced(number, started_ms) => {
                    directory.replace(vec![registration(number, started_ms)], now);
                }
                Event::TableUnreachable => directory.table_unreachable(now),
                Event::TableReachable => directory.table_reachable(now),
                Event::Leaving(number) => {
                    let id = id(number);
                    leaving.extend(started(&directory, &id).map(|started_ms| (id.clone(), started_ms)));
                    directory.mark_leaving(&id, now);
                }
                Event::Pause(number, pause_ms) => {
                    let id = id(number);
                    let until = now + DurationMs(pause_ms);
                    if let Some(started_ms) = started(&directory, &id) {
                        let end = paused.entry((id.clone(), started_ms)).or_default();
                        *end = until.max(*end);
                    }
                    directory.pause_until(&id, until, now);
                }
            }
            directory.expire(now);
            for entry in directory.serving(&service()) {
                let instance = (entry.registration.upstream.clone(), entry.registration.started_ms);
                prop_assert!(!leaving.contains(&instance), "{instance:?} is leaving");
                let end = paused.get(&instance).copied().unwrap_or_default();
                prop_assert_eq!(entry.is_paused(now), now < end, "{:?}", instance);
            }
        }
    }
}

/// Guards against a retry time while an upstream still takes requests, and against one before the
/// first pause ends.
#[test]
fn service_is_paused_once_all_its_upstreams_are() {
    let mut directory = Directory::new(DurationMs(2_400));
    let now = TimeMs(1_000);
    for number in 0..3 {
        directory.put(registration(number, 1));
    }
    directory.mark_leaving(&id(0), now);
    directory.pause_until(&id(1), TimeMs(5_000), now);
    assert_eq!(directory.paused_until(&service(), now), None);
    directory.pause_until(&id(2), TimeMs(4_000), now);
    let first = directory.paused_until(&service(), now);
    assert_eq!(first, Some(TimeMs(4_000)));
    assert_eq!(directory.paused_until(&service(), TimeMs(4_000)), None);
}

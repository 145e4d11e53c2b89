//! Agents that are idle, unreachable or restarted, and a router that drains.

mod common;

use std::sync::Arc;
use std::sync::Mutex;

use common::closed_port;
use common::frames;
use common::get;
use common::good;
use common::parts;
use common::request_id;
use common::send;
use common::streamed_text;
use common::Agent;
use common::Ask;
use common::Part;
use common::Seen;
use common::CHAT;
use common::STREAM;
use dw_base::DurationMs;
use dw_base::Incarnation;
use dw_base::ManualClock;
use dw_base::Rng;
use dw_base::TimeMs;
use dw_place::Decision;
use dw_place::Observation;
use dw_place::PlaceRequest;
use dw_place::Policy;
use dw_place::RoundRobin;
use dw_place::Target;
use dw_router::Router;
use dw_wire::Frame;
use http::StatusCode;
use http_body_util::BodyExt;
use tokio::sync::Semaphore;

/// Streams that run when the router is told to stop.
const STREAMS: usize = 20;

/// Guards against pairs without traffic that know nothing of each other.
#[tokio::test]
async fn idle_agent_is_sent_heartbeats() {
    let agent = Agent::start("a", good("a")).await;
    let mut parts = parts(&[&agent]);
    parts.settings.heartbeat.0 = DurationMs(1);
    let _router = Router::start(parts).await.expect("started");
    let hellos = || agent.hellos.lock().expect("not poisoned").len();
    while hellos() < 2 {
        tokio::task::yield_now().await;
    }
    assert_eq!(agent.runs().len(), 0);
}

async fn attempts(router: &Router) -> u64 {
    let (_, metrics) = get(router.admin_addr().expect("configured"), "/metrics").await;
    let mut lines = metrics.lines();
    let line = lines.find_map(|line| line.strip_prefix("dandelionwall_attempts_total "));
    line.expect("measured").parse().expect("a number")
}

/// Guards against work for an agent that cannot be reached, and against one that stays unused
/// after it has come back.
#[tokio::test]
async fn suspect_agent_is_probed_until_it_answers() {
    let mut gone = Agent::start("a", good("a")).await;
    let closed = closed_port();
    gone.data_addr = closed.local_addr().expect("bound");
    // The control port is closed too, so that only requests reach the agent.
    let control = closed_port();
    gone.control_addr = control.local_addr().expect("bound");
    let other = Agent::start("b", good("b")).await;
    let clock = Arc::new(ManualClock::new(TimeMs(1_000_000)));
    let mut parts = parts(&[&gone, &other]);
    parts.clock = clock.clone();
    let router = Router::start(parts).await.expect("started");
    let ask = || async {
        let (code, _, text) = Ask::chat(CHAT).send(router.callers_addr()).await;
        assert_eq!(code, StatusCode::OK, "{text}");
    };
    while attempts(&router).await < 2 {
        ask().await;
    }
    let before = attempts(&router).await;
    for _ in 0..4 {
        ask().await;
    }
    // The probe is not due, so that every request has one attempt.
    assert_eq!(attempts(&router).await, before + 4);
    gone.serve_on(closed.listen(16).expect("listening"), good("a"));
    while gone.runs().is_empty() {
        clock.advance(DurationMs(100));
        ask().await;
    }
    for _ in 0..4 {
        ask().await;
    }
    assert!(gone.runs().len() >= 3, "{}", gone.runs().len());
}

/// Places like round robin and records lost caches.
struct Recording(RoundRobin, Arc<Mutex<usize>>);

impl Policy for Recording {
    fn name(&self) -> &'static str {
        "recording"
    }

    fn place(
        &mut self,
        request: &PlaceRequest,
        targets: &[Target],
        now: TimeMs,
        rng: &mut Rng,
    ) -> Option<Decision> {
        self.0.place(request, targets, now, rng)
    }

    fn observe(&mut self, observation: &Observation, _now: TimeMs) {
        if matches!(observation, Observation::CacheLost { .. }) {
            *self.1.lock().expect("not poisoned") += 1;
        }
    }
}

/// Returns an answer of the process with an incarnation.
fn answer_of(seen: &Seen, incarnation: u64) -> Vec<Part> {
    let mut frames = frames(&request_id(seen), "a", 1);
    for frame in &mut frames {
        let status = match frame {
            Frame::Start(start) => &mut start.status,
            Frame::End(end) => &mut end.status,
            _ => continue,
        };
        status.agent_incarnation = Incarnation(incarnation);
    }
    send(frames)
}

/// Guards against hints of a cache that a restarted agent no longer has, and against late answers
/// of the old process that count as another restart.
#[tokio::test]
async fn restarted_agent_loses_its_cache_once() {
    let incarnations = [5, 5, 6, 5, 6];
    let agent = Agent::start("a", move |seen, index| answer_of(seen, incarnations[index])).await;
    let lost = Arc::new(Mutex::new(0));
    let mut parts = parts(&[&agent]);
    parts.policy = Box::new(Recording(RoundRobin::default(), lost.clone()));
    let router = Router::start(parts).await.expect("started");
    let mut counts = Vec::new();
    for _ in incarnations {
        let (code, _, text) = Ask::chat(CHAT).send(router.callers_addr()).await;
        assert_eq!(code, StatusCode::OK, "{text}");
        counts.push(*lost.lock().expect("not poisoned"));
    }
    assert_eq!(counts, [0, 0, 1, 1, 1]);
}

/// Guards against a shutdown that cuts off some of many streams, or takes new work meanwhile.
#[tokio::test]
async fn drain_under_load_cuts_off_no_stream() {
    let gate = Arc::new(Semaphore::new(0));
    let held = gate.clone();
    let agent = Agent::start("a", move |seen, _| {
        let mut parts = send(frames(&request_id(seen), "a", 3));
        parts.insert(2, Part::Gate(held.clone()));
        parts
    })
    .await;
    let router = Router::start(parts(&[&agent])).await.expect("started");
    let callers = router.callers_addr();
    let admin = router.admin_addr().expect("configured");
    let opening = (0..STREAMS).map(|_| Ask::chat(STREAM).open(callers));
    let streams = futures::future::join_all(opening).await;
    let shutdown = tokio::spawn(router.shutdown());
    while get(admin, "/readyz").await.0 == StatusCode::OK {
        tokio::task::yield_now().await;
    }
    let asking = (0..STREAMS).map(|_| Ask::chat(CHAT).send(callers));
    for (code, _, text) in futures::future::join_all(asking).await {
        assert_eq!(code, StatusCode::SERVICE_UNAVAILABLE, "{text}");
        assert!(text.contains(r#""not_run":true"#), "{text}");
    }
    gate.add_permits(STREAMS);
    for stream in streams {
        let body = stream.into_body().collect().await.expect("body").to_bytes();
        let text = String::from_utf8(body.to_vec()).expect("text");
        assert_eq!(streamed_text(&text), "<0><1><2>");
        assert!(text.ends_with("data: [DONE]\n\n"), "{text}");
    }
    shutdown.await.expect("stopped");
    assert_eq!(agent.runs().len(), STREAMS);
}

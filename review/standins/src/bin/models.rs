//! Case: new weights are named for one of the two models that the engines hold.
//!
//! One zone with two gateways and four model engines, each with the models m0 and m1. The first configuration
//! has a route for m0, a later one adds a route for m1. Then new weights of m0 are named. Clients with long
//! streams of m1 lose their connections, one after the other, and take their streams up at the other gateway.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use review_standins::client::Call;
use review_standins::client::Next;
use review_standins::engine::Engine;
use review_standins::engine::Run;
use review_standins::engine::Settings;
use review_standins::engine::Work;
use review_standins::fleet::Site;
use review_standins::fleet::ZONE;
use review_standins::record::Record;
use review_standins::store::Store;

/// Pause between two requests on the route for m0 and on the one for m1.
const PAUSES_MS: [u64; 2] = [8, 150];

/// Long streams of m1, their events, and the events after which the first of their clients loses its connection.
const STREAMS: u64 = 20;
const STREAM_EVENTS: u64 = 300;
const FIRST_BREAK: u64 = 100;

/// Pause between two events.
const GAP_MS: u64 = 100;

/// Streams that the rule asks for.
const FEWEST_TAKEN_UP: usize = 12;

/// Time after which all engines have had the new weights for long.
const SETTLED: Duration = Duration::from_secs(12);
const STEADY: Duration = Duration::from_secs(20);

/// Output tokens of the short streams.
const SHORT_EVENTS: u64 = 4;

fn config(version: u64, models: usize) -> String {
    let route = |model: usize| {
        format!(
            "{{\"name\":\"r-m{model}\",\"host\":\"writers.example\",\"prefix\":\"/m{model}/\",\"kind\":\"streaming\",\
             \"timeout-ms\":40000,\"slo-ms\":600,\"priority\":1,\"service\":\"writers\",\"max-attempts\":2,\
             \"anonymous\":false,\"sticky\":true,\"can-resume\":true,\"gap-target-ms\":400}}"
        )
    };
    let routes: Vec<String> = (0..models).map(route).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"writers\",\"health-path\":\"/healthz\",\
         \"max-conns\":240,\"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":32,\"kv-capacity\":224223,\
         \"kv-bytes\":131072,\"link-mbps\":550000.0,\"max-inflight\":12,\"models\":[{{\"name\":\"m0\"}},{{\"name\":\"m1\"}}]}}}}],\
         \"limits\":{{\"header-bytes\":16384,\"body-bytes\":4194304,\"header-ms\":3000,\"idle-ms\":15000}},\
         \"tenants\":[{{\"name\":\"ten1\",\"api-keys\":[\"key-1\"],\"priority\":1,\"exclusive\":false}}]}}",
        routes.join(",")
    )
}

fn call(model: usize, number: u64, events: u64) -> Call {
    let prompt = format!(
        "a{model}{:02x}:800,b{model}{:02x}:400,c{model}{number:05x}:50",
        number % 3,
        number % 20
    );
    let headers = [
        ("Model", format!("m{model}")),
        ("Token-Usage", format!("1250,{events}")),
        ("Prompt-Prefix", prompt),
    ];
    Call {
        method: "POST".to_owned(),
        host: "writers.example".to_owned(),
        path: format!("/m{model}/1"),
        attempt: format!("m{model}-{number:05}"),
        key: "key-1".to_owned(),
        deadline_ms: 10 * GAP_MS * events.max(10),
        headers: headers
            .iter()
            .map(|(name, value)| (name.to_string(), value.clone()))
            .collect(),
        body: format!("quote {number}"),
    }
}

/// Requests for each model: when they were sent, and whether they were served.
type Served = Arc<Mutex<Vec<(usize, u64, bool)>>>;

fn ask(record: &Record, call: &Call, addr: SocketAddr) -> bool {
    let stream = call.open(addr);
    let status = stream.as_ref().map_or(0, |stream| stream.status);
    let mut end = Next::Broken;
    if let Some(mut stream) = stream.filter(|stream| stream.status == 200) {
        loop {
            end = stream.next_event();
            if !matches!(end, Next::Event(..)) {
                break;
            }
        }
    }
    record.line(format!("{} answered {status}, {end:?}", call.attempt));
    end == Next::End
}

/// Reads a long stream of m1 until the client loses its connection, and takes it up at the other gateway;
/// returns whether it went on, or nothing if it was not taken up.
fn take_up(record: &Record, number: u64, addrs: &[SocketAddr]) -> Option<bool> {
    let mut call = call(1, 90_000 + number, STREAM_EVENTS);
    let began = call.attempt.clone();
    let mut stream = call.open(addrs[number as usize % 2])?;
    let mut last = 0;
    while last < FIRST_BREAK + 2 * number {
        match stream.next_event() {
            Next::Event(id, _) => last = id,
            _ => return None,
        }
    }
    drop(stream);
    record.line(format!("{began} lost its connection after event {last}"));
    call.headers
        .push(("Last-Event-Id".to_owned(), last.to_string()));
    call.headers.push(("Resumes".to_owned(), began.clone()));
    for again in 0..2 {
        call.attempt = format!("{began}-again{again}");
        let stream = call.open(addrs[(number as usize + 1 + again) % 2]);
        let status = stream.as_ref().map_or(0, |stream| stream.status);
        let next = match stream.filter(|stream| stream.status == 200) {
            Some(mut stream) => stream.next_event(),
            None => Next::Broken,
        };
        record.line(format!("{began} taken up: {status} {next:?}"));
        if let Next::Event(id, _) = next {
            return Some(id == last + 1);
        }
        thread::sleep(Duration::from_millis(1_000));
    }
    Some(false)
}

fn run() -> std::io::Result<u8> {
    let folder = PathBuf::from(std::env::args().nth(1).unwrap_or_else(|| ".".to_owned()));
    let is_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::create(&folder)?;
    let site = Site::create(&record)?;
    let store = Store::start(site.store_addr())?;
    store.put("op", "config", &config(1, 1));
    for model in ["m0", "m1"] {
        store.put(
            "op",
            &format!("version/{model}"),
            &format!("{{\"model\":\"{model}\",\"version\":1}}"),
        );
    }
    let runs = Arc::new(Mutex::new(Vec::<Run>::new()));
    let mut engines = Vec::new();
    let mut sides = Vec::new();
    for number in 1..=4 {
        let settings = Settings {
            name: format!("writer{number}"),
            addr: site.app(number),
            zone: ZONE.to_owned(),
            service: "writers".to_owned(),
            software: "v1".to_owned(),
            keeps_id: false,
            models: vec!["m0".to_owned(), "m1".to_owned()],
            slots: 32,
            queue: 96,
            work: Work::Stream {
                first_ms: 20,
                events: STREAM_EVENTS,
                gap_ms: GAP_MS,
                poison: None,
                down_ms: 0,
            },
            load_ms: 270,
        };
        engines.push(Engine::start(
            settings,
            store.clone(),
            record.clone(),
            runs.clone(),
        )?);
        let mut side = site.side(number, "writers")?;
        side.start()?;
        sides.push(side);
    }
    let mut fronts = Vec::new();
    for number in 1..=2 {
        let mut front = site.front(number)?;
        front.start()?;
        fronts.push(front);
    }
    if !fronts
        .iter()
        .all(|front| front.wait_ready(Duration::from_secs(15)))
    {
        record.say("not all gateways are ready");
        return Ok(2);
    }
    thread::sleep(Duration::from_secs(3));
    store.put("op", "config", &config(4, 2));
    record.say("version 4 of the configuration is acknowledged, with a route for m1");
    thread::sleep(Duration::from_secs(3));
    let addrs: Vec<SocketAddr> = fronts.iter().map(|front| front.front_addr()).collect();
    let served: Served = Arc::default();
    let is_over = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for (model, pause_ms) in PAUSES_MS.into_iter().enumerate() {
        let (record, addrs, served, is_over) = (
            record.clone(),
            addrs.clone(),
            served.clone(),
            is_over.clone(),
        );
        clients.push(thread::spawn(move || {
            let mut number = 0;
            while !is_over.load(Ordering::Relaxed) {
                let (record, served) = (record.clone(), served.clone());
                let addr = addrs[number as usize % addrs.len()];
                thread::spawn(move || {
                    let sent_ms = record.now_ms();
                    let is_served = ask(&record, &call(model, number, SHORT_EVENTS), addr);
                    served.lock().unwrap().push((model, sent_ms, is_served));
                });
                number += 1;
                thread::sleep(Duration::from_millis(pause_ms));
            }
        }));
    }
    thread::sleep(Duration::from_secs(4));
    let (sender, taken_up) = mpsc::channel();
    for number in 0..STREAMS {
        let (record, addrs, sender) = (record.clone(), addrs.clone(), sender.clone());
        thread::spawn(move || sender.send(take_up(&record, number, &addrs)));
        thread::sleep(Duration::from_millis(30));
    }
    drop(sender);
    thread::sleep(Duration::from_secs(2));
    let before_ms = record.now_ms();
    if is_trouble {
        store.put("op", "version/m0", "{\"model\":\"m0\",\"version\":2}");
        record.say("version 2 of m0 is acknowledged");
    }
    thread::sleep(SETTLED);
    let from_ms = record.now_ms();
    thread::sleep(STEADY);
    let to_ms = record.now_ms();
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    thread::sleep(Duration::from_secs(2));
    let share = |model: usize, from: u64, to: u64| {
        let served = served.lock().unwrap();
        let asked = served
            .iter()
            .filter(|(of, at, _)| *of == model && (from..to).contains(at));
        let asked: Vec<bool> = asked.map(|(_, _, is_served)| *is_served).collect();
        (
            asked.iter().filter(|is_served| **is_served).count(),
            asked.len(),
        )
    };
    let [before_first, before_later] = [share(0, 0, before_ms), share(1, 0, before_ms)];
    let [first, later] = [share(0, from_ms, to_ms), share(1, from_ms, to_ms)];
    record.say(format!(
        "served before: {} of {} on the first route, {} of {} on the route that was added later",
        before_first.0, before_first.1, before_later.0, before_later.1
    ));
    record.say(format!(
        "served in the steady state at the end: {} of {} on the first route, {} of {} on the route that was \
         added later",
        first.0, first.1, later.0, later.1
    ));
    if fronts
        .iter_mut()
        .chain(&mut sides)
        .any(|machine| machine.has_ended())
    {
        record.say("a process has ended");
        return Ok(2);
    }
    let taken_up: Vec<bool> = taken_up.iter().flatten().collect();
    let went_on = taken_up.iter().filter(|went_on| **went_on).count();
    let begun = (first.0 + later.0, first.1 + later.1);
    record.say(format!(
        "{went_on} of {} streams of m1 that were taken up went on; {} of {} new streams of both models began",
        taken_up.len(),
        begun.0,
        begun.1
    ));
    if taken_up.len() < FEWEST_TAKEN_UP {
        record.say("too few streams were taken up");
        return Ok(2);
    }
    let rate = |(served, asked): (usize, usize)| served as f64 / asked.max(1) as f64;
    let is_lost_broken = rate((went_on, taken_up.len())) < rate(begun) / 2.0;
    let is_config_broken = later.1 >= 20 && rate(later) < rate(first) / 4.0;
    record.say(format!(
        "LOST broken: {is_lost_broken}, CONFIG broken: {is_config_broken}"
    ));
    Ok(u8::from(is_lost_broken))
}

fn main() -> ExitCode {
    match run() {
        Ok(code) => ExitCode::from(code),
        Err(e) => {
            eprintln!("the case could not run: {e}");
            ExitCode::from(2)
        }
    }
}

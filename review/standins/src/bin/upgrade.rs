//! Case: engines are upgraded in place, one after the other, while the platform's store is down.
//!
//! One zone with two gateways and four model engines of software version v1. Streams run. The store is down
//! for some seconds. Meanwhile engines are stopped and start again under the ids that they had, with software
//! version v2. The streams that break are taken up by their clients.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::mpsc;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use review_standins::client::Call;
use review_standins::client::Next;
use review_standins::engine::Engine;
use review_standins::engine::Settings;
use review_standins::engine::Work;
use review_standins::fleet::Site;
use review_standins::fleet::ZONE;
use review_standins::record::Record;
use review_standins::store::Store;

const STREAMS: usize = 24;
const EVENTS: u64 = 100;
const GAP_MS: u64 = 120;

/// Length of the outage of the store.
const OUTAGE: Duration = Duration::from_millis(4_500);

/// Time that an engine is down during its upgrade.
const DOWN_MS: u64 = 1_000;

/// Streams of two versions that the rule accepts.
const JOINED_ACCEPTED: usize = 2;

const CONFIG: &str = "{\"version\":1,\"routes\":[{\"name\":\"r-writers\",\"host\":\"writers.example\",\
    \"prefix\":\"/quote/\",\"kind\":\"streaming\",\"timeout-ms\":30000,\"slo-ms\":600,\"priority\":1,\
    \"service\":\"writers\",\"max-attempts\":2,\"anonymous\":false,\"sticky\":true,\"can-resume\":true,\
    \"gap-target-ms\":400}],\"services\":[{\"name\":\"writers\",\"health-path\":\"/healthz\",\"max-conns\":240,\
    \"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":32,\"kv-capacity\":224223,\"kv-bytes\":131072,\
    \"link-mbps\":550000.0,\"max-inflight\":12,\"models\":[{\"name\":\"m0\"}]}}],\
    \"limits\":{\"header-bytes\":16384,\"body-bytes\":4194304,\"header-ms\":3000,\"idle-ms\":15000},\
    \"tenants\":[{\"name\":\"ten1\",\"api-keys\":[\"key-1\"],\"priority\":1,\"exclusive\":false}]}";

fn call(attempt: &str, number: usize) -> Call {
    let prompt = format!("aa{:02x}:800,bb{number:02x}:400", number % 4);
    let headers = [
        ("Model", "m0"),
        ("Token-Usage", "1200,100"),
        ("Prompt-Prefix", prompt.as_str()),
    ];
    Call {
        method: "POST".to_owned(),
        host: "writers.example".to_owned(),
        path: "/quote/1".to_owned(),
        attempt: attempt.to_owned(),
        key: "key-1".to_owned(),
        deadline_ms: 30_000,
        headers: headers
            .iter()
            .map(|(name, value)| (name.to_string(), value.to_string()))
            .collect(),
        body: format!("quote {number}"),
    }
}

fn software(event: &str) -> String {
    event.rsplit(' ').next().unwrap_or_default().to_owned()
}

/// Reads a stream to its end, and takes it up when it breaks; returns the software versions of its events.
fn read(record: &Record, number: usize, addrs: &[SocketAddr]) -> Vec<String> {
    let began = format!("s{number}");
    let mut versions: Vec<String> = Vec::new();
    let mut last = 0;
    for again in 0..8 {
        let mut call = call(&format!("{began}-{again}"), number);
        if again == 0 {
            call.attempt = began.clone();
        }
        if last > 0 {
            call.headers
                .push(("Last-Event-Id".to_owned(), last.to_string()));
            call.headers.push(("Resumes".to_owned(), began.clone()));
        }
        let Some(mut stream) = call.open(addrs[(number + again) % addrs.len()]) else {
            continue;
        };
        let (status, first) = (stream.status, last + 1);
        let mut end = Next::Broken;
        let mut by = Vec::new();
        if status == 200 {
            loop {
                end = stream.next_event();
                let Next::Event(id, text) = &end else {
                    break;
                };
                last = *id;
                by.push(software(text));
            }
        }
        by.dedup();
        record.line(format!(
            "{} answered {status}, events {first} to {last} by {by:?}, {end:?}",
            call.attempt
        ));
        versions.extend(by);
        if end == Next::End {
            break;
        }
        // The client comes back at once after a broken stream, and a little later after a refusal.
        thread::sleep(Duration::from_millis(if status == 200 { 20 } else { 400 }));
    }
    versions.sort();
    versions.dedup();
    versions
}

fn run() -> std::io::Result<u8> {
    let folder = PathBuf::from(std::env::args().nth(1).unwrap_or_else(|| ".".to_owned()));
    let is_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::create(&folder)?;
    let site = Site::create(&record)?;
    let store = Store::start(site.store_addr())?;
    store.put("op", "config", CONFIG);
    store.put("op", "version/m0", "{\"model\":\"m0\",\"version\":1}");
    let runs = Arc::new(Mutex::new(Vec::new()));
    let mut engines = Vec::new();
    let mut sides = Vec::new();
    for number in 1..=4 {
        let settings = Settings {
            name: format!("writer{number}"),
            addr: site.app(number),
            zone: ZONE.to_owned(),
            service: "writers".to_owned(),
            software: "v1".to_owned(),
            keeps_id: true,
            models: vec!["m0".to_owned()],
            slots: 32,
            queue: 96,
            work: Work::Stream {
                first_ms: 30,
                events: EVENTS,
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
    thread::sleep(Duration::from_secs(5));
    let addrs: Vec<SocketAddr> = fronts.iter().map(|front| front.front_addr()).collect();
    let (sender, read_streams) = mpsc::channel();
    for number in 0..STREAMS {
        let (record, addrs, sender) = (record.clone(), addrs.clone(), sender.clone());
        thread::spawn(move || sender.send(read(&record, number, &addrs)));
        thread::sleep(Duration::from_millis(20));
    }
    drop(sender);
    thread::sleep(Duration::from_secs(2));
    if is_trouble {
        record.say("the store is down");
        store.set_down(true);
        let store = store.clone();
        let record = record.clone();
        thread::spawn(move || {
            thread::sleep(OUTAGE);
            store.set_down(false);
            record.say("the store is back");
        });
    }
    thread::sleep(Duration::from_millis(300));
    for engine in &engines[..3] {
        record.say(format!("{} is upgraded", engine.settings.name));
        engine.upgrade(DOWN_MS, "v2");
        thread::sleep(Duration::from_millis(DOWN_MS + 300));
    }
    let all: Vec<Vec<String>> = read_streams.iter().collect();
    let joined = all.iter().filter(|versions| versions.len() > 1).count();
    record.say(format!(
        "{joined} of {STREAMS} streams hold events of two software versions"
    ));
    if fronts
        .iter_mut()
        .chain(&mut sides)
        .any(|machine| machine.has_ended())
    {
        record.say("a process has ended");
        return Ok(2);
    }
    Ok(u8::from(joined > JOINED_ACCEPTED))
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

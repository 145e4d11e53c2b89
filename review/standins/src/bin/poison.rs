//! Case: a part of a prompt crashes each engine that begins to write an answer on it.
//!
//! One zone with two gateways and four model engines. Requests with the part come at both gateways, no two
//! alike. An engine that begins to write an answer on it writes the head and the first event, ends, and is
//! back after some seconds. Sound requests share the caller and the other parts.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
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

/// Part that crashes engines.
const POISON: &str = "dead01";

/// Bound in the settings.
const CONTACT_MS: u64 = 3_000;

/// Crashes after which the part must be known.
const CRASHES_UNTIL_KNOWN: usize = 5;

/// Requests with the part that may still reach engines.
const REQUESTS_ONCE_KNOWN: usize = 3;

/// Time that an engine is down after a crash.
const DOWN_MS: u64 = 3_000;

/// Pause between two requests with the part, and between two sound ones.
const POISON_PAUSE: Duration = Duration::from_millis(400);
const SOUND_PAUSE: Duration = Duration::from_millis(100);

const CALM: Duration = Duration::from_secs(8);
const TROUBLE: Duration = Duration::from_secs(30);

const CONFIG: &str = "{\"version\":1,\"routes\":[{\"name\":\"r-writers\",\"host\":\"writers.example\",\
    \"prefix\":\"/quote/\",\"kind\":\"streaming\",\"timeout-ms\":10000,\"slo-ms\":600,\"priority\":1,\
    \"service\":\"writers\",\"max-attempts\":2,\"anonymous\":false,\"sticky\":true,\"can-resume\":false,\
    \"gap-target-ms\":400}],\"services\":[{\"name\":\"writers\",\"health-path\":\"/healthz\",\"max-conns\":240,\
    \"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":32,\"kv-capacity\":224223,\"kv-bytes\":131072,\
    \"link-mbps\":550000.0,\"max-inflight\":12,\"models\":[{\"name\":\"m0\"}]}}],\
    \"limits\":{\"header-bytes\":16384,\"body-bytes\":4194304,\"header-ms\":3000,\"idle-ms\":15000},\
    \"tenants\":[{\"name\":\"ten1\",\"api-keys\":[\"key-1\"],\"priority\":1,\"exclusive\":false}]}";

fn call(attempt: &str, middle: &str) -> Call {
    let prompt = format!("aa01:800,{middle}:400,{attempt}:250");
    let headers = [
        ("Model", "m0"),
        ("Token-Usage", "1450,8"),
        ("Prompt-Prefix", prompt.as_str()),
    ];
    Call {
        method: "POST".to_owned(),
        host: "writers.example".to_owned(),
        path: "/quote/1".to_owned(),
        attempt: attempt.to_owned(),
        key: "key-1".to_owned(),
        deadline_ms: 10_000,
        headers: headers
            .iter()
            .map(|(name, value)| (name.to_string(), value.to_string()))
            .collect(),
        body: format!("quote {attempt}"),
    }
}

/// First attempts of sound requests: when they were sent, and whether they began.
type Begun = Arc<Mutex<Vec<(u64, bool)>>>;

fn ask(record: &Record, call: &Call, addr: SocketAddr) -> bool {
    let stream = call.open(addr);
    let status = stream.as_ref().map_or(0, |stream| stream.status);
    let mut events = 0;
    let mut end = Next::Broken;
    if let Some(mut stream) = stream.filter(|stream| stream.status == 200) {
        loop {
            end = stream.next_event();
            match end {
                Next::Event(..) => events += 1,
                _ => break,
            }
        }
    }
    record.line(format!(
        "{} answered {status}, {events} events, {end:?}",
        call.attempt
    ));
    events > 0
}

fn run() -> std::io::Result<u8> {
    let folder = PathBuf::from(std::env::args().nth(1).unwrap_or_else(|| ".".to_owned()));
    let is_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::create(&folder)?;
    let site = Site::create(&record)?;
    let store = Store::start(site.store_addr())?;
    store.put("op", "config", CONFIG);
    store.put("op", "version/m0", "{\"model\":\"m0\",\"version\":1}");
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
            models: vec!["m0".to_owned()],
            slots: 32,
            queue: 96,
            work: Work::Stream {
                first_ms: 40,
                events: 8,
                gap_ms: 20,
                poison: is_trouble.then(|| POISON.to_owned()),
                down_ms: DOWN_MS,
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
    thread::sleep(Duration::from_secs(4));
    let addrs: Vec<SocketAddr> = fronts.iter().map(|front| front.front_addr()).collect();
    let begun: Begun = Arc::default();
    let is_over = Arc::new(AtomicBool::new(false));
    let sound = {
        let (record, addrs, begun, is_over) = (
            record.clone(),
            addrs.clone(),
            begun.clone(),
            is_over.clone(),
        );
        thread::spawn(move || {
            let mut number = 0;
            while !is_over.load(Ordering::Relaxed) {
                let (record, begun) = (record.clone(), begun.clone());
                let addr = addrs[number % addrs.len()];
                thread::spawn(move || {
                    let sent_ms = record.now_ms();
                    let is_begun = ask(&record, &call(&format!("50{number:04x}"), "bb02"), addr);
                    begun.lock().unwrap().push((sent_ms, is_begun));
                });
                number += 1;
                thread::sleep(SOUND_PAUSE);
            }
        })
    };
    thread::sleep(CALM);
    let began_ms = record.now_ms();
    record.say(format!("requests with the part {POISON} come"));
    let mut number = 0;
    while record.now_ms() < began_ms + TROUBLE.as_millis() as u64 {
        let (record, addr) = (record.clone(), addrs[number % addrs.len()]);
        thread::spawn(move || ask(&record, &call(&format!("60{number:04x}"), POISON), addr));
        number += 1;
        thread::sleep(POISON_PAUSE);
    }
    is_over.store(true, Ordering::Relaxed);
    let _ = sound.join();
    thread::sleep(Duration::from_secs(1));
    let poisoned: Vec<u64> = {
        let runs = runs.lock().unwrap();
        let poisoned = runs.iter().filter(|run| run.prompt.contains(POISON));
        poisoned.map(|run| run.at_ms).collect()
    };
    if fronts
        .iter_mut()
        .chain(&mut sides)
        .any(|machine| machine.has_ended())
    {
        record.say("a process has ended");
        return Ok(2);
    }
    if !is_trouble {
        record.say(format!(
            "{} requests with the part ran, no engine crashed",
            poisoned.len()
        ));
    }
    // A request with the part that an engine runs crashes it, so the fifth one is the fifth crash.
    let known_ms = match is_trouble {
        true => poisoned
            .get(CRASHES_UNTIL_KNOWN - 1)
            .map(|fifth| fifth + CONTACT_MS),
        false => None,
    };
    let late = known_ms.map_or(0, |known| poisoned.iter().filter(|at| **at > known).count());
    let share = |from: u64, to: u64| {
        let begun = begun.lock().unwrap();
        let sent: Vec<bool> = begun
            .iter()
            .filter(|(at, _)| (from..to).contains(at))
            .map(|(_, b)| *b)
            .collect();
        let count = sent.iter().filter(|is_begun| **is_begun).count();
        (count, sent.len(), count as f64 / sent.len().max(1) as f64)
    };
    let end_ms = began_ms + TROUBLE.as_millis() as u64;
    let calm = share(0, began_ms);
    let troubled = share(known_ms.unwrap_or(began_ms) + CONTACT_MS, end_ms);
    record.say(format!(
        "{} requests with the part reached engines, {late} of them later than {CONTACT_MS} ms after the fifth \
         crash; sound requests that began at the first attempt: {} of {} before, {} of {} from 2 x {CONTACT_MS} ms \
         after the fifth crash",
        poisoned.len(),
        calm.0,
        calm.1,
        troubled.0,
        troubled.1,
    ));
    let is_budget_broken = late > REQUESTS_ONCE_KNOWN;
    let is_lost_broken = calm.1 >= 20 && troubled.1 >= 20 && troubled.2 < calm.2 / 2.0;
    record.say(format!(
        "BUDGET broken: {is_budget_broken}, LOST broken: {is_lost_broken}"
    ));
    Ok(u8::from(is_budget_broken || is_lost_broken))
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

//! The cases.

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use crate::bench::Plan;
use crate::bench::Site;
use crate::bench::CONFIG;
use crate::bench::CONTACT;
use crate::bench::HOST;
use crate::bench::MODEL;
use crate::engine::Engine;
use crate::http::Client;
use crate::process::Record;

/// Runs a case; returns whether the rule held.
pub fn run(name: &str, folder: PathBuf, has_trouble: bool) -> io::Result<bool> {
    match name {
        "streams" => streams(folder, has_trouble),
        "cut" => cut(folder, has_trouble),
        "upgrade" => upgrade(folder, has_trouble),
        "wall" => wall(folder, has_trouble),
        "name" => name_of_tenant(folder, has_trouble),
        _ => Err(io::Error::other("no such case")),
    }
}

/// Returns a configuration with routes to model engines and to plain servers.
fn configuration(version: u32, routes: &str, tenants: &str) -> String {
    let stream = format!(
        "{{\"name\":\"r-1\",\"host\":\"{HOST}\",\"prefix\":\"/tag/\",\"kind\":\"streaming\",\"timeout-ms\":10000,\
         \"slo-ms\":600,\"priority\":1,\"service\":\"writers\",\"max-attempts\":2,\"anonymous\":false,\
         \"sticky\":true,\"can-resume\":true,\"gap-target-ms\":400}}"
    );
    let read = plain_route("r-2", "/status/", "idempotent");
    let services = "[{\"name\":\"writers\",\"health-path\":\"/healthz\",\"max-conns\":240,\"protocol\":\"h1\",\
         \"tls\":false,\"engine\":{\"slots\":32,\"kv-capacity\":224223,\"kv-bytes\":131072,\
         \"link-mbps\":550000.0,\"moves\":true,\"backups\":true,\"stride\":9,\"max-inflight\":12,\
         \"pin-ms\":4000.0,\"hold-ms\":2000.0,\"handle_s\":5.0,\"models\":[{\"name\":\"m1\"}]}},\
         {\"name\":\"desk\",\"health-path\":\"/healthz\",\"max-conns\":110,\"protocol\":\"h1\",\"tls\":false}]";
    format!(
        "{{\"version\":{version},\"routes\":[{stream},{read}{routes}],\"services\":{services},\
         \"limits\":{{\"header-bytes\":16384,\"body-bytes\":4194304,\"header-ms\":3000,\"idle-ms\":15000}},\
         \"tenants\":[{tenants}]}}"
    )
}

fn plain_route(name: &str, prefix: &str, kind: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"prefix\":\"{prefix}\",\"kind\":\"{kind}\",\
         \"timeout-ms\":1500,\"slo-ms\":300,\"priority\":2,\"service\":\"desk\",\"max-attempts\":2,\
         \"anonymous\":false,\"sticky\":false,\"can-resume\":false}}"
    )
}

fn tenant(name: &str, keys: &[&str], exclusive: bool) -> String {
    format!(
        "{{\"name\":\"{name}\",\"api-keys\":[\"{}\"],\"priority\":1,\"exclusive\":{exclusive}}}",
        keys.join("\",\"")
    )
}

/// A stream that a client reads.
struct Reading {
    client: Client,
    /// Number of the last whole event.
    last: u32,
    /// Texts of the events.
    events: Vec<String>,
}

enum Begun {
    Stream(Reading),
    /// Another answer, or none.
    Refused,
}

/// Begins a stream, or takes one up after an event, and waits for its first event.
fn begin(
    addr: SocketAddr,
    (attempt, key, prompt): (&str, &str, &str),
    taken_up: Option<(&str, u32)>,
    record: &Record,
) -> Begun {
    let taken = taken_up.map(|(began, last)| format!("Resumes: {began}\r\nLast-Event-Id: {last}\r\n"));
    let request = format!(
        "POST /tag/x HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {attempt}\r\nModel: {MODEL}\r\n\
         Token-Usage: 1460,80\r\nPrompt-Prefix: {prompt}\r\nDeadline-Ms: 10000\r\n\
         Authorization: Bearer {key}\r\n{}Content-Length: {}\r\n\r\n{attempt}",
        taken.as_deref().unwrap_or_default(),
        attempt.len()
    );
    record.line(&format!(
        "client sends {attempt} to {addr} {}",
        taken.unwrap_or_default().replace("\r\n", " ")
    ));
    let begun = Client::send(addr, request.as_bytes(), Duration::from_secs(6)).and_then(|mut client| {
        let head = client.head()?;
        if head.status() != 200 {
            let body = client.body(&head)?;
            record.line(&format!(
                "{attempt} is answered {} {}",
                head.start,
                String::from_utf8_lossy(&body)
            ));
            return Ok(Begun::Refused);
        }
        let mut reading = Reading {
            client,
            last: taken_up.map_or(0, |(_, last)| last),
            events: Vec::new(),
        };
        match read_event(&mut reading)? {
            true => Ok(Begun::Stream(reading)),
            false => Ok(Begun::Refused),
        }
    });
    let begun = begun.unwrap_or_else(|e| {
        record.line(&format!("{attempt} gets no answer: {e}"));
        Begun::Refused
    });
    if let Begun::Stream(_) = begun {
        record.line(&format!("{attempt} has its first event"));
    }
    begun
}

/// Reads the next event; returns false at the end of the stream.
fn read_event(reading: &mut Reading) -> io::Result<bool> {
    let chunk = reading.client.chunk()?;
    if chunk.is_empty() {
        return Ok(false);
    }
    let text = String::from_utf8_lossy(&chunk).into_owned();
    let id = text.lines().find_map(|line| line.strip_prefix("id: "));
    reading.last = id.and_then(|id| id.parse().ok()).unwrap_or(reading.last);
    reading.events.push(text);
    Ok(true)
}

/// Streams of two software versions run while many processes are killed at one moment; clients of a killed
/// gateway take them up at the others.
fn streams(folder: PathBuf, has_trouble: bool) -> io::Result<bool> {
    let mut site = Site::start(&stream_plan(&["v1", "v2"]), &folder)?;
    let fronts: Vec<SocketAddr> = site.gateways.iter().map(|gateway| gateway.front).collect();
    let record = site.record.clone();
    let clients = Clients::begin(&fronts, &record);
    sleep(Duration::from_millis(1_500));
    if has_trouble {
        for machine in site.sides.iter().chain(site.gateways.first()) {
            machine.kill();
            record.line(&format!("killed {}", machine.name));
        }
    }
    clients.break_off();
    let new = begin_new(&fronts, &record);
    if has_trouble {
        for machine in site.sides.iter_mut().chain(site.gateways.first_mut()) {
            machine.start()?;
            record.line(&format!("started {} again", machine.name));
        }
    }
    judge_streams(clients, new, &record)
}

/// Each engine is cut off for a second, one after the other, twice, while streams run. Later, with all well again, clients
/// take streams up.
fn cut(folder: PathBuf, has_trouble: bool) -> io::Result<bool> {
    const BACKGROUND: usize = 72;
    const ROUNDS: usize = 2;
    let site = Site::start(&stream_plan(&["v1"]), &folder)?;
    let fronts: Vec<SocketAddr> = site.gateways.iter().map(|gateway| gateway.front).collect();
    let record = site.record.clone();
    let stop = Arc::new(AtomicBool::new(false));
    let readers: Vec<_> = (0..BACKGROUND)
        .map(|number| {
            let (front, record, stop) = (fronts[number % fronts.len()], record.clone(), stop.clone());
            thread::spawn(move || {
                for turn in 0.. {
                    let id = format!("before-{number}-{turn}");
                    let prompt = prompt(turn * BACKGROUND + number);
                    if let Begun::Stream(mut reading) = begin(front, (&id, "k1", &prompt), None, &record) {
                        while !stop.load(Ordering::SeqCst) && matches!(read_event(&mut reading), Ok(true)) {}
                    }
                    if stop.load(Ordering::SeqCst) {
                        return;
                    }
                    sleep(Duration::from_millis(500));
                }
            })
        })
        .collect();
    sleep(Duration::from_millis(1_500));
    let mut engines: Vec<Arc<Engine>> = site.shared.engines.lock().unwrap().values().cloned().collect();
    engines.sort_by_key(|engine| engine.setup.addr);
    for engine in engines.iter().cycle().take(ROUNDS * engines.len()) {
        if has_trouble {
            record.line(&format!("cut {} off for 1 s", engine.setup.id));
            engine.cut_off(Duration::from_secs(1));
            record.line(&format!("the cut of {} has ended", engine.setup.id));
        } else {
            sleep(Duration::from_secs(1));
        }
        sleep(Duration::from_secs(1));
    }
    stop.store(true, Ordering::SeqCst);
    for reader in readers {
        // A client that has failed has nothing to tell.
        let _ = reader.join();
    }
    // All machines are in touch again.
    sleep(CONTACT + Duration::from_secs(3));
    let clients = Clients::begin(&fronts, &record);
    sleep(Duration::from_millis(1_500));
    clients.break_off();
    let new = begin_new(&fronts, &record);
    judge_streams(clients, new, &record)
}

/// Streams that are taken up, and new ones beside them.
const STREAMS: usize = 24;

const EVENTS: u32 = 50;

fn stream_plan(versions: &[&'static str]) -> Plan {
    Plan {
        gateways: 3,
        engines: versions.iter().copied().cycle().take(6).collect(),
        plain_servers: 0,
        events: EVENTS,
        pause: Duration::from_millis(120),
        configuration: configuration(1, "", &tenant("sese", &["k1"], false)),
    }
}

/// Returns the parts of a prompt, of which requests share the first one or two.
fn prompt(number: usize) -> String {
    format!(
        "5c1e07a2:800,{:08x}:410,{number:08x}:250",
        0x91bd_3f00 + number % 12
    )
}

/// Clients that read streams through the first gateway and take them up at the others.
struct Clients {
    threads: Vec<thread::JoinHandle<Option<bool>>>,
    is_broken: Arc<AtomicBool>,
}

impl Clients {
    fn begin(fronts: &[SocketAddr], record: &Record) -> Self {
        let is_broken = Arc::new(AtomicBool::new(false));
        let mut threads = Vec::new();
        for number in 0..STREAMS {
            let (fronts, record, is_broken) = (fronts.to_vec(), record.clone(), is_broken.clone());
            threads.push(thread::spawn(move || {
                read_and_take_up(number, &fronts, &is_broken, &record)
            }));
            sleep(Duration::from_millis(40));
        }
        Clients { threads, is_broken }
    }

    /// Breaks the clients' connections, as far as they still stand.
    fn break_off(&self) {
        self.is_broken.store(true, Ordering::SeqCst);
    }
}

/// Returns whether the stream went on; nothing if it was not taken up.
fn read_and_take_up(
    number: usize,
    fronts: &[SocketAddr],
    is_broken: &AtomicBool,
    record: &Record,
) -> Option<bool> {
    let id = format!("a-{number}");
    let prompt = prompt(number);
    let Begun::Stream(mut reading) = begin(fronts[0], (&id, "k1", &prompt), None, record) else {
        return None;
    };
    while matches!(read_event(&mut reading), Ok(true)) && !is_broken.load(Ordering::SeqCst) {}
    if reading.last >= EVENTS {
        return None;
    }
    drop(reading.client);
    record.line(&format!("{id} is broken off after event {}", reading.last));
    for attempt in 0..2 {
        sleep(Duration::from_millis(100 + 400 * attempt));
        let front = fronts[1 + (number + attempt as usize) % 2];
        let next = format!("{id}-{}", attempt + 1);
        let request = (next.as_str(), "k1", prompt.as_str());
        if let Begun::Stream(_) = begin(front, request, Some((&id, reading.last)), record) {
            return Some(true);
        }
    }
    Some(false)
}

/// Begins new streams at the other gateways.
fn begin_new(fronts: &[SocketAddr], record: &Record) -> Vec<thread::JoinHandle<bool>> {
    let mut new = Vec::new();
    for number in 0..STREAMS {
        let (front, record) = (fronts[1 + number % 2], record.clone());
        new.push(thread::spawn(move || {
            let id = format!("n-{number}");
            let prompt = prompt(1_000 + number);
            matches!(
                begin(front, (&id, "k1", &prompt), None, &record),
                Begun::Stream(_)
            )
        }));
        sleep(Duration::from_millis(40));
    }
    new
}

/// Compares the share of the streams that went on with that of the new streams that began.
fn judge_streams(clients: Clients, new: Vec<thread::JoinHandle<bool>>, record: &Record) -> io::Result<bool> {
    let begun = new
        .into_iter()
        .filter_map(|client| client.join().ok())
        .filter(|begun| *begun)
        .count();
    let ended = clients
        .threads
        .into_iter()
        .filter_map(|client| client.join().ok().flatten());
    let taken_up: Vec<bool> = ended.collect();
    let went_on = taken_up.iter().filter(|went_on| **went_on).count();
    let new_share = begun as f64 / STREAMS as f64;
    let share = went_on as f64 / taken_up.len().max(1) as f64;
    let text = format!(
        "taken up: {}, went on: {went_on} ({share:.2}); new streams: {STREAMS}, began: {begun} ({new_share:.2})",
        taken_up.len()
    );
    record.line(&text);
    println!("{text}");
    if taken_up.len() < 12 || begun < STREAMS / 2 {
        return Err(io::Error::other("too few streams to judge"));
    }
    Ok(share >= new_share / 2.0)
}

/// A tenant becomes exclusive by a new configuration.
fn wall(folder: PathBuf, has_trouble: bool) -> io::Result<bool> {
    let tenants = |exclusive| {
        let first = tenant("sese", &["k1"], exclusive);
        format!("{first},{}", tenant("tata", &["k2"], false))
    };
    let plan = Plan {
        gateways: 2,
        engines: vec!["v1", "v1"],
        plain_servers: 0,
        events: 4,
        pause: Duration::from_millis(20),
        configuration: configuration(1, "", &tenants(false)),
    };
    let site = Site::start(&plan, &folder)?;
    let record = site.record.clone();
    let fronts: Vec<SocketAddr> = site.gateways.iter().map(|gateway| gateway.front).collect();
    let send = |name: &str, key: &str, count: usize| {
        let mut served = 0;
        for number in 0..count {
            let id = format!("{name}-{number}");
            let prompt = format!("5c1e07a2:800,91bd3f06:410,{}{number:06x}:250", &key[1..]);
            let begun = begin(fronts[number % 2], (&id, key, &prompt), None, &record);
            if let Begun::Stream(mut reading) = begun {
                while matches!(read_event(&mut reading), Ok(true)) {}
                served += 1;
            }
        }
        served
    };
    let before = send("before", "k1", 8);
    site.store
        .write("op", "config", Some(&configuration(2, "", &tenants(has_trouble))));
    record.line(&format!(
        "configuration 2 is acknowledged: tenant sese is exclusive: {has_trouble}"
    ));
    let acknowledged = Instant::now();
    sleep(CONFIG + CONTACT);
    let after = send("after", "k2", 8);
    let uses = site.shared.uses.lock().unwrap();
    let foreign = uses
        .iter()
        .filter(|used| used.at > acknowledged && used.tenant != used.made_by);
    let foreign = foreign
        .filter(|used| used.tenant == "tata" && used.made_by == "sese")
        .count();
    let text = format!(
        "served: {before} before, {after} after; parts made by requests of sese that requests of tata used \
         afterwards: {foreign}, while sese is exclusive: {has_trouble}"
    );
    record.line(&text);
    println!("{text}");
    if before < 8 || after < 8 {
        return Err(io::Error::other("too few requests were served to judge"));
    }
    Ok(!has_trouble || foreign == 0)
}

/// A configuration takes a key away and adds a route, and a tenant with a name in Yoruba, of 36 letters.
fn name_of_tenant(folder: PathBuf, has_trouble: bool) -> io::Result<bool> {
    let name = match has_trouble {
        true => "Ẹgbẹ́ Ìyá Ìjọ Mímọ́ Ẹ̀ka Ìkẹjà, Èkó",
        false => "Egbe Iya Ijo Mimo Eka Ikeja, Eko",
    };
    change_configuration(&folder, name)
}

/// Changes the configuration: a key is taken away, and a route and a tenant are added. Returns whether it is in force
/// in time.
fn change_configuration(folder: &Path, name: &str) -> io::Result<bool> {
    const REQUESTS: usize = 20;
    let plan = Plan {
        gateways: 2,
        engines: vec!["v1", "v1"],
        plain_servers: 3,
        events: 4,
        pause: Duration::from_millis(20),
        configuration: configuration(1, "", &tenant("sese", &["k1", "k2"], false)),
    };
    let site = Site::start(&plan, folder)?;
    let record = site.record.clone();
    let fronts: Vec<SocketAddr> = site.gateways.iter().map(|gateway| gateway.front).collect();
    let call = |attempt: &str, front: SocketAddr, path: &str, key: &str| -> u16 {
        let request = format!(
            "GET {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {attempt}\r\nDeadline-Ms: 1500\r\n\
             Authorization: Bearer {key}\r\n\r\n"
        );
        let answer = Client::send(front, request.as_bytes(), Duration::from_secs(3));
        let status = answer
            .and_then(|mut answer| answer.head())
            .map_or(0, |head| head.status());
        record.line(&format!("{attempt} {path} with key {key} to {front}: {status}"));
        status
    };
    let count = |name: &str, path: &str, key: &str, wanted: u16| -> usize {
        let statuses =
            (0..REQUESTS).map(|number| call(&format!("{name}-{number}"), fronts[number % 2], path, key));
        statuses.filter(|status| *status == wanted).count()
    };
    let before = count("before", "/status/x", "k2", 200);
    let tenants = format!(
        "{},{}",
        tenant("sese", &["k1"], false),
        tenant(name, &["k3"], false)
    );
    let route = format!(",{}", plain_route("r-3", "/shelf/", "idempotent"));
    site.store
        .write("op", "config", Some(&configuration(2, &route, &tenants)));
    record.line(&format!("configuration 2 is acknowledged, with tenant {name}"));
    sleep(CONFIG + CONTACT);
    let kept = count("kept", "/status/x", "k1", 200);
    let dropped_key = count("dropped", "/status/x", "k2", 200);
    let no_route = count("route", "/shelf/x", "k1", 404);
    let no_key = count("new", "/status/x", "k3", 401);
    let text = format!(
        "of {REQUESTS} each, {:?} after the acknowledgement: run with the dropped key {dropped_key}, refused with \
         404 on the new route {no_route}, refused with 401 with the new key {no_key}; served with the key that \
         stayed {kept}, with the dropped key before {before}",
        CONFIG + CONTACT
    );
    record.line(&text);
    println!("{text}");
    if before < REQUESTS || kept < REQUESTS {
        return Err(io::Error::other("too few requests were served to judge"));
    }
    Ok(dropped_key + no_route + no_key == 0)
}

/// The machine of the last engine of an old software version loses power, and comes back with the new version under
/// the engine's id. Its clients take their streams up.
fn upgrade(folder: PathBuf, has_trouble: bool) -> io::Result<bool> {
    const READERS: usize = 72;
    let plan = Plan {
        engines: vec!["v1", "v2", "v2", "v2", "v2", "v2", "v2"],
        ..stream_plan(&[])
    };
    let mut site = Site::start(&plan, &folder)?;
    let fronts: Vec<SocketAddr> = site.gateways.iter().map(|gateway| gateway.front).collect();
    let record = site.record.clone();
    let mut engines: Vec<Arc<Engine>> = site.shared.engines.lock().unwrap().values().cloned().collect();
    engines.sort_by_key(|engine| engine.setup.addr);
    // The engines that are new are slow for a while after their start, and say so with each heartbeat.
    let stop = Arc::new(AtomicBool::new(false));
    let beats = {
        let (store, others, stop) = (site.store.clone(), engines[1..].to_vec(), stop.clone());
        thread::spawn(move || {
            let pause_ms = HEARTBEAT_MS / others.len() as u64;
            let mut left_ms = 60_000;
            while !stop.load(Ordering::SeqCst) {
                for engine in &others {
                    store.write(
                        "servers",
                        &engine.setup.id,
                        Some(&engine.registration("writers", left_ms)),
                    );
                    sleep(Duration::from_millis(pause_ms));
                    left_ms -= pause_ms;
                }
            }
        })
    };
    let readers: Vec<_> = (0..READERS)
        .map(|number| {
            let (fronts, record) = (fronts.clone(), record.clone());
            sleep(Duration::from_millis(20));
            thread::spawn(move || versions_of_stream(number, &fronts, &record))
        })
        .collect();
    sleep(Duration::from_millis(500));
    let old = &engines[0];
    if has_trouble {
        site.sides[0].kill();
        old.power_off();
        record.line(&format!(
            "the machine of {} and {} has lost power",
            old.setup.id, site.sides[0].name
        ));
        sleep(Duration::from_millis(1_900));
        old.power_on("v2");
        site.store
            .write("servers", &old.setup.id, Some(&old.registration("writers", 0)));
        record.line(&format!("{} is back with v2, and registered", old.setup.id));
        sleep(Duration::from_millis(500));
        site.sides[0].start()?;
        record.line(&format!("{} is back", site.sides[0].name));
    }
    let seen: Vec<Vec<String>> = readers
        .into_iter()
        .filter_map(|reader| reader.join().ok())
        .collect();
    stop.store(true, Ordering::SeqCst);
    // It has nothing to tell.
    let _ = beats.join();
    let began = seen
        .iter()
        .filter(|versions| versions.first().is_some_and(|version| version == "v1"))
        .count();
    let joined = seen.iter().filter(|versions| versions.len() > 1).count();
    let text = format!(
        "streams: {}, begun at v1: {began}, with events of two software versions: {joined}",
        seen.len()
    );
    record.line(&text);
    println!("{text}");
    if began < 3 {
        return Err(io::Error::other("too few streams began at the old version"));
    }
    Ok(joined <= 2)
}

const HEARTBEAT_MS: u64 = 1_200;

/// Reads a stream to its end, over two tries if need be; returns the software versions of its events.
fn versions_of_stream(number: usize, fronts: &[SocketAddr], record: &Record) -> Vec<String> {
    let id = format!("a-{number}");
    let prompt = prompt(number);
    let mut versions: Vec<String> = Vec::new();
    let mut last = 0;
    for attempt in 0..2 {
        let name = if attempt == 0 {
            id.clone()
        } else {
            format!("{id}-{attempt}")
        };
        let front = fronts[(number + attempt) % fronts.len()];
        let taken_up = (attempt > 0).then_some((id.as_str(), last));
        if let Begun::Stream(mut reading) = begin(front, (&name, "k1", &prompt), taken_up, record) {
            while matches!(read_event(&mut reading), Ok(true)) {}
            for event in &reading.events {
                let data = event.lines().find_map(|line| line.strip_prefix("data: "));
                let version = data.and_then(|data| data.split(' ').next()).unwrap_or_default();
                if versions.last().is_none_or(|last| last != version) {
                    versions.push(version.to_owned());
                }
            }
            last = reading.last;
        }
        if last >= EVENTS || last == 0 {
            break;
        }
        record.line(&format!("{name} is broken off after event {last}"));
        sleep(Duration::from_millis(50));
    }
    if versions.len() > 1 {
        record.line(&format!("{id} has events of {}", versions.join(" and ")));
    }
    versions
}

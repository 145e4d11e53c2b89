//! Case: a rolling restart, and streams that clients take up afterwards.
//!
//! One zone with three gateways and four model engines, two of each of two software versions. Streams run
//! through the first gateway. The operator stops and starts the machines in turn: first the four beside the
//! engines, then the first gateway, which ends before the streams do. Their clients take them up at the
//! other two gateways, which are calm.

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
use review_standins::fleet::SIGTERM;
use review_standins::fleet::ZONE;
use review_standins::record::Record;
use review_standins::store::Store;

/// Number of streams through the first gateway.
const STREAMS: usize = 20;

/// Events of a stream, and the pause between them.
const EVENTS: u64 = 240;
const GAP_MS: u64 = 120;

/// Streams that the rule asks for.
const FEWEST_TAKEN_UP: usize = 12;

const CONFIG: &str = "{\"version\":1,\"routes\":[{\"name\":\"r-writers\",\"host\":\"writers.example\",\
    \"prefix\":\"/quote/\",\"kind\":\"streaming\",\"timeout-ms\":40000,\"slo-ms\":600,\"priority\":1,\
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
        ("Token-Usage", "1200,240"),
        ("Prompt-Prefix", prompt.as_str()),
    ];
    Call {
        method: "POST".to_owned(),
        host: "writers.example".to_owned(),
        path: "/quote/1".to_owned(),
        attempt: attempt.to_owned(),
        key: "key-1".to_owned(),
        deadline_ms: 40_000,
        headers: headers
            .iter()
            .map(|(name, value)| (name.to_string(), value.to_string()))
            .collect(),
        body: format!("quote {number}"),
    }
}

/// What became of one stream.
struct Fate {
    software: String,
    was_taken_up: bool,
    went_on: bool,
}

fn software(event: &str) -> String {
    event.rsplit(' ').next().unwrap_or_default().to_owned()
}

struct Client {
    record: Record,
    number: usize,
    first: std::net::SocketAddr,
    others: Vec<std::net::SocketAddr>,
    /// Set once the client's own connection breaks without trouble.
    breaks: Arc<Mutex<bool>>,
}

impl Client {
    /// Reads a stream at the first gateway, and takes it up at another one when its connection breaks.
    fn run(&self) -> Fate {
        let mut fate = Fate {
            software: String::new(),
            was_taken_up: false,
            went_on: false,
        };
        let attempt = format!("s{}", self.number);
        let Some(mut stream) = call(&attempt, self.number).open(self.first) else {
            return fate;
        };
        let mut last = 0;
        loop {
            match stream.next_event() {
                Next::Event(id, text) => {
                    last = id;
                    fate.software = software(&text);
                }
                Next::End => return fate,
                Next::Broken => break,
            }
            if *self.breaks.lock().unwrap() {
                break;
            }
        }
        drop(stream);
        self.record.line(format!(
            "{attempt} broke after event {last} by {}",
            fate.software
        ));
        if last == 0 {
            return fate;
        }
        fate.was_taken_up = true;
        for again in 0..2 {
            let mut taken_up = call(&format!("{attempt}-again{again}"), self.number);
            taken_up
                .headers
                .push(("Last-Event-Id".to_owned(), last.to_string()));
            taken_up
                .headers
                .push(("Resumes".to_owned(), attempt.clone()));
            let addr = self.others[(self.number + again) % self.others.len()];
            let Some(mut stream) = taken_up.open(addr) else {
                continue;
            };
            let next = match stream.status {
                200 => stream.next_event(),
                _ => Next::Broken,
            };
            self.record
                .line(format!("{attempt} taken up: {} {next:?}", stream.status));
            if let Next::Event(id, text) = next {
                fate.went_on = id == last + 1 && software(&text) == fate.software;
                return fate;
            }
            thread::sleep(Duration::from_millis(1_000));
        }
        fate
    }
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
            software: format!("v{}", 1 + number % 2),
            keeps_id: false,
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
    for number in 1..=3 {
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
    let breaks = Arc::new(Mutex::new(false));
    let others: Vec<_> = fronts[1..].iter().map(|front| front.front_addr()).collect();
    let (sender, fates) = mpsc::channel();
    for number in 0..STREAMS {
        let client = Client {
            record: record.clone(),
            number,
            first: fronts[0].front_addr(),
            others: others.clone(),
            breaks: breaks.clone(),
        };
        let sender = sender.clone();
        thread::spawn(move || sender.send(client.run()));
    }
    drop(sender);
    record.say(format!("{STREAMS} streams begin at {}", fronts[0].name));
    thread::sleep(Duration::from_secs(2));
    for side in &mut sides {
        if is_trouble {
            record.say(format!("{} gets SIGTERM", side.name));
            side.signal(SIGTERM);
            side.wait();
            thread::sleep(Duration::from_millis(500));
            side.start()?;
        }
        thread::sleep(Duration::from_millis(1_500));
    }
    if is_trouble {
        record.say(format!("{} gets SIGTERM", fronts[0].name));
        fronts[0].signal(SIGTERM);
        fronts[0].wait();
        record.say(format!("{} has ended", fronts[0].name));
        fronts[0].start()?;
    } else {
        thread::sleep(Duration::from_secs(8));
        record.say("the clients' connections break");
        *breaks.lock().unwrap() = true;
    }
    let mut new_begun = 0;
    for number in 0..STREAMS {
        let stream = call(&format!("new{number}"), number).open(others[number % others.len()]);
        let is_begun = stream.is_some_and(|mut stream| {
            stream.status == 200 && matches!(stream.next_event(), Next::Event(..))
        });
        record.line(format!("new{number}: begun {is_begun}"));
        new_begun += usize::from(is_begun);
    }
    let fates: Vec<Fate> = fates.iter().collect();
    let taken_up = fates.iter().filter(|fate| fate.was_taken_up).count();
    let went_on = fates.iter().filter(|fate| fate.went_on).count();
    record.say(format!(
        "{went_on} of {taken_up} streams that were taken up went on; {new_begun} of {STREAMS} new streams began"
    ));
    for side in &mut sides {
        if side.has_ended() {
            record.say(format!("{} has ended", side.name));
            return Ok(2);
        }
    }
    if taken_up < FEWEST_TAKEN_UP {
        record.say("too few streams were taken up");
        return Ok(2);
    }
    let share = went_on as f64 / taken_up as f64;
    Ok(u8::from(share < 0.5 * new_begun as f64 / STREAMS as f64))
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

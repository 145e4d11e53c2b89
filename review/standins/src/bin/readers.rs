//! Case: the gateways that read the configuration for the others are lost, and a key is taken away.
//!
//! One zone with four gateways and two model engines. Two gateways are killed at once and stay away. The
//! operator then takes a key away and adds another. The other gateways are calm all the while.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use review_standins::client::Call;
use review_standins::engine::Engine;
use review_standins::engine::Settings;
use review_standins::engine::Work;
use review_standins::fleet::Machine;
use review_standins::fleet::Site;
use review_standins::fleet::SIGKILL;
use review_standins::fleet::ZONE;
use review_standins::record::Record;
use review_standins::store::Store;

/// Bound of the configuration in the settings.
const CONFIG_MS: u64 = 2_000;

fn config(version: u64, timeout_ms: u64, keys: &[&str]) -> String {
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-desk\",\"host\":\"desk.example\",\"prefix\":\"/desk/\",\
         \"kind\":\"idempotent\",\"timeout-ms\":{timeout_ms},\"slo-ms\":300,\"priority\":2,\"service\":\"desk\",\
         \"max-attempts\":2,\"anonymous\":false,\"sticky\":false,\"can-resume\":false}}],\
         \"services\":[{{\"name\":\"desk\",\"health-path\":\"/healthz\",\"max-conns\":110,\"protocol\":\"h1\",\"tls\":false}},\
         {{\"name\":\"writers\",\"health-path\":\"/healthz\",\"max-conns\":240,\"protocol\":\"h1\",\"tls\":false,\
         \"engine\":{{\"slots\":32,\"kv-capacity\":224223,\"kv-bytes\":131072,\"link-mbps\":550000.0,\"max-inflight\":12,\
         \"models\":[{{\"name\":\"m0\"}}]}}}}],\
         \"limits\":{{\"header-bytes\":16384,\"body-bytes\":4194304,\"header-ms\":3000,\"idle-ms\":15000}},\
         \"tenants\":[{{\"name\":\"ten1\",\"api-keys\":[{}],\"priority\":1,\"exclusive\":false}}]}}",
        keys.join(",")
    )
}

fn call(number: u64, key: &str) -> Call {
    Call {
        method: "GET".to_owned(),
        host: "desk.example".to_owned(),
        path: format!("/desk/{number}"),
        attempt: format!("{key}-{number:04}"),
        key: key.to_owned(),
        deadline_ms: 1_500,
        ..Call::default()
    }
}

/// Returns whether the gateway's last word is that it reads the tables for the others.
fn is_reader(machine: &Machine) -> bool {
    let log = machine.log();
    let last = log
        .lines()
        .rev()
        .find(|line| line.contains("role as table reader changed"));
    last.is_none_or(|line| line.contains("is_reader=true"))
}

fn run() -> std::io::Result<u8> {
    let folder = PathBuf::from(std::env::args().nth(1).unwrap_or_else(|| ".".to_owned()));
    let is_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::create(&folder)?;
    let site = Site::create(&record)?;
    let store = Store::start(site.store_addr())?;
    store.put("op", "config", &config(1, 1_500, &["key-old", "key-stays"]));
    store.put("op", "version/m0", "{\"model\":\"m0\",\"version\":1}");
    let runs = Arc::new(Mutex::new(Vec::new()));
    let mut engines = Vec::new();
    for number in 1..=2 {
        let settings = Settings {
            name: format!("desk{number}"),
            addr: site.plain(number),
            zone: ZONE.to_owned(),
            service: "desk".to_owned(),
            software: "v1".to_owned(),
            keeps_id: false,
            models: Vec::new(),
            slots: 6,
            queue: 24,
            work: Work::Plain { work_ms: 10 },
            load_ms: 0,
        };
        engines.push(Engine::start(
            settings,
            store.clone(),
            record.clone(),
            runs.clone(),
        )?);
    }
    let mut sides = Vec::new();
    for number in 1..=2 {
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
            work: Work::Plain { work_ms: 10 },
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
    for number in 1..=4 {
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
    thread::sleep(Duration::from_secs(8));
    let (mut lost, mut calm): (Vec<Machine>, Vec<Machine>) =
        fronts.into_iter().partition(is_reader);
    for front in &calm {
        record.say(format!("{} leaves reading to the others", front.name));
    }
    if lost.len() != 2 {
        record.say(format!("{} gateways read the tables", lost.len()));
        return Ok(2);
    }
    // An ordinary day: a timeout changes, and an engine joins.
    store.put("op", "config", &config(4, 1_400, &["key-old", "key-stays"]));
    engines[0].register("ready");
    thread::sleep(Duration::from_millis(700));
    if is_trouble {
        for front in &lost {
            front.signal(SIGKILL);
        }
        for front in &mut lost {
            front.wait();
            record.say(format!("{} is killed for good", front.name));
        }
    }
    thread::sleep(Duration::from_millis(100));
    store.put("op", "config", &config(9, 1_400, &["key-new", "key-stays"]));
    let acked_ms = record.now_ms();
    record.say("version 9 is acknowledged: key-old is taken away, key-new is added");
    let mut old_served = Vec::new();
    let mut new_refused = Vec::new();
    let mut stays_failed = 0;
    for number in 0..60 {
        let addr = calm[number as usize % calm.len()].front_addr();
        let ask = |key: &str| {
            let sent_ms = record.now_ms() - acked_ms;
            let answer = call(number, key).call(addr);
            let status = answer.map_or(0, |answer| answer.status);
            record.line(format!(
                "{key} sent {sent_ms} ms after the acknowledgement: {status}"
            ));
            (sent_ms, status)
        };
        let (sent_ms, status) = ask("key-old");
        if sent_ms > CONFIG_MS && status == 200 {
            old_served.push(sent_ms);
        }
        let (sent_ms, status) = ask("key-new");
        if sent_ms > CONFIG_MS && status == 401 {
            new_refused.push(sent_ms);
        }
        stays_failed += u32::from(ask("key-stays").1 != 200);
        thread::sleep(Duration::from_millis(60));
    }
    let run_late = runs
        .lock()
        .unwrap()
        .iter()
        .filter(|run| run.attempt.starts_with("key-old") && run.at_ms > acked_ms + CONFIG_MS)
        .count();
    record.say(format!(
        "sent more than {CONFIG_MS} ms after the acknowledgement to calm machines: {} requests with the \
         dropped key were served (sent {:?} ms after it), {} with the new key got 401; engines ran {run_late} \
         requests with the dropped key so late; {stays_failed} of 60 with the key that stays failed",
        old_served.len(),
        old_served.iter().min().zip(old_served.iter().max()),
        new_refused.len(),
    ));
    if calm.iter_mut().any(Machine::has_ended) {
        record.say("a calm gateway has ended");
        return Ok(2);
    }
    Ok(u8::from(!old_served.is_empty() || !new_refused.is_empty()))
}

fn main() -> ExitCode {
    match run() {
        Ok(0) => ExitCode::SUCCESS,
        Ok(code) => ExitCode::from(code),
        Err(e) => {
            eprintln!("the case could not run: {e}");
            ExitCode::from(2)
        }
    }
}

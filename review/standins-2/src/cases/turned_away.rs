//! CONFIG: the store gives one gateway no answers for a moment, a key is taken away meanwhile, and the gateway
//! goes on running requests with the key when it is in touch again.

use std::io;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use super::configuration;
use super::route;
use super::FIRST_MODEL;
use crate::engine::Settings;
use crate::http::call;
use crate::record::Record;
use crate::site::Site;
use crate::site::TSAGAAN_NOM;
use crate::Verdict;

/// Time between the first change of the configuration and the silence.
const GAP: Duration = Duration::from_millis(330);

/// Time from the start of the silence to the second change, and from there to its end.
const SILENCE: [Duration; 2] = [Duration::from_millis(100), Duration::from_millis(400)];

/// Gateway that gets no answers, one of three.
const SILENCED: usize = 0;

/// Time for which requests are sent after the acknowledgement.
const WATCHED: Duration = Duration::from_millis(8_000);

/// Pause of each client between its requests.
const PAUSE: Duration = Duration::from_millis(40);

/// A request with the key that was taken away.
struct Sent {
    id: String,
    gateway: usize,
    at: Instant,
    status: u16,
}

fn tenants(keys: &str) -> String {
    format!(
        "{{\"name\":\"sese\",\"api-keys\":[{keys}],\"exclusive\":false}},\
         {{\"name\":\"jeye\",\"api-keys\":[\"k9\"],\"exclusive\":false}}"
    )
}

pub fn run(record: &Record, trouble: bool) -> io::Result<Verdict> {
    let mut site = Site::start(TSAGAAN_NOM, record)?;
    let routes = [route("look", "idempotent", "desk")];
    let first = configuration(1, &routes, &tenants("\"k1\",\"k2\""));
    site.store.put("op", "config", &first);
    for number in 0..6 {
        let models: &[&str] = if number < 3 { &[] } else { &[FIRST_MODEL] };
        site.add_engine(Settings::new(number, models))?;
    }
    for zone in ["a", "b", "c"] {
        site.add_gateway(zone)?;
    }
    if !site.wait_ready(Duration::from_secs(15)) {
        return Ok(Verdict::CouldNotRun("gateways are not ready".to_owned()));
    }
    thread::sleep(Duration::from_secs(6));
    let ended = Arc::new(AtomicBool::new(false));
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let clients = (0..site.gateways.len()).map(|gateway| {
        let (addr, ended, sent) = (site.gateways[gateway], ended.clone(), sent.clone());
        thread::spawn(move || {
            let mut number = 0;
            while !ended.load(Ordering::Relaxed) {
                number += 1;
                let id = format!("g{gateway}x{number}");
                let headers = [
                    ("Host", "h.example"),
                    ("Attempt-Id", id.as_str()),
                    ("Deadline-Ms", "1500"),
                    ("Authorization", "Bearer k2"),
                ];
                let at = Instant::now();
                let answer = call(
                    addr,
                    "GET",
                    "/look/x",
                    &headers,
                    b"",
                    Duration::from_secs(2),
                );
                let status = answer.map_or(0, |answer| answer.status());
                let mut sent = sent.lock().expect("no thread has panicked");
                sent.push(Sent {
                    id,
                    gateway,
                    at,
                    status,
                });
                drop(sent);
                thread::sleep(PAUSE);
            }
        })
    });
    let clients: Vec<thread::JoinHandle<()>> = clients.collect();
    thread::sleep(Duration::from_secs(1));

    let second = configuration(2, &routes, &tenants("\"k1\",\"k2\",\"k3\""));
    site.store.put("op", "config", &second);
    record.line("configuration 2 is acknowledged: key k3 is added");
    thread::sleep(GAP);
    if trouble {
        site.store.set_silent_at(Some(site.stores[SILENCED]));
        record.line("the store gives gateway 0 no answers from now on");
    }
    thread::sleep(SILENCE[0]);
    let third = configuration(4, &routes, &tenants("\"k1\",\"k3\""));
    site.store.put("op", "config", &third);
    let acknowledged = Instant::now();
    record.line("configuration 4 is acknowledged: key k2 is taken away");
    thread::sleep(SILENCE[1]);
    if trouble {
        site.store.set_silent_at(None);
        record.line("the store answers gateway 0 again");
    }
    let stable = Instant::now();
    thread::sleep(WATCHED);
    ended.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    if !site.all_run() {
        return Ok(Verdict::CouldNotRun("a process has ended".to_owned()));
    }

    let sent = sent.lock().expect("no thread has panicked");
    let bound = acknowledged + Duration::from_millis(TSAGAAN_NOM.config_ms);
    let in_touch = match trouble {
        true => stable + Duration::from_millis(TSAGAAN_NOM.contact_ms),
        false => acknowledged,
    };
    let arrivals: Vec<_> = site.engines.iter().flat_map(|e| e.arrivals()).collect();
    let mut broken = 0;
    let mut refused = 0;
    for sent in sent.iter().filter(|sent| sent.at > acknowledged) {
        refused += u32::from(sent.status == 401);
        let has_run = arrivals.iter().any(|a| a.has_run && a.id == sent.id);
        if !has_run || sent.at < bound || sent.at < in_touch {
            continue;
        }
        broken += 1;
        record.line(&format!(
            "request {} with the key that was taken away was sent to gateway {} {} ms after the \
             acknowledgement, {} ms after the store was back, and ran (answered {})",
            sent.id,
            sent.gateway,
            sent.at.duration_since(acknowledged).as_millis(),
            sent.at.duration_since(stable).as_millis(),
            sent.status
        ));
    }
    record.line(&format!(
        "{broken} requests with the key ran at machines in touch later than config-ms after the \
         acknowledgement; {refused} were answered 401 since it"
    ));
    Ok(match broken {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    })
}

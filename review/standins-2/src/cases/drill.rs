//! DRAIN: an engine leaves without a notice, the store comes back from a copy that still has its entry, and
//! gateways that had stopped sending to the engine send to it again.

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
use crate::engine::Settings;
use crate::engine::HEARTBEAT;
use crate::http::call;
use crate::record::Record;
use crate::site::Site;
use crate::site::ARCH_ORDERS;
use crate::Verdict;

/// Time from the copy to the engine's leaving.
const COPY_BEFORE: Duration = Duration::from_millis(500);

/// Time from the engine's leaving to the outage of the store.
const OUTAGE_AFTER: Duration = Duration::from_millis(4_000);

/// Time for which the store is away.
const OUTAGE: Duration = Duration::from_millis(500);

/// Time from the store's return to the engine's exit. It has served for eight seconds by then.
const EXIT_AFTER: Duration = Duration::from_millis(3_400);

/// Pause of each client between its requests.
const CLIENT_PAUSE: Duration = Duration::from_millis(25);

/// Index of the engine that leaves.
const LEAVING: usize = 1;

/// A request of a client.
struct Sent {
    id: String,
    at: Instant,
    status: u16,
}

pub fn run(record: &Record, trouble: bool) -> io::Result<Verdict> {
    let mut site = Site::start(ARCH_ORDERS, record)?;
    let tenant = "{\"name\":\"sese\",\"api-keys\":[\"k1\"],\"exclusive\":false}";
    let routes = [route("book", "non_idempotent", "desk")];
    let text = configuration(1, &routes, tenant);
    site.store.put("op", "config", &text);
    for number in 0..3 {
        site.add_engine(Settings {
            work: Duration::from_millis(250),
            ..Settings::new(number, &[])
        })?;
    }
    for zone in ["a", "b", "c"] {
        site.add_gateway(zone)?;
    }
    if !site.wait_ready(Duration::from_secs(15)) {
        return Ok(Verdict::CouldNotRun("gateways are not ready".to_owned()));
    }
    thread::sleep(Duration::from_secs(4));
    let ended = Arc::new(AtomicBool::new(false));
    let sent = Arc::new(Mutex::new(Vec::new()));
    let clients = (0..12).map(|client| start_client(&site, client, (&ended, &sent)));
    let clients: Vec<thread::JoinHandle<()>> = clients.collect();
    thread::sleep(Duration::from_millis(1_500));

    let copy = site.store.copy();
    thread::sleep(COPY_BEFORE);
    let engine = site.engines[LEAVING].clone();
    engine.leave_silently();
    let left_at = Instant::now();
    thread::sleep(OUTAGE_AFTER);
    if trouble {
        site.store.set_away(true);
        record.line("the store is away");
    }
    thread::sleep(OUTAGE);
    if trouble {
        site.store.restore(copy);
        site.store.put("op", "config", &text);
        record.line("the store is back from a copy in which the engine's entry is");
    }
    let back_at = Instant::now();
    thread::sleep(EXIT_AFTER);
    engine.exit();
    thread::sleep((HEARTBEAT * 3).saturating_sub(back_at.elapsed()));
    if trouble {
        site.store.remove("servers", &engine.settings.id);
        record.line("the engine's entry is removed after three heartbeats of silence");
    }
    thread::sleep(Duration::from_secs(1));
    ended.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    if !site.all_run() {
        return Ok(Verdict::CouldNotRun("a process has ended".to_owned()));
    }

    let sent = sent.lock().expect("no thread has panicked");
    let drain = Duration::from_millis(ARCH_ORDERS.drain_ms);
    let contact = Duration::from_millis(ARCH_ORDERS.contact_ms);
    let (mut late, mut broken, mut lost) = (0, 0, 0);
    for arrival in engine.arrivals() {
        let Some(sent) = sent.iter().find(|sent| sent.id == arrival.id) else {
            continue;
        };
        if !arrival.has_run || sent.at < left_at + drain {
            continue;
        }
        late += 1;
        lost += u32::from(sent.status != 200);
        let is_in_touch = sent.at > back_at + contact;
        broken += u32::from(is_in_touch);
        record.line(&format!(
            "request {} reached engine {} {} ms after its entry was removed, {} ms after the store was \
             back, and was answered {}{}",
            arrival.id,
            engine.settings.id,
            arrival.at.duration_since(left_at).as_millis(),
            arrival.at.saturating_duration_since(back_at).as_millis(),
            sent.status,
            if is_in_touch { ", machine in touch" } else { "" },
        ));
    }
    record.line(&format!(
        "{} requests in all; {late} reached the engine later than drain-ms after it was gone, {broken} of \
         them sent later than contact-ms after the store was back; {lost} of the late ones were not \
         answered with success",
        sent.len()
    ));
    Ok(match broken {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    })
}

/// Starts a client that books on and on, always at one gateway.
fn start_client(
    site: &Site,
    client: usize,
    (ended, sent): (&Arc<AtomicBool>, &Arc<Mutex<Vec<Sent>>>),
) -> thread::JoinHandle<()> {
    let (ended, sent) = (ended.clone(), sent.clone());
    let gateway = site.gateways[client % site.gateways.len()];
    thread::spawn(move || {
        let mut number = 0;
        while !ended.load(Ordering::Relaxed) {
            number += 1;
            let id = format!("c{client}x{number}");
            let headers = [
                ("Host", "h.example"),
                ("Attempt-Id", id.as_str()),
                ("Deadline-Ms", "1500"),
                ("Authorization", "Bearer k1"),
            ];
            let at = Instant::now();
            let timeout = Duration::from_millis(2_000);
            let answer = call(gateway, "POST", "/book/x", &headers, b"deposit", timeout);
            let status = answer.map_or(0, |answer| answer.status());
            let mut sent = sent.lock().expect("no thread has panicked");
            sent.push(Sent { id, at, status });
            drop(sent);
            thread::sleep(CLIENT_PAUSE);
        }
    })
}

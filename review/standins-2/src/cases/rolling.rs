//! LOST: all machines are stopped and started in turn while engines of two software versions serve, and
//! streams that a gateway's stop cuts cannot be taken up again.

use std::io;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use super::configuration;
use super::route;
use super::streams::Clients;
use super::FIRST_MODEL;
use crate::engine::Settings;
use crate::record::Record;
use crate::site::Site;
use crate::site::TSAGAAN_NOM;
use crate::Verdict;

/// Software of the engines; two and more of each version serve all the while.
const SOFTWARE: [&str; 6] = ["v1", "v2", "v1", "v2", "v1", "v2"];

const CLIENTS: usize = 60;

/// Clients that begin new streams while others take theirs up.
const NEW_CLIENTS: usize = 30;

/// Events of a stream, and the pause between them.
const EVENTS: (u32, Duration) = (64, Duration::from_millis(190));

/// Time between the stops of two machines.
const GAP: Duration = Duration::from_millis(1_000);

/// The gateway that is stopped.
const STOPPED_GATEWAY: &str = "front-a";

pub fn run(record: &Record, trouble: bool) -> io::Result<Verdict> {
    let mut site = Site::start(TSAGAAN_NOM, record)?;
    let tenant = "{\"name\":\"sese\",\"api-keys\":[\"k1\"],\"exclusive\":false}";
    let routes = [route("ask", "streaming", "llm").replace("3000", "15000")];
    let text = configuration(1, &routes, tenant);
    site.store.put("op", "config", &text);
    for (number, software) in SOFTWARE.iter().enumerate() {
        site.add_engine(Settings {
            software: (*software).to_owned(),
            events: EVENTS,
            ..Settings::new(number, &[FIRST_MODEL])
        })?;
    }
    for zone in ["a", "b", "c"] {
        site.add_gateway(zone)?;
    }
    if !site.wait_ready(Duration::from_secs(15)) {
        return Ok(Verdict::CouldNotRun("gateways are not ready".to_owned()));
    }
    thread::sleep(Duration::from_secs(6));
    let mut clients = Clients::start(&site, 0..CLIENTS, EVENTS.0);
    let mut stops = site.names();
    stops.retain(|name| name.starts_with("side") || name.starts_with(STOPPED_GATEWAY));
    stops.sort();
    if std::env::var_os("ONLY_GATEWAY").is_some() {
        stops.truncate(1);
    }
    let started = Instant::now();
    let mut new_clients = None;
    let mut next = 0;
    // The new clients call the gateways that are not stopped.
    let (mut all, undisturbed) = (site.gateways.clone(), site.gateways[1..].to_vec());
    while started.elapsed() < Duration::from_secs(13) {
        let is_due = started.elapsed() > GAP * (next as u32 + 1);
        if trouble && next < stops.len() && is_due {
            site.term(&stops[next]);
            next += 1;
        }
        site.start_ended();
        if new_clients.is_none() && started.elapsed() > Duration::from_millis(8_500) {
            std::mem::swap(&mut site.gateways, &mut all);
            site.gateways = undisturbed.clone();
            new_clients = Some(Clients::start(&site, 1_000..1_000 + NEW_CLIENTS, EVENTS.0));
        }
        thread::sleep(Duration::from_millis(20));
    }
    clients.stop();
    let Some(mut new_clients) = new_clients else {
        return Ok(Verdict::CouldNotRun("no new streams".to_owned()));
    };
    new_clients.stop();
    if !site.all_run() {
        return Ok(Verdict::CouldNotRun("a process has ended".to_owned()));
    }
    let totals = clients.totals.lock().expect("no thread has panicked");
    let new = new_clients.totals.lock().expect("no thread has panicked");
    record.line(&format!(
        "of {} streams that were taken up again {} went on; of {} new streams {} began",
        totals.taken_up, totals.went_on, new.new, new.began
    ));
    let is_broken =
        totals.taken_up >= 12 && totals.went_on * new.new * 2 < new.began * totals.taken_up;
    Ok(match is_broken {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}

//! ROUTE and CONFIG: a configuration takes the last tenant away, and from then on requests run with its key
//! and with keys that no configuration ever held.

use std::io;
use std::thread;
use std::time::Duration;

use super::configuration;
use super::route;
use crate::engine::Settings;
use crate::record::Record;
use crate::site::Site;
use crate::site::ARCH_ORDERS;
use crate::Verdict;

/// Requests with each key.
const REQUESTS: usize = 10;

pub fn run(record: &Record, trouble: bool) -> io::Result<Verdict> {
    let mut site = Site::start(ARCH_ORDERS, record)?;
    let tenant = "{\"name\":\"sese\",\"api-keys\":[\"k1\"],\"exclusive\":false}";
    let routes = [route("book", "non_idempotent", "desk")];
    site.store
        .put("op", "config", &configuration(1, &routes, tenant));
    for number in 0..3 {
        site.add_engine(Settings::new(number, &[]))?;
    }
    for zone in ["a", "b", "c"] {
        site.add_gateway(zone)?;
    }
    if !site.wait_ready(Duration::from_secs(15)) {
        return Ok(Verdict::CouldNotRun("gateways are not ready".to_owned()));
    }
    thread::sleep(Duration::from_secs(4));
    let before = book(&site, "k1", "before");
    if trouble {
        site.store
            .put("op", "config", &configuration(2, &routes, ""));
        record.line("configuration 2 is acknowledged: its list of tenants is empty");
    }
    thread::sleep(Duration::from_millis(ARCH_ORDERS.config_ms + 1_500));
    let dropped = book(&site, "k1", "dropped");
    let unknown = book(&site, "zzz", "unknown");
    if !site.all_run() {
        return Ok(Verdict::CouldNotRun("a process has ended".to_owned()));
    }
    record.line(&format!(
        "of {REQUESTS} requests each, {before} ran with the key before, {dropped} with the same key \
         config-ms after the acknowledgement, and {unknown} with a key that no configuration ever held"
    ));
    Ok(match unknown {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    })
}

/// Sends requests with a key; returns how many ran at an engine.
fn book(site: &Site, key: &str, when: &str) -> usize {
    let authorization = format!("Bearer {key}");
    for number in 0..REQUESTS {
        let id = format!("{when}{number}");
        let headers = [
            ("Host", "h.example"),
            ("Attempt-Id", id.as_str()),
            ("Deadline-Ms", "1500"),
            ("Authorization", authorization.as_str()),
        ];
        site.request(number % 3, ("POST", "/book/x"), &headers, b"deposit");
    }
    let arrivals = site.engines.iter().flat_map(|engine| engine.arrivals());
    let ran = arrivals.filter(|arrival| arrival.has_run && arrival.id.starts_with(when));
    ran.count()
}

//! VERSION: new weights are named for two models one after the other, and engines that check fencing tokens
//! refuse the orders for the model that was named first, for good.

use std::io;
use std::thread;
use std::time::Duration;

use super::configuration;
use super::route;
use super::wait_until;
use super::FIRST_MODEL;
use super::SECOND_MODEL;
use crate::engine::Settings;
use crate::record::Record;
use crate::site::Site;
use crate::site::ARCH_ORDERS;
use crate::Verdict;

/// Engines, each with a sidecar, as `sites/arch-orders.toml` has them.
const ENGINES: usize = 9;

/// Time between the two namings.
const GAP: Duration = Duration::from_millis(20);

const REQUESTS: usize = 30;

pub fn run(record: &Record, trouble: bool) -> io::Result<Verdict> {
    let mut site = Site::start(ARCH_ORDERS, record)?;
    let routes = [route("ask", "streaming", "llm")];
    let tenant = "{\"name\":\"sese\",\"api-keys\":[\"k1\"],\"exclusive\":false}";
    site.store
        .put("op", "config", &configuration(1, &routes, tenant));
    for number in 0..ENGINES {
        site.add_engine(Settings::new(number, &[FIRST_MODEL, SECOND_MODEL]))?;
    }
    for zone in ["a", "b", "c"] {
        site.add_gateway(zone)?;
    }
    if !site.wait_ready(Duration::from_secs(15)) {
        return Ok(Verdict::CouldNotRun("gateways are not ready".to_owned()));
    }
    thread::sleep(Duration::from_secs(5));
    let before = served(&site, "before");
    let name = |model: &str| {
        let row = format!("{{\"model\":\"{model}\",\"version\":2}}");
        site.store.put("op", &format!("version/{model}"), &row);
        record.line(&format!("version 2 of {model} is named and acknowledged"));
    };
    let limit = Duration::from_millis(ARCH_ORDERS.version_all_ms);
    let lacking = |model: &str| {
        let engines = site.engines.iter();
        engines.filter(|engine| engine.weights(model) != 2).count()
    };
    name(SECOND_MODEL);
    if trouble {
        thread::sleep(GAP);
    } else if !wait_until(limit, || lacking(SECOND_MODEL) == 0) {
        return Ok(Verdict::CouldNotRun(
            "the first naming is not in place".to_owned(),
        ));
    }
    name(FIRST_MODEL);
    // Longer than 1.5 x version-ms and than version-all-ms since the second naming.
    thread::sleep(Duration::from_millis(ARCH_ORDERS.version_ms) * 2);
    let after = served(&site, "after");
    let (first, second) = (lacking(FIRST_MODEL), lacking(SECOND_MODEL));
    if !site.all_run() {
        return Ok(Verdict::CouldNotRun("a process has ended".to_owned()));
    }
    let late = first.max(second);
    record.line(&format!(
        "{first} engines lack version 2 of {FIRST_MODEL}, {second} of {SECOND_MODEL}; {before} of \
         {REQUESTS} requests for {SECOND_MODEL} served before, {after} of {REQUESTS} after"
    ));
    Ok(match late > 1 && late * 10 > ENGINES {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}

/// Sends requests for the second model; returns how many were served.
fn served(site: &Site, when: &str) -> usize {
    let mut served = 0;
    for number in 0..REQUESTS {
        let id = format!("{when}{number}");
        let parts = format!("5c1e07a2:800,{number:08x}:660");
        let headers = [
            ("Host", "h.example"),
            ("Attempt-Id", id.as_str()),
            ("Deadline-Ms", "2500"),
            ("Authorization", "Bearer k1"),
            ("Model", SECOND_MODEL),
            ("Token-Usage", "1460,8"),
            ("Prompt-Prefix", parts.as_str()),
        ];
        let answer = site.request(number % 3, ("POST", "/ask/x"), &headers, b"prompt");
        served += usize::from(answer.is_some_and(|answer| answer.status() == 200));
        thread::sleep(Duration::from_millis(50));
    }
    served
}

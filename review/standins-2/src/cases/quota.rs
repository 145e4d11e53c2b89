//! RECOVER: a configuration that lifts a tenant's quota is acknowledged, all processes are killed right
//! after, and nothing is served again.

use std::io;
use std::thread;
use std::time::Duration;

use super::configuration;
use super::route;
use super::FIRST_MODEL;
use super::SECOND_MODEL;
use crate::engine::Settings;
use crate::record::Record;
use crate::site::Site;
use crate::site::TSAGAAN_NOM;
use crate::Verdict;

const REQUESTS: usize = 42;

/// Time that the processes are down, as in the final fault `kill_all` of the site.
const DOWN: Duration = Duration::from_millis(760);

/// Formats the tenants; the first has this quota, the second another one that stays.
fn tenants(quota: &str) -> String {
    format!(
        "{{\"name\":\"sese\",\"api-keys\":[\"k1\"],\"unit\":\"token_count\",\"uncached-tokens\":200,\
         \"exclusive\":false,{quota}}},{{\"name\":\"jeye\",\"api-keys\":[\"k2\"],\
         \"unit\":\"token_count\",\"uncached-tokens\":200,\"exclusive\":false,\"per-s\":709743,\
         \"burst\":709743}}"
    )
}

pub fn run(record: &Record, trouble: bool) -> io::Result<Verdict> {
    let mut site = Site::start(TSAGAAN_NOM, record)?;
    let routes = [
        route("ask", "streaming", "llm"),
        route("book", "non_idempotent", "desk"),
        route("look", "idempotent", "desk"),
    ];
    let first = tenants("\"per-s\":709743,\"burst\":709743");
    site.store
        .put("op", "config", &configuration(1, &routes, &first));
    for number in 0..6 {
        let models: &[&str] = match number < 3 {
            true => &[FIRST_MODEL, SECOND_MODEL],
            false => &[],
        };
        site.add_engine(Settings {
            checks_fences: TSAGAAN_NOM.require_fence,
            ..Settings::new(number, models)
        })?;
    }
    for zone in ["a", "b", "c"] {
        site.add_gateway(zone)?;
    }
    if !site.wait_ready(Duration::from_secs(15)) {
        return Ok(Verdict::CouldNotRun("gateways are not ready".to_owned()));
    }
    thread::sleep(Duration::from_secs(5));
    let before = served(&site, "before");
    if before * 4 < REQUESTS * 3 {
        return Ok(Verdict::CouldNotRun(format!("{before} served before")));
    }
    let lifted = tenants("\"per-s\":0,\"burst\":709743");
    site.store
        .put("op", "config", &configuration(3, &routes, &lifted));
    record.line("configuration 3 is acknowledged: tenant sese has per-s 0, which means no limit");
    if trouble {
        site.kill_all(DOWN);
    }
    thread::sleep(Duration::from_millis(TSAGAAN_NOM.recover_s * 1_000 + 500));
    let after = served(&site, "after");
    if !site.all_run() {
        return Ok(Verdict::CouldNotRun("a process has ended".to_owned()));
    }
    record.line(&format!(
        "{before} of {REQUESTS} requests served before, {after} of {REQUESTS} later than recover-s after"
    ));
    Ok(match after * 4 < REQUESTS {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}

/// Sends requests of both tenants on all routes, which all configurations allow; returns how many were
/// served. A client comes back after a refusal, as it is told.
fn served(site: &Site, when: &str) -> usize {
    let mut served = 0;
    for number in 0..REQUESTS {
        let key = ["Bearer k1", "Bearer k2"][number % 2];
        for attempt in 0..2 {
            let id = format!("{when}{number}x{attempt}");
            let mut headers = vec![
                ("Host", "h.example"),
                ("Attempt-Id", id.as_str()),
                ("Deadline-Ms", "1500"),
                ("Authorization", key),
            ];
            let target = match number % 3 {
                0 => ("POST", "/book/x"),
                1 => ("GET", "/look/x"),
                _ => {
                    headers.push(("Model", FIRST_MODEL));
                    headers.push(("Token-Usage", "1460,8"));
                    headers.push(("Prompt-Prefix", "5c1e07a2:800,91bd3f06:660"));
                    ("POST", "/ask/x")
                }
            };
            let answer = site.request((number + attempt) % 3, target, &headers, b"");
            let status = answer.as_ref().map_or(0, |answer| answer.status());
            if status == 200 {
                served += 1;
                break;
            }
            if status != 503 && status != 429 {
                break;
            }
            let wait_s = answer.and_then(|answer| answer.header("Retry-After")?.parse().ok());
            let wait_s: f64 = wait_s.unwrap_or(0.1);
            thread::sleep(Duration::from_secs_f64(wait_s.clamp(0.0, 0.5)));
        }
    }
    served
}

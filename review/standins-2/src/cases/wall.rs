//! WALL: a configuration makes a tenant exclusive, and requests of another tenant go on using the KV cache
//! that the exclusive tenant's requests made.

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
use crate::site::ARCH_ORDERS;
use crate::Verdict;

/// Prompts, each sent by both tenants.
const PROMPTS: usize = 12;

/// The tenant that becomes exclusive.
const EXCLUSIVE: &str = "sese";

fn tenants(exclusive: bool) -> String {
    format!(
        "{{\"name\":\"{EXCLUSIVE}\",\"api-keys\":[\"k1\"],\"exclusive\":{exclusive}}},\
         {{\"name\":\"jeye\",\"api-keys\":[\"k2\"],\"exclusive\":false}}"
    )
}

pub fn run(record: &Record, trouble: bool) -> io::Result<Verdict> {
    let mut site = Site::start(ARCH_ORDERS, record)?;
    let routes = [route("ask", "streaming", "llm")];
    let text = configuration(1, &routes, &tenants(false));
    site.store.put("op", "config", &text);
    for number in 0..3 {
        site.add_engine(Settings::new(number, &[FIRST_MODEL, SECOND_MODEL]))?;
    }
    for zone in ["a", "b", "c"] {
        site.add_gateway(zone)?;
    }
    if !site.wait_ready(Duration::from_secs(15)) {
        return Ok(Verdict::CouldNotRun("gateways are not ready".to_owned()));
    }
    thread::sleep(Duration::from_secs(4));
    let before = ask(&site, "before", "Bearer k1");
    if trouble {
        let text = configuration(2, &routes, &tenants(true));
        site.store.put("op", "config", &text);
        record.line(&format!(
            "configuration 2 is acknowledged: {EXCLUSIVE} is exclusive"
        ));
    }
    thread::sleep(Duration::from_millis(ARCH_ORDERS.config_ms + 1_500));
    let after = ask(&site, "after", "Bearer k2");
    if !site.all_run() {
        return Ok(Verdict::CouldNotRun("a process has ended".to_owned()));
    }
    if before * 2 < PROMPTS || after * 2 < PROMPTS {
        return Ok(Verdict::CouldNotRun(format!("{before} and {after} served")));
    }
    let mut broken = 0;
    for foreign in site
        .engines
        .iter()
        .flat_map(|engine| engine.foreign_parts())
    {
        let is_exclusive = trouble
            && [&foreign.user, &foreign.maker]
                .iter()
                .any(|t| *t == EXCLUSIVE);
        broken += u32::from(is_exclusive);
        record.line(&format!(
            "request {} of {} used part {} under the salt {}, which a request of {} made{}",
            foreign.request,
            foreign.user,
            foreign.part,
            foreign.salt,
            foreign.maker,
            if is_exclusive {
                ", who is exclusive"
            } else {
                ""
            }
        ));
    }
    record.line(&format!(
        "{broken} parts used that an exclusive tenant's request made"
    ));
    Ok(match broken {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    })
}

/// Sends all prompts with a key; returns how many were served.
fn ask(site: &Site, when: &str, key: &str) -> usize {
    let mut served = 0;
    for number in 0..PROMPTS {
        let id = format!("{when}{number}");
        let parts = format!("5c1e07a2:800,{:08x}:4870,{id}:660", 0xa000 + number % 4);
        let parts = parts.replace("before", "1").replace("after", "2");
        let headers = [
            ("Host", "h.example"),
            ("Attempt-Id", id.as_str()),
            ("Deadline-Ms", "2500"),
            ("Authorization", key),
            ("Model", FIRST_MODEL),
            ("Token-Usage", "6330,8"),
            ("Prompt-Prefix", parts.as_str()),
        ];
        let answer = site.request(number % 3, ("POST", "/ask/x"), &headers, b"prompt");
        served += usize::from(answer.is_some_and(|answer| answer.status() == 200));
        thread::sleep(Duration::from_millis(50));
    }
    served
}

//! Guarantee 9: an accepted configuration is in force everywhere and never reverts.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use dw_base::seeded_rng;
use dw_proof::ask;
use dw_proof::hello;
use dw_proof::operate;
use dw_proof::until;
use dw_proof::RequestHead;
use dw_proof::Site;
use dw_proof::SiteSettings;
use dw_standin::Outage;
use dw_standin::PlatformFaults;
use dw_standin::ServiceSettings;
use futures::future::join_all;
use rand::RngExt;
use serde_json::json;
use serde_json::Value;

/// Changes that each operator makes in one scenario.
const CHANGES: u64 = 6;

/// Operators at the same time.
const OPERATORS: u64 = 3;

/// Length of an outage.
const OUTAGE: Duration = Duration::from_millis(400);

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    Outage,
    SlowTable,
    LostWrites,
    RestartRouter,
    RestartAgent,
}

const FAULTS: [Fault; 5] = [
    Fault::Outage,
    Fault::SlowTable,
    Fault::LostWrites,
    Fault::RestartRouter,
    Fault::RestartAgent,
];

/// One accepted change.
#[derive(Clone, Debug)]
struct Accepted {
    object: &'static str,
    value: u64,
    base: u64,
    version: u64,
}

type Seen = Arc<Mutex<BTreeMap<SocketAddr, Vec<u64>>>>;

async fn version_at(control: SocketAddr) -> u64 {
    hello(control)
        .await
        .map_or(0, |hello| hello.config_version.0)
}

fn controls(site: &Site) -> Vec<SocketAddr> {
    let routers = site.routers.values().map(|router| router.control);
    routers
        .chain(site.agents.values().map(|agent| agent.control))
        .collect()
}

/// Notes the versions that a process announces, one after another.
fn watch(control: SocketAddr, seen: &Seen) -> tokio::task::JoinHandle<()> {
    let seen = Arc::clone(seen);
    tokio::spawn(async move {
        loop {
            if let Some(hello) = hello(control).await {
                let mut seen = seen.lock().expect("not poisoned");
                seen.entry(control)
                    .or_default()
                    .push(hello.config_version.0);
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    })
}

/// Makes changes through random routers until each has a definite answer.
async fn operator(
    seed: u64,
    scenario: u64,
    admins: Arc<Mutex<Vec<SocketAddr>>>,
    accepted: Arc<Mutex<Vec<Accepted>>>,
) {
    let mut rng = seeded_rng(seed);
    let mut base = None;
    for number in 0..CHANGES {
        let value = 1 + seed + OPERATORS * (number + CHANGES * scenario);
        let (object, text) = match rng.random_range(0..3) {
            0 => (
                "weight-loads",
                format!("alter setting weight-loads value={value}"),
            ),
            1 => ("p0", format!("alter upstream p0 max_batch={value}")),
            _ => ("p1", format!("alter upstream p1 max_batch={value}")),
        };
        let id = format!("change-{scenario}-{seed}-{number}");
        let definite = || {
            let admins = admins.lock().expect("not poisoned").clone();
            let admin = admins[rng.random_range(0..admins.len())];
            let (text, id, accepted) = (text.clone(), id.clone(), Arc::clone(&accepted));
            async move {
                let body = json!({ "text": text, "change_id": id, "base_version": base });
                let reply = operate(admin, body).await;
                let answer = reply.json();
                if reply.status == 200 {
                    let message = answer["results"][0]["messages"][0].to_string();
                    let rest = message.split("as version ").nth(1).unwrap_or_default();
                    let version = rest.split(' ').next().unwrap_or_default();
                    let version = version.parse().expect("a version");
                    let base = base.unwrap_or(0);
                    accepted.lock().expect("not poisoned").push(Accepted {
                        object,
                        value,
                        base,
                        version,
                    });
                    return (true, Some(version));
                }
                // A conflict is definite; after anything else the same id is sent again.
                (answer["kind"] == "conflict", None)
            }
        };
        let mut definite = definite;
        let version = loop {
            match definite().await {
                (true, version) => break version,
                (false, _) => tokio::time::sleep(Duration::from_millis(50)).await,
            }
        };
        // Some changes are made on what the operator saw last, others on the router's version.
        base = version.filter(|_| rng.random_ratio(1, 2));
    }
}

async fn inject(site: &mut Site, faults: &[Fault], admins: &Mutex<Vec<SocketAddr>>) {
    let has = |fault| faults.contains(&fault);
    let mut table = PlatformFaults::default();
    if has(Fault::SlowTable) {
        table.delay_ms = 100;
    }
    if has(Fault::LostWrites) {
        table.lose_answers = 4;
    }
    site.fleet.table.state.set_faults(table.clone());
    if has(Fault::RestartRouter) {
        site.routers["r1"].process.kill();
    }
    if has(Fault::RestartAgent) {
        site.agents["p1"].process.kill();
    }
    if has(Fault::Outage) {
        for outage in [Outage::Cut, Outage::Refuse, Outage::Hang] {
            let faults = PlatformFaults {
                outage,
                ..table.clone()
            };
            site.fleet.table.state.set_faults(faults);
            tokio::time::sleep(OUTAGE).await;
        }
        site.fleet.table.state.set_faults(table);
    }
    if has(Fault::RestartRouter) {
        site.start_router("r1").await.expect("restarted");
        let now = site.routers.values().map(|router| router.admin).collect();
        *admins.lock().expect("not poisoned") = now;
    }
    if has(Fault::RestartAgent) {
        site.restart_agent("p1").await.expect("restarted");
    }
    tokio::time::sleep(OUTAGE).await;
    site.fleet.table.state.set_faults(PlatformFaults::default());
}

/// Checks that no accepted change was lost or made on an object that had moved.
fn check(accepted: &[Accepted]) {
    let versions: BTreeSet<u64> = accepted.iter().map(|change| change.version).collect();
    assert_eq!(
        versions.len(),
        accepted.len(),
        "two changes have one version"
    );
    for change in accepted.iter().filter(|change| change.base > 0) {
        let between = accepted.iter().find(|other| {
            other.object == change.object
                && other.version > change.base
                && other.version < change.version
        });
        assert!(between.is_none(), "{change:?} was made over {between:?}");
    }
}

async fn scenario(site: &mut Site, number: u64, faults: &[Fault], all: &mut Vec<Accepted>) {
    let seen = Seen::default();
    let watchers: Vec<_> = controls(site)
        .into_iter()
        .map(|node| watch(node, &seen))
        .collect();
    let admins = site.routers.values().map(|router| router.admin).collect();
    let admins = Arc::new(Mutex::new(admins));
    let accepted = Arc::new(Mutex::new(Vec::new()));
    let operators = (0..OPERATORS).map(|seed| {
        tokio::spawn(operator(
            seed,
            number,
            Arc::clone(&admins),
            Arc::clone(&accepted),
        ))
    });
    let operators: Vec<_> = operators.collect();
    inject(site, faults, &admins).await;
    for operator in operators {
        operator.await.expect("an operator ends");
    }
    let accepted = accepted.lock().expect("not poisoned").clone();
    let newest = accepted.iter().map(|change| change.version).max();
    let newest = newest.expect("a change is accepted");
    for control in controls(site) {
        let everywhere = || async { version_at(control).await >= newest };
        until("the newest version is everywhere", everywhere)
            .await
            .expect("no hang");
    }
    for watcher in watchers {
        watcher.abort();
    }
    for (node, versions) in seen.lock().expect("not poisoned").iter() {
        assert!(versions.is_sorted(), "{node} went back: {versions:?}");
    }
    all.extend(accepted);
    check(all);
    in_force(site, all).await;
}

/// Checks at every router that each object has the value of its newest accepted change.
async fn in_force(site: &Site, accepted: &[Accepted]) {
    for object in ["weight-loads", "p0", "p1"] {
        let of = accepted.iter().filter(|change| change.object == object);
        let Some(newest) = of.max_by_key(|change| change.version) else {
            continue;
        };
        let text = match object {
            "weight-loads" => "show setting weight-loads".to_owned(),
            name => format!("show upstream {name}"),
        };
        for router in site.routers.values() {
            let reply = operate(router.admin, json!({ "text": text })).await;
            let rows = reply.json()["results"][0]["rows"].clone();
            let wanted = newest.value.to_string();
            let found = rows
                .as_array()
                .is_some_and(|rows| rows.iter().any(|row| holds(row, &wanted)));
            assert!(found, "{}: {newest:?} is not in {rows}", router.name);
        }
    }
}

fn holds(row: &Value, wanted: &str) -> bool {
    let text = |value: &Value| {
        value
            .as_str()
            .map_or_else(|| value.to_string(), str::to_owned)
    };
    let cells: Vec<String> = match row {
        Value::Array(cells) => cells.iter().map(text).collect(),
        Value::Object(cells) => cells.values().map(text).collect(),
        _ => Vec::new(),
    };
    let named = cells
        .iter()
        .any(|cell| cell == "max_batch" || cell == "value");
    let object = row.get("max_batch").or_else(|| row.get("value"));
    match object {
        Some(value) => text(value) == wanted,
        None => named && cells.iter().any(|cell| cell == wanted),
    }
}

async fn site() -> Site {
    let settings = SiteSettings::builder()
        .plains(vec![ServiceSettings::default(); 2])
        .routers(3)
        .build();
    Site::start(settings).await.expect("started")
}

/// Guards against changes that are lost, made over a newer change, or undone, with conflicting
/// operators and each fault alone.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn changes_hold_under_single_faults() {
    let mut site = site().await;
    let mut all = Vec::new();
    scenario(&mut site, 0, &[], &mut all).await;
    for (index, fault) in FAULTS.iter().enumerate() {
        scenario(&mut site, 1 + index as u64, &[*fault], &mut all).await;
    }
}

/// Guards against the same under all pairs of faults.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn changes_hold_under_pairs_of_faults() {
    let mut site = site().await;
    let mut all = Vec::new();
    let mut number = 0;
    for (index, a) in FAULTS.iter().enumerate() {
        for b in &FAULTS[index + 1..] {
            scenario(&mut site, number, &[*a, *b], &mut all).await;
            number += 1;
        }
    }
}

/// Guards against a change that claims to be in force at a node that is cut off, and against a node
/// that keeps an old version when it is back.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn cut_off_node_is_named_and_catches_up() {
    let site = site().await;
    let frozen = &site.agents["p1"];
    frozen.process.freeze().expect("frozen");
    let body = json!({ "text": "alter upstream p0 max_batch=77" });
    let reply = operate(site.routers["r0"].admin, body).await;
    frozen.process.thaw().expect("continued");
    assert_eq!(reply.status, 200, "{reply:?}");
    let answer = reply.json();
    assert_eq!(answer["unconfirmed"], json!(["agent-p1"]), "{answer}");
    let version = answer["config_version"].as_u64().expect("a version");
    let others = controls(&site)
        .into_iter()
        .filter(|control| *control != frozen.control);
    for seen in join_all(others.map(version_at)).await {
        assert!(
            seen >= version,
            "{seen} is in force at a node that confirmed {version}"
        );
    }
    let back = || async { version_at(frozen.control).await >= version };
    let caught_up = until("the node has the change", back).await;
    if let Err(e) = caught_up {
        let seen = version_at(frozen.control).await;
        let ended = frozen.process.ended();
        let log = frozen.process.log().join("\n");
        panic!("{e}; it announces {seen} and not {version}; ended: {ended:?}; its log:\n{log}");
    }
}

/// Guards against a router that serves although it can reach neither the table nor a peer.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn isolated_router_refuses_as_not_run() {
    let site = site().await;
    site.fleet.table.state.set_faults(PlatformFaults {
        outage: Outage::Refuse,
        ..PlatformFaults::default()
    });
    let lookup = RequestHead::call("acme", "lookup", None, json!({}));
    let callers = site.routers["r0"].callers;
    assert_eq!(
        ask(callers, &lookup).await.status,
        200,
        "a table outage alone"
    );
    for other in ["r1", "r2"] {
        site.routers[other].process.freeze().expect("frozen");
    }
    for agent in site.agents.values() {
        agent.process.freeze().expect("frozen");
    }
    let lookup = lookup.with("x-deadline-ms", "300");
    let refused = || async {
        let reply = ask(callers, &lookup).await;
        reply.kind() == "isolated" && reply.not_run()
    };
    until("the isolated router refuses", refused)
        .await
        .expect("no hang");
    for other in ["r1", "r2"] {
        site.routers[other].process.thaw().expect("continued");
    }
    for agent in site.agents.values() {
        agent.process.thaw().expect("continued");
    }
    let served = || async { ask(callers, &lookup).await.status == 200 };
    until("the router serves again", served)
        .await
        .expect("no hang");
}

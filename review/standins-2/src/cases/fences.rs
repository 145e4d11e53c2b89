//! ONE: new weights are named for two models one after the other, and an engine that serves both gets
//! orders with falling fencing tokens.

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
use crate::site::TSAGAAN_NOM;
use crate::Verdict;

/// Engines, each with a sidecar. They load in turn.
const ENGINES: usize = 8;

/// Time between the two namings.
const GAP: Duration = Duration::from_millis(600);

pub fn run(record: &Record, trouble: bool) -> io::Result<Verdict> {
    let mut site = Site::start(TSAGAAN_NOM, record)?;
    let routes = [route("ask", "streaming", "llm")];
    let tenant = "{\"name\":\"sese\",\"api-keys\":[\"k1\"],\"exclusive\":false}";
    site.store
        .put("op", "config", &configuration(1, &routes, tenant));
    for number in 0..ENGINES {
        site.add_engine(Settings {
            load: Duration::from_millis(830),
            checks_fences: TSAGAAN_NOM.require_fence,
            ..Settings::new(number, &[FIRST_MODEL, SECOND_MODEL])
        })?;
    }
    for zone in ["a", "b", "c"] {
        site.add_gateway(zone)?;
    }
    if !site.wait_ready(Duration::from_secs(15)) {
        return Ok(Verdict::CouldNotRun("gateways are not ready".to_owned()));
    }
    thread::sleep(Duration::from_secs(6));
    let name = |model: &str| {
        let row = format!("{{\"model\":\"{model}\",\"version\":2}}");
        site.store.put("op", &format!("version/{model}"), &row);
        record.line(&format!("version 2 of {model} is named and acknowledged"));
    };
    let all_have = |model: &str| site.engines.iter().all(|engine| engine.weights(model) == 2);
    let limit = Duration::from_millis(TSAGAAN_NOM.version_all_ms);
    name(SECOND_MODEL);
    if trouble {
        thread::sleep(GAP);
    } else if !wait_until(limit, || all_have(SECOND_MODEL)) {
        return Ok(Verdict::CouldNotRun(
            "the first naming is not in place".to_owned(),
        ));
    }
    name(FIRST_MODEL);
    if !wait_until(limit * 2, || {
        all_have(FIRST_MODEL) && all_have(SECOND_MODEL)
    }) {
        record.line("not all engines have the named weights");
    }
    if !site.all_run() {
        return Ok(Verdict::CouldNotRun("a process has ended".to_owned()));
    }
    let mut falls = 0;
    for engine in &site.engines {
        let orders = engine.orders();
        for (before, after) in orders.iter().zip(orders.iter().skip(1)) {
            if after.fence < before.fence {
                falls += 1;
                record.line(&format!(
                    "engine {}: fencing token {} of {} for {} version {} ({}) after token {} for {} ({})",
                    engine.settings.id, after.fence, after.holder, after.model, after.version,
                    after.status, before.fence, before.model, before.status
                ));
            }
        }
    }
    record.line(&format!(
        "{falls} orders with a lower fencing token after a higher one"
    ));
    Ok(match falls {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    })
}

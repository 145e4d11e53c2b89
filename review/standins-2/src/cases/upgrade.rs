//! ORDER: the last engine with an older software version crashes and starts again under its id with the
//! newer one, and streams that it began go on there.

use std::io;
use std::thread;
use std::time::Duration;

use super::configuration;
use super::route;
use super::streams::Clients;
use super::FIRST_MODEL;
use crate::engine::Settings;
use crate::record::Record;
use crate::site::Site;
use crate::site::TSAGAAN_NOM;
use crate::Verdict;

/// Software of the engines; the first one is upgraded last.
const SOFTWARE: [&str; 7] = ["v1", "v2", "v2", "v2", "v2", "v2", "v2"];

const CLIENTS: usize = 200;

/// Events of a stream, and the pause between them.
const EVENTS: (u32, Duration) = (40, Duration::from_millis(60));

/// Time for which the engine is down.
const DOWN: Duration = Duration::from_millis(2_000);

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
    for zone in ["a", "a", "b", "b", "c"] {
        site.add_gateway(zone)?;
    }
    if !site.wait_ready(Duration::from_secs(15)) {
        return Ok(Verdict::CouldNotRun("gateways are not ready".to_owned()));
    }
    thread::sleep(Duration::from_secs(6));
    let mut clients = Clients::start(&site, 0..CLIENTS, EVENTS.0);
    thread::sleep(Duration::from_secs(3));
    if trouble {
        let engine = site.engines[0].clone();
        engine.exit();
        thread::sleep(DOWN);
        site.engines[0] = engine.start_again(SOFTWARE[1])?;
    }
    thread::sleep(Duration::from_secs(5));
    clients.stop();
    if !site.all_run() {
        return Ok(Verdict::CouldNotRun("a process has ended".to_owned()));
    }
    let totals = clients.totals.lock().expect("no thread has panicked");
    record.line(&format!(
        "{} streams, {} taken up again, {} hold events of two software versions",
        totals.new, totals.taken_up, totals.joined
    ));
    Ok(match totals.joined > 2 {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}

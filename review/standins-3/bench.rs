//! A small site: store, engines, and the project's programs.

use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use crate::engine::Engine;
use crate::engine::Setup;
use crate::engine::Shared;
use crate::http::Client;
use crate::process::command;
use crate::process::Process;
use crate::process::Record;
use crate::store::Store;

/// Bounds of the site file that matter to the cases.
pub const CONTACT: Duration = Duration::from_millis(3_000);
pub const CONFIG: Duration = Duration::from_millis(2_000);

pub const HOST: &str = "h1.example";
pub const MODEL: &str = "m1";

const FRONT_PORT: u16 = 8782;
const READY_PORT: u16 = 8789;
const ENGINE_PORT: u16 = 8785;
const STORE_PORT: u16 = 8784;
const INNER_PORT: u16 = 7340;
const ZONES: [&str; 3] = ["ikeja", "lekki", "apapa"];
const START_LIMIT: Duration = Duration::from_secs(20);

/// A machine with one of the project's programs.
pub struct Machine {
    pub name: String,
    role: &'static str,
    settings: PathBuf,
    log: PathBuf,
    pub front: SocketAddr,
    ready: SocketAddr,
    process: Option<Process>,
}

impl Machine {
    pub fn start(&mut self) -> io::Result<()> {
        let command = command(self.role)?;
        self.process = Some(Process::start(&command, &self.settings, &self.log)?);
        Ok(())
    }

    pub fn kill(&self) {
        if let Some(process) = &self.process {
            process.kill();
        }
    }

    pub fn runs(&mut self) -> bool {
        self.process.as_mut().is_some_and(Process::runs)
    }
}

/// What is started.
pub struct Plan {
    pub gateways: usize,
    /// Software versions of the model engines; a sidecar stands beside each.
    pub engines: Vec<&'static str>,
    pub plain_servers: usize,
    pub events: u32,
    pub pause: Duration,
    pub configuration: String,
}

/// A running site.
pub struct Site {
    pub store: Store,
    pub gateways: Vec<Machine>,
    pub sides: Vec<Machine>,
    pub shared: Shared,
    pub record: Record,
    folder: PathBuf,
}

impl Site {
    pub fn start(plan: &Plan, folder: &Path) -> io::Result<Self> {
        let record = Record::create(&folder.join("record.txt"))?;
        let temporary = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        std::fs::create_dir_all(&temporary)?;
        let network = free_network()?;
        let at = |group: u8, number: usize, port: u16| {
            SocketAddr::from((Ipv4Addr::new(127, network, group, 10 + number as u8), port))
        };
        let store_addr = at(2, 0, STORE_PORT);
        let store = Store::start(store_addr)?;
        store.write("op", "config", Some(&plan.configuration));
        store.write(
            "op",
            &format!("version/{MODEL}"),
            Some(&format!("{{\"model\":\"{MODEL}\",\"version\":1}}")),
        );
        let shared = Shared {
            engines: Arc::default(),
            uses: Arc::default(),
            record: record.clone(),
        };
        let machine = |role: &'static str, group: u8, number: usize| -> io::Result<Machine> {
            let class = if role == "gateway" { "front" } else { "side" };
            let name = format!("{class}-{}-{}", ZONES[number % 3], number + 1);
            let settings = temporary.join(format!("{name}.yaml"));
            let addr = |port| at(group, number, port);
            let text = settings_text(&name, class, (addr(0), ZONES[number % 3]), store_addr);
            std::fs::write(&settings, text)?;
            Ok(Machine {
                role,
                settings,
                log: temporary.join(format!("{name}.log")),
                front: addr(FRONT_PORT),
                ready: addr(READY_PORT),
                process: None,
                name,
            })
        };
        let mut sides = Vec::new();
        for (number, software) in plan.engines.iter().enumerate() {
            let setup = Setup {
                id: format!("i-{}", number + 1),
                addr: at(1, number, ENGINE_PORT),
                software: (*software).to_owned(),
                zone: ZONES[number % 3].to_owned(),
                model: Some(MODEL.to_owned()),
                events: plan.events,
                pause: plan.pause,
            };
            let engine = Engine::start(setup, &shared)?;
            store.write(
                "servers",
                &engine.setup.id,
                Some(&engine.registration("writers", 0)),
            );
            sides.push(machine("sidecar", 1, number)?);
        }
        for number in 0..plan.plain_servers {
            let setup = Setup {
                id: format!("d-{}", number + 1),
                addr: at(3, number, ENGINE_PORT),
                software: "v1".to_owned(),
                zone: ZONES[number % 3].to_owned(),
                model: None,
                events: 0,
                pause: Duration::ZERO,
            };
            let server = Engine::start(setup, &shared)?;
            store.write("servers", &server.setup.id, Some(&server.registration("desk", 0)));
        }
        let gateways: io::Result<Vec<Machine>> = (0..plan.gateways)
            .map(|number| machine("gateway", 0, number))
            .collect();
        let mut site = Site {
            store,
            gateways: gateways?,
            sides,
            shared,
            record,
            folder: temporary,
        };
        for machine in site.sides.iter_mut().chain(&mut site.gateways) {
            machine.start()?;
        }
        site.wait_until_ready()?;
        // All machines are in touch, and have heard of each other.
        sleep(CONTACT + Duration::from_secs(2));
        Ok(site)
    }

    fn wait_until_ready(&mut self) -> io::Result<()> {
        let until = Instant::now() + START_LIMIT;
        let request = format!("GET /readyz HTTP/1.1\r\nHost: {HOST}\r\n\r\n");
        for machine in &mut self.gateways {
            loop {
                let probe = Client::send(machine.ready, request.as_bytes(), Duration::from_secs(1));
                let status = probe.and_then(|mut probe| probe.head()).map(|head| head.status());
                if matches!(status, Ok(200)) {
                    break;
                }
                if Instant::now() > until || !machine.runs() {
                    let log = std::fs::read_to_string(&machine.log).unwrap_or_default();
                    return Err(io::Error::other(format!("{} is not ready: {log}", machine.name)));
                }
                sleep(Duration::from_millis(50));
            }
        }
        Ok(())
    }

    /// Keeps the logs of the processes, for a look at a failure.
    pub fn keep_logs(&self) {
        println!("logs: {}", self.folder.display());
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        for machine in self.sides.iter().chain(&self.gateways) {
            machine.kill();
        }
        if std::env::var_os("KEEP_LOGS").is_some() {
            self.keep_logs();
            return;
        }
        // A leftover folder in the temporary directory does no harm.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Returns the second number of loopback addresses that nothing uses.
fn free_network() -> io::Result<u8> {
    let first = (std::process::id() % 200) as u8;
    for offset in 0..50 {
        let network = 10 + (first + offset) % 240;
        let addr = SocketAddr::from((Ipv4Addr::new(127, network, 2, 10), STORE_PORT));
        if TcpListener::bind(addr).is_ok() {
            return Ok(network);
        }
    }
    Err(io::Error::other("no loopback addresses are free"))
}

fn settings_text(name: &str, class: &str, (addr, zone): (SocketAddr, &str), store: SocketAddr) -> String {
    let ip = addr.ip();
    let rest = match class {
        "front" => format!("listen:\n  front: \"{ip}:{FRONT_PORT}\"\n  ready: \"{ip}:{READY_PORT}\"\n"),
        _ => format!("listen: {{}}\napp: \"{ip}:{ENGINE_PORT}\"\nservice: \"writers\"\n"),
    };
    format!(
        "node: \"{name}\"\nrole: \"{class}\"\nmachine-class: \"{class}\"\nserves:\n  - \"{class}\"\n\
         ip: \"{ip}\"\nzone: \"{zone}\"\nregion: \"lagos\"\n\
         zones:\n  ikeja: \"lagos\"\n  lekki: \"lagos\"\n  apapa: \"lagos\"\n{rest}\
         port-range:\n  - {INNER_PORT}\n  - {}\nseeds: []\nbootstrap: true\ncounts-toward-loss: false\n\
         limits:\n  cpu-quota: 0.19\n  cores: 1\n  memory-mb: 260\n  max-fds: 4100\n  link-mbps: 1000.0\n  disk-mb: 0\n\
         data-dir: null\ndiscovery: \"platform\"\nentry: \"vip\"\nheartbeat-ms: 1200\n\
         contracts:\n  - \"base\"\n  - \"platform\"\ntolerate:\n  machines: 1\n  zones: 0\n  regions: 0\n\
         bounds:\n  seed-lag-s: 3\n  reuse-after-s: 2\n  contact-ms: 3000\n  ack-ms: 4000\n  catch-up-s: 4\n\
         \x20 drain-ms: 2000\n  grace-s: 8\n  lost-ms: 200\n  config-ms: 2000\n  downgrade-ms: 250\n\
         \x20 skew-max-ms: 5000\n  strict-revoke: false\n  revoke-ms: 5000\n  retry-ratio: 0.2\n\
         \x20 budget-window-s: 10\n  retry-slack: 56\n  recover-s: 12\n  transit-ms: 120\n  reuse-window-s: 10\n\
         \x20 require-fence: true\n  lease-ms: 3000\n  thaw-ms: 300\n  version-ms: 6000\n  version-all-ms: 8400\n\
         platform:\n  addr: \"{store}\"\n  form: \"table\"\n  writes-per-s: 400\n  reads-per-s: 2000\n  tx-ms: 3.0\n\
         \x20 part-writes-per-s: 300\n  row-bytes: 65536\n  cross-shard: true\n  history-s: 20\n",
        INNER_PORT + 15
    )
}

//! A small deployment: a store, engines, and the project's programs as processes on loopback addresses.

use std::fs;
use std::fs::File;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use crate::engine::Engine;
use crate::engine::Settings;
use crate::http::call;
use crate::http::Message;
use crate::record::Record;
use crate::store::Store;

/// Bounds that differ between the sites.
#[derive(Clone, Copy)]
pub struct Bounds {
    pub require_fence: bool,
    pub drain_ms: u64,
    pub config_ms: u64,
    pub contact_ms: u64,
    pub version_ms: u64,
    pub version_all_ms: u64,
    pub recover_s: u64,
}

/// Bounds of the small sites, as `sites/arch-orders.toml` has them.
pub const ARCH_ORDERS: Bounds = Bounds {
    require_fence: true,
    drain_ms: 2_000,
    config_ms: 2_000,
    contact_ms: 3_000,
    version_ms: 6_000,
    version_all_ms: 8_400,
    recover_s: 12,
};

/// Bounds of `demands/tsagaan-nom-grown.toml`.
pub const TSAGAAN_NOM: Bounds = Bounds {
    require_fence: false,
    drain_ms: 3_000,
    config_ms: 3_000,
    contact_ms: 4_000,
    version_ms: 12_000,
    version_all_ms: 17_000,
    recover_s: 15,
};

/// A process of the system.
struct Process {
    name: String,
    boot: PathBuf,
    is_gateway: bool,
    child: Option<Child>,
}

impl Process {
    fn start(&mut self) {
        let log = self.boot.with_extension("log");
        let log = File::options().create(true).append(true).open(log);
        let mut command = match self.is_gateway {
            true => Command::new("target/release/dandelionwall-gateway"),
            false => Command::new("target/release/dandelionwall-sidecar"),
        };
        match self.is_gateway {
            true => command.args(["--metrics-port", "9464", "--mixed-prompts"]),
            false => command.args(["--metrics-port", "9465"]),
        };
        command.env("DANDELIONWALL_BOOT", &self.boot);
        command.stdin(Stdio::null()).stderr(Stdio::inherit());
        command.stdout(log.map_or_else(|_| Stdio::null(), Stdio::from));
        self.child = command.spawn().ok();
    }

    fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // It may have ended already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The deployment.
pub struct Site {
    pub store: Store,
    pub record: Record,
    pub engines: Vec<Engine>,
    pub gateways: Vec<SocketAddr>,
    /// Address of the store that each gateway uses.
    pub stores: Vec<SocketAddr>,
    ready: Vec<SocketAddr>,
    processes: Vec<Process>,
    bounds: Bounds,
    folder: PathBuf,
    net: (u8, u8),
    inner_port: u16,
    app_port: u16,
    machines: u8,
}

impl Site {
    /// Starts the store of an empty deployment.
    pub fn start(bounds: Bounds, record: &Record) -> std::io::Result<Self> {
        let pid = std::process::id();
        let net = ((pid % 200) as u8 + 20, (pid / 200 % 250) as u8);
        let machine = |n: u8| IpAddr::V4(Ipv4Addr::new(127, net.0, net.1, n));
        let free_port = || TcpListener::bind((machine(251), 0))?.local_addr();
        let folder = std::env::temp_dir().join(format!("review-case-2-{pid}"));
        fs::create_dir_all(&folder)?;
        Ok(Site {
            store: Store::new(),
            record: record.clone(),
            engines: Vec::new(),
            gateways: Vec::new(),
            stores: Vec::new(),
            ready: Vec::new(),
            processes: Vec::new(),
            bounds,
            folder,
            net,
            inner_port: free_port()?.port(),
            app_port: free_port()?.port(),
            machines: 0,
        })
    }

    fn next_machine(&mut self) -> IpAddr {
        self.machines += 1;
        IpAddr::V4(Ipv4Addr::new(127, self.net.0, self.net.1, self.machines))
    }

    /// Starts an engine, and the sidecar beside it if it has models.
    pub fn add_engine(&mut self, settings: Settings) -> std::io::Result<()> {
        let ip = self.next_machine();
        let listener = TcpListener::bind((ip, self.app_port))?;
        let has_sidecar = !settings.models.is_empty();
        let (zone, service) = (settings.zone.clone(), settings.service.clone());
        let engine = Engine::start(listener, settings, (&self.store, &self.record));
        let app = format!("app: \"{}\"\nservice: \"{service}\"\n", engine.addr);
        self.engines.push(engine);
        if has_sidecar {
            let serves = "  - \"side\"";
            self.add_process(ip, &zone, false, serves, &format!("listen: {{}}\n{app}"))?;
        }
        Ok(())
    }

    /// Starts a gateway.
    pub fn add_gateway(&mut self, zone: &str) -> std::io::Result<()> {
        let ip = self.next_machine();
        let (front, ready) = (self.app_port, self.inner_port + 1);
        let listen = format!("listen:\n  front: \"{ip}:{front}\"\n  ready: \"{ip}:{ready}\"\n");
        self.gateways.push(SocketAddr::new(ip, front));
        self.ready.push(SocketAddr::new(ip, ready));
        self.add_process(ip, zone, true, "  - \"front\"", &listen)
    }

    fn add_process(
        &mut self,
        ip: IpAddr,
        zone: &str,
        is_gateway: bool,
        serves: &str,
        rest: &str,
    ) -> std::io::Result<()> {
        let store = IpAddr::V4(Ipv4Addr::new(127, self.net.0, self.net.1, 250));
        let store = self.store.open(TcpListener::bind((store, 0))?);
        if is_gateway {
            self.stores.push(store);
        }
        let class = if is_gateway { "front" } else { "side" };
        let name = format!("{class}-{zone}-{}", self.machines);
        let b = self.bounds;
        let text = format!(
            "node: \"{name}\"\nrole: \"{class}\"\nmachine-class: \"{class}\"\nserves:\n{serves}\n\
             ip: \"{ip}\"\nzone: \"{zone}\"\nregion: \"r\"\nzones:\n  a: \"r\"\n  b: \"r\"\n  c: \"r\"\n\
             {rest}port-range:\n  - {}\n  - {}\nseeds: []\nbootstrap: true\ncounts-toward-loss: false\n\
             limits:\n  cpu-quota: 0.5\n  cores: 1\n  memory-mb: 260\n  max-fds: 4100\n  \
             link-mbps: 1000.0\n  disk-mb: 0\ndata-dir: null\ndiscovery: \"platform\"\n\
             entry: \"vip\"\nheartbeat-ms: 1200\nbounds:\n  contact-ms: {}\n  drain-ms: {}\n  \
             grace-s: 8\n  lost-ms: 200\n  config-ms: {}\n  retry-ratio: 0.2\n  budget-window-s: 10\n  \
             retry-slack: 56\n  quota-window-s: 8\n  quota-excess: 0.1\n  quota-slack: 140000\n  \
             recover-s: {}\n  require-fence: {}\n  lease-ms: 3000\n  thaw-ms: 300\n  version-ms: {}\n  \
             version-all-ms: {}\nplatform:\n  addr: \"{}\"\n  form: \"table\"\n",
            self.inner_port,
            self.inner_port,
            b.contact_ms,
            b.drain_ms,
            b.config_ms,
            b.recover_s,
            b.require_fence,
            b.version_ms,
            b.version_all_ms,
            store,
        );
        let boot = self.folder.join(format!("{name}.yaml"));
        fs::write(&boot, text)?;
        let mut process = Process {
            name,
            boot,
            is_gateway,
            child: None,
        };
        process.start();
        self.processes.push(process);
        Ok(())
    }

    /// Kills all processes of the system and starts them again after a pause.
    pub fn kill_all(&mut self, down: Duration) {
        for process in &mut self.processes {
            process.kill();
        }
        self.record.line("all processes are killed");
        std::thread::sleep(down);
        for process in &mut self.processes {
            process.start();
        }
        self.record.line("all processes are started again");
    }

    /// Returns whether all processes run.
    pub fn all_run(&mut self) -> bool {
        self.processes.iter_mut().all(|process| {
            let child = process.child.as_mut();
            child.is_some_and(|child| matches!(child.try_wait(), Ok(None)))
        })
    }

    /// Waits until all gateways say that they are ready; returns whether they did.
    pub fn wait_ready(&self, timeout: Duration) -> bool {
        let until = Instant::now() + timeout;
        self.ready.iter().all(|addr| loop {
            let second = Duration::from_secs(1);
            let answer = call(*addr, "GET", "/readyz", &[("Host", "r")], b"", second);
            if answer.is_some_and(|answer| answer.status() == 200) {
                return true;
            }
            if Instant::now() > until {
                return false;
            }
            std::thread::sleep(Duration::from_millis(50));
        })
    }

    /// Sends a request of a client to a gateway and records the answer.
    pub fn request(
        &self,
        gateway: usize,
        (method, path): (&str, &str),
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> Option<Message> {
        let id = headers.iter().find(|(name, _)| *name == "Attempt-Id");
        let id = id.map_or("", |(_, id)| *id);
        let addr = self.gateways[gateway];
        self.record.line(&format!(
            "request {id} {method} {path} sent to gateway {gateway}"
        ));
        let answer = call(addr, method, path, headers, body, Duration::from_secs(5));
        let status = answer.as_ref().map_or(0, Message::status);
        let text = answer.as_ref().filter(|_| status != 200);
        let text = text.map(|answer| String::from_utf8_lossy(&answer.body).into_owned());
        let text = text.unwrap_or_default();
        self.record
            .line(&format!("request {id} answered {status} {text}"));
        answer
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        for process in &mut self.processes {
            process.kill();
        }
        if std::env::var_os("KEEP").is_none() {
            // Nothing depends on the folder being gone.
            let _ = fs::remove_dir_all(&self.folder);
        }
        let names: Vec<&str> = self.processes.iter().map(|p| p.name.as_str()).collect();
        self.record.line(&format!("ended {}", names.join(", ")));
    }
}

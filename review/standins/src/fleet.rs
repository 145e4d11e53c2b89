//! The project's programs as processes, on loopback addresses of their own.

use std::fs;
use std::fs::File;
use std::io;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::client::Call;
use crate::record::Record;

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

/// Zone of all machines.
pub const ZONE: &str = "ikeja";

/// Option of `prctl` with which a process ends when its parent does.
const PR_SET_PDEATHSIG: i32 = 1;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, ...) -> i32;
}

/// A machine with one of the project's programs.
pub struct Machine {
    pub name: String,
    pub ip: IpAddr,
    command: &'static str,
    boot: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// Addresses and the temporary folder of a case.
pub struct Site {
    pub folder: PathBuf,
    base: (u8, u8),
    pub record: Record,
}

impl Site {
    /// Creates the site of this process.
    pub fn create(record: &Record) -> io::Result<Self> {
        let pid = std::process::id();
        let folder = std::env::temp_dir().join(format!("review-{pid}"));
        fs::create_dir_all(&folder)?;
        Ok(Site {
            folder,
            base: (10 + (pid % 200) as u8, (pid / 200 % 250) as u8),
            record: record.clone(),
        })
    }

    /// Returns an address of this site.
    pub fn ip(&self, host: u8) -> IpAddr {
        Ipv4Addr::new(127, self.base.0, self.base.1, host).into()
    }

    pub fn store_addr(&self) -> SocketAddr {
        SocketAddr::new(self.ip(1), 8784)
    }

    /// Returns the settings of a machine.
    fn boot(&self, name: &str, class: &str, ip: IpAddr, more: &str) -> String {
        let store = self.store_addr();
        format!(
            "node: \"{name}\"\nrole: \"{class}\"\nmachine-class: \"{class}\"\nserves:\n  - \"{class}\"\n\
             ip: \"{ip}\"\nzone: \"{ZONE}\"\nregion: \"lagos\"\nzones:\n  {ZONE}: \"lagos\"\n{more}\
             port-range:\n  - 7340\n  - 7355\nseeds: []\nbootstrap: true\ncounts-toward-loss: false\n\
             limits:\n  cpu-quota: 0.2\n  cores: 1\n  memory-mb: 260\n  max-fds: 4100\n  link-mbps: 1000.0\n  disk-mb: 0\n\
             data-dir: null\ndiscovery: \"platform\"\nentry: \"vip\"\nheartbeat-ms: 1200\n\
             contracts:\n  - \"base\"\n  - \"drain\"\n  - \"config\"\n  - \"cost\"\n  - \"retry\"\n  - \"recover\"\n\
             \x20 - \"kvcache\"\n  - \"stream\"\n  - \"engine\"\n  - \"tenants\"\n  - \"platform\"\n\
             tolerate:\n  machines: 1\n  zones: 0\n  regions: 0\n\
             bounds:\n  seed-lag-s: 3\n  reuse-after-s: 2\n  contact-ms: 3000\n  ack-ms: 4000\n  catch-up-s: 4\n\
             \x20 drain-ms: 2000\n  grace-s: 8\n  lost-ms: 200\n  config-ms: 2000\n  downgrade-ms: 250\n\
             \x20 skew-max-ms: 5000\n  strict-revoke: false\n  revoke-ms: 5000\n  retry-ratio: 0.2\n\
             \x20 budget-window-s: 10\n  retry-slack: 56\n  recover-s: 12\n  transit-ms: 120\n  reuse-window-s: 10\n\
             \x20 require-fence: true\n  lease-ms: 3000\n  thaw-ms: 300\n  version-ms: 6000\n  version-all-ms: 8400\n\
             platform:\n  addr: \"{store}\"\n  form: \"table\"\n  writes-per-s: 400\n  reads-per-s: 2000\n\
             \x20 tx-ms: 3.0\n  part-writes-per-s: 300\n  row-bytes: 65536\n  cross-shard: true\n  history-s: 20\n\
             \x20 blob-bytes: 8388608\n  blob-ms: 25.0\n  blob-mb-per-s: 80.0\n"
        )
    }

    fn machine(
        &self,
        name: String,
        ip: IpAddr,
        command: &'static str,
        boot: &str,
    ) -> io::Result<Machine> {
        let path = self.folder.join(format!("{name}.yaml"));
        fs::write(&path, boot)?;
        let log = self.folder.join(format!("{name}.log"));
        File::create(&log)?;
        Ok(Machine {
            name,
            ip,
            command,
            boot: path,
            log,
            child: None,
        })
    }

    /// Returns the machine of a gateway.
    pub fn front(&self, number: u8) -> io::Result<Machine> {
        let name = format!("front-{ZONE}-{number}");
        let ip = self.ip(10 + number);
        let listen = format!("listen:\n  front: \"{ip}:8782\"\n  ready: \"{ip}:8789\"\n");
        let boot = self.boot(&name, "front", ip, &listen);
        self.machine(
            name,
            ip,
            "target/release/dandelionwall-gateway --metrics-port 9464",
            &boot,
        )
    }

    /// Returns the address of the engine on a side machine.
    pub fn app(&self, number: u8) -> SocketAddr {
        SocketAddr::new(self.ip(50 + number), 8785)
    }

    /// Returns the machine of a sidecar.
    pub fn side(&self, number: u8, service: &str) -> io::Result<Machine> {
        let name = format!("side-{ZONE}-{number}");
        let app = self.app(number);
        let more = format!("listen: {{}}\napp: \"{app}\"\nservice: \"{service}\"\n");
        let boot = self.boot(&name, "side", app.ip(), &more);
        self.machine(
            name,
            app.ip(),
            "target/release/dandelionwall-sidecar --metrics-port 9465",
            &boot,
        )
    }

    /// Returns the address of an engine without a machine of ours.
    pub fn plain(&self, number: u8) -> SocketAddr {
        SocketAddr::new(self.ip(100 + number), 8080)
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        if std::env::var_os("REVIEW_KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

impl Machine {
    /// Returns the address for clients.
    pub fn front_addr(&self) -> SocketAddr {
        SocketAddr::new(self.ip, 8782)
    }

    /// Starts the program with the command of the deploy file.
    pub fn start(&mut self) -> io::Result<()> {
        let mut words = self.command.split(' ');
        let program = words.next().unwrap_or_default();
        let out = File::options().append(true).open(&self.log)?;
        let mut command = Command::new(program);
        command
            .args(words)
            .env_clear()
            .env("DANDELIONWALL_BOOT", &self.boot);
        command
            .stdin(Stdio::null())
            .stdout(out.try_clone()?)
            .stderr(out);
        // SAFETY: `prctl` may be called between fork and exec. Machines are started by the main thread, so
        // the process ends when the case does.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
                Ok(())
            });
        }
        self.child = Some(command.spawn()?);
        Ok(())
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            // SAFETY: the process was started here and has not been waited for.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Waits until the process has ended.
    pub fn wait(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.wait();
        }
    }

    /// Returns whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child
            .as_mut()
            .is_none_or(|child| !matches!(child.try_wait(), Ok(None)))
    }

    /// Returns what the process has written.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Waits until the machine reports that it is ready; returns whether it did in time.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        let probe = Call {
            method: "GET".to_owned(),
            path: "/readyz".to_owned(),
            host: "ready".to_owned(),
            deadline_ms: 500,
            ..Call::default()
        };
        while Instant::now() < until {
            let answer = probe.call(SocketAddr::new(self.ip, 8789));
            if answer.is_some_and(|answer| answer.status == 200) {
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.signal(SIGKILL);
        self.wait();
    }
}

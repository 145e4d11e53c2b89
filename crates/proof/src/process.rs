//! Child processes of the workspace's binaries.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::PoisonError;
use std::thread;

use eyre::WrapErr;

use crate::wait::until;

/// Packages whose binaries are started.
const PACKAGES: [&str; 4] = ["dw-router", "dw-agent", "dw-gateway", "dw-sidecar"];

/// Directory of the built binaries, after they were built once in this process.
static BINARIES: OnceLock<Result<PathBuf, String>> = OnceLock::new();

/// A running child; dropping it kills it.
#[derive(Debug)]
pub struct Process {
    child: Mutex<Child>,
    id: String,
    log: Arc<Mutex<Vec<String>>>,
}

/// Builds the binaries, because cargo builds them only for the tests of their own package.
fn binaries() -> eyre::Result<&'static Path> {
    let built = BINARIES.get_or_init(|| {
        let build = Command::new(env!("CARGO"))
            .args(["build", "--quiet", "--offline", "--bins"])
            .args(PACKAGES.iter().flat_map(|package| ["-p", package]))
            .current_dir(env!("CARGO_MANIFEST_DIR"))
            .output()
            .map_err(|error| error.to_string())?;
        if !build.status.success() {
            return Err(String::from_utf8_lossy(&build.stderr).into_owned());
        }
        // A test runs in `<target>/<profile>/deps`.
        let test = std::env::current_exe().map_err(|error| error.to_string())?;
        let profile = test.parent().and_then(Path::parent);
        let target = profile.and_then(Path::parent);
        let debug = target.map(|target| target.join("debug"));
        debug.ok_or_else(|| "the test does not run in a target folder".to_owned())
    });
    match built {
        Ok(path) => Ok(path),
        Err(text) => Err(eyre::eyre!("the binaries cannot be built: {text}")),
    }
}

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Collects the lines of an output on a thread of its own.
fn collect(output: Option<impl Read + Send + 'static>, log: &Arc<Mutex<Vec<String>>>) {
    let Some(output) = output else {
        return;
    };
    let log = Arc::clone(log);
    thread::spawn(move || {
        for line in BufReader::new(output).lines().map_while(Result::ok) {
            locked(&log).push(line);
        }
    });
}

impl Process {
    /// Starts a binary with a settings file.
    ///
    /// # Errors
    ///
    /// Returns an error if the binary cannot be built or started.
    pub fn start(binary: &str, settings: &Path) -> eyre::Result<Process> {
        let mut child = Command::new(binaries()?.join(binary))
            .arg("--settings")
            .arg(settings)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .wrap_err_with(|| format!("{binary} cannot be started"))?;
        let log = Arc::new(Mutex::new(Vec::new()));
        collect(child.stdout.take(), &log);
        collect(child.stderr.take(), &log);
        Ok(Process {
            id: child.id().to_string(),
            child: Mutex::new(child),
            log,
        })
    }

    /// Returns the lines that the process has logged.
    pub fn log(&self) -> Vec<String> {
        locked(&self.log).clone()
    }

    /// Waits for a log line with a text and returns the value of a key in it.
    ///
    /// # Errors
    ///
    /// Returns an error with the log if the line does not appear.
    pub async fn logged(&self, text: &str, key: &str) -> eyre::Result<String> {
        let find = || {
            let log = locked(&self.log);
            let line = log.iter().find(|line| line.contains(text))?;
            let (_, value) = line.split_once(&format!("{key}="))?;
            let end = value.find([' ', '"', ',']).unwrap_or(value.len());
            Some(value[..end].to_owned())
        };
        let waited = until(text, || async { find().is_some() }).await;
        waited.wrap_err_with(|| self.log().join("\n"))?;
        find().ok_or_else(|| eyre::eyre!("the line has no key {key}"))
    }

    fn signal(&self, name: &str) -> eyre::Result<()> {
        // The child is not reaped before it is waited for, so the id cannot belong to another process.
        let sent = Command::new("kill").args([name, &self.id]).status()?;
        eyre::ensure!(sent.success(), "kill {name} failed");
        Ok(())
    }

    /// Stops the process without its knowledge.
    ///
    /// # Errors
    ///
    /// Returns an error if the signal cannot be sent.
    pub fn freeze(&self) -> eyre::Result<()> {
        self.signal("-STOP")
    }

    /// Continues a stopped process.
    ///
    /// # Errors
    ///
    /// Returns an error if the signal cannot be sent.
    pub fn thaw(&self) -> eyre::Result<()> {
        self.signal("-CONT")
    }

    /// Asks the process to finish its work and exit.
    ///
    /// # Errors
    ///
    /// Returns an error if the signal cannot be sent.
    pub fn terminate(&self) -> eyre::Result<()> {
        self.signal("-TERM")
    }

    /// Kills the process at once.
    pub fn kill(&self) {
        let mut child = locked(&self.child);
        // An error means that the process has already ended.
        let _ = child.kill();
        let _ = child.wait();
    }

    /// Returns the exit status if the process has ended.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be waited for.
    pub fn ended(&self) -> eyre::Result<Option<ExitStatus>> {
        Ok(locked(&self.child).try_wait()?)
    }

    /// Waits until the process ends by itself.
    ///
    /// # Errors
    ///
    /// Returns an error if it does not end.
    pub async fn wait(&self) -> eyre::Result<ExitStatus> {
        until("the process ends", || async {
            self.ended().is_ok_and(|status| status.is_some())
        })
        .await
        .wrap_err_with(|| self.log().join("\n"))?;
        self.ended()?
            .ok_or_else(|| eyre::eyre!("the process runs on"))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

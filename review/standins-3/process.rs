//! The project's programs as processes, and the record of a case.

use std::fs::File;
use std::io;
use std::io::Write;
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

extern "C" {
    fn prctl(option: i32, arg: u64, a: u64, b: u64, c: u64) -> i32;
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Option of `prctl` for the signal that a process gets when the one that started it ends.
const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: i32 = 9;

/// Lines with the time since the start of the case.
#[derive(Clone)]
pub struct Record(Arc<Mutex<File>>, Instant);

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Record(Arc::new(Mutex::new(File::create(path)?)), Instant::now()))
    }

    pub fn line(&self, text: &str) {
        let at = self.1.elapsed().as_secs_f64();
        let mut file = self.0.lock().unwrap();
        // The record is for readers; the verdict does not depend on it.
        let _ = writeln!(file, "{at:8.3} s  {text}");
    }
}

/// A running program, which is killed when it is dropped.
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts a program with the command of the deploy file.
    pub fn start(command: &str, settings: &Path, log: &Path) -> io::Result<Self> {
        let mut words = command.split(' ');
        let program = words.next().unwrap_or_default();
        let log = File::options().create(true).append(true).open(log)?;
        let mut command = Command::new(program);
        command
            .args(words)
            .env("DANDELIONWALL_BOOT", settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log);
        // SAFETY: prctl may be called between fork and exec.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64, 0, 0, 0);
                Ok(())
            });
        }
        Ok(Process {
            child: command.spawn()?,
        })
    }

    pub fn signal(&self, signal: i32) {
        // SAFETY: the process was started here and was not waited for.
        unsafe {
            kill(self.child.id() as i32, signal);
        }
    }

    /// Kills it without waiting for its end.
    pub fn kill(&self) {
        self.signal(SIGKILL);
    }

    /// Returns whether it still runs.
    pub fn runs(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the command of a role in the deploy file.
pub fn command(role: &str) -> io::Result<String> {
    let text = std::fs::read_to_string("deploy/system.toml")?;
    let section = format!("[roles.{role}]");
    let lines = text.lines().skip_while(|line| line.trim() != section).skip(1);
    let mut lines = lines.take_while(|line| !line.starts_with('['));
    let run = lines.find_map(|line| line.strip_prefix("run = \""));
    let run = run.and_then(|run| run.strip_suffix('"'));
    run.map(str::to_owned)
        .ok_or_else(|| io::Error::other("the deploy file has no such role"))
}

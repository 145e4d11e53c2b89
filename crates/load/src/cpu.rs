//! CPU time and memory of this process, read from `/proc`.

use std::fs;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// Returns the CPU time of the live threads of this process whose names start with `prefix`.
///
/// The CPU time of threads that have exited is not included.
pub(crate) fn thread_cpu_time(prefix: &str) -> Duration {
    let Ok(tasks) = fs::read_dir("/proc/self/task") else {
        return Duration::ZERO;
    };
    let cpu_time_of = |path: std::path::PathBuf| {
        let name = fs::read_to_string(path.join("comm")).ok()?;
        let stat = fs::read_to_string(path.join("schedstat")).ok()?;
        let time_ns: u64 = stat.split_whitespace().next()?.parse().ok()?;
        name.starts_with(prefix)
            .then_some(Duration::from_nanos(time_ns))
    };
    let times = tasks.flatten().filter_map(|task| cpu_time_of(task.path()));
    times.sum()
}

/// Returns the resident memory of this process in bytes, or 0 if it cannot be read.
pub(crate) fn resident_bytes() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
    kib.unwrap_or_default() * 1024
}

/// Measures the CPU utilisation of this process as a share of all cores.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CpuMeter {
    started: Instant,
    cpu_time: Duration,
}

impl CpuMeter {
    /// Starts a measurement.
    pub(crate) fn start() -> Self {
        CpuMeter {
            started: Instant::now(),
            cpu_time: thread_cpu_time(""),
        }
    }

    /// Returns the mean utilisation of all cores since [`CpuMeter::start`], between 0 and 1.
    pub(crate) fn share(&self) -> f64 {
        let cpu_time = thread_cpu_time("")
            .saturating_sub(self.cpu_time)
            .as_secs_f64();
        let cores = thread::available_parallelism().map_or(1, std::num::NonZero::get);
        cpu_time / self.started.elapsed().as_secs_f64() / cores as f64
    }
}

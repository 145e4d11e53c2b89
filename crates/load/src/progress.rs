//! Progress bar on the terminal.

use std::io::stderr;
use std::io::IsTerminal;
use std::time::Duration;

use indicatif::ProgressBar;
use indicatif::ProgressStyle;

/// Steps of the progress bar per second of engine time.
const STEPS_PER_S: f64 = 10.0;

/// Progress bar on standard error; hidden if that is not a terminal.
pub(crate) struct Progress {
    bar: ProgressBar,
    run_steps: u64,
}

impl Progress {
    /// Creates a progress bar for `runs` runs of `run_duration_s` seconds each.
    pub(crate) fn new(runs: u64, run_duration_s: f64) -> Self {
        let run_steps = (run_duration_s * STEPS_PER_S) as u64;
        let bar = if stderr().is_terminal() {
            ProgressBar::new(runs * run_steps)
        } else {
            ProgressBar::hidden()
        };
        // Cannot fail for this constant template; the default style would be used otherwise.
        if let Ok(style) = ProgressStyle::with_template("{wide_bar} {percent}% {eta} {msg}") {
            bar.set_style(style);
        }
        Progress { bar, run_steps }
    }

    /// Moves the bar to the start of the next run and shows its name.
    pub(crate) fn start_run(&self, name: &str) {
        let runs = self.bar.position().div_ceil(self.run_steps.max(1));
        self.bar.set_position(runs * self.run_steps);
        self.bar.set_message(name.to_owned());
    }

    /// Shows that the current run has reached `at`, in engine time after its start.
    pub(crate) fn set_elapsed(&self, at: Duration) {
        let steps = (at.as_secs_f64() * STEPS_PER_S) as u64;
        let runs = self.bar.position() / self.run_steps.max(1);
        let step_in_run = steps.min(self.run_steps.saturating_sub(1));
        self.bar.set_position(runs * self.run_steps + step_in_run);
    }

    /// Removes the bar.
    pub(crate) fn finish(&self) {
        self.bar.finish_and_clear();
    }
}

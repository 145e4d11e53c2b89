//! Results of an experiment, as a table and as JSON.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::capacity::Capacity;
use crate::report::Report;
use crate::scenario::Scenario;
use crate::series::Recovery;
use crate::series::SeriesPoint;

/// Highest CPU utilisation, as a share of all cores, of a valid run.
///
/// Above it, contention for the CPU of the test machine distorts the measured latencies.
pub const MAX_CPU_SHARE: f64 = 0.5;

/// Counters of the simulated fleet and the routers, from the end of the warm-up to the end of the
/// run.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Counts {
    /// Prompt tokens that engines computed.
    pub computed_tokens: u64,
    /// Computed tokens of blocks that a live engine or the KV store already held.
    pub recomputed_tokens: u64,
    /// Prompt tokens that engines read from their prefix caches.
    pub cached_tokens: u64,
    /// Uses of cached blocks that belong to another organisation, weights version or engine
    /// incarnation.
    pub crossings: u64,
    /// Repeated executions of the same idempotency key.
    pub duplicates: u64,
    /// Requests that routers received.
    pub router_requests: u64,
    /// Attempts that routers sent to agents.
    pub router_attempts: u64,
    /// Attempts that followed the hint in an agent's refusal; included in `router_attempts`.
    pub router_hops: u64,
    /// Streams that routers resumed.
    pub router_resumes: u64,
}

impl Counts {
    fn combine(self, other: Counts, f: fn(u64, u64) -> u64) -> Counts {
        Counts {
            computed_tokens: f(self.computed_tokens, other.computed_tokens),
            recomputed_tokens: f(self.recomputed_tokens, other.recomputed_tokens),
            cached_tokens: f(self.cached_tokens, other.cached_tokens),
            crossings: f(self.crossings, other.crossings),
            duplicates: f(self.duplicates, other.duplicates),
            router_requests: f(self.router_requests, other.router_requests),
            router_attempts: f(self.router_attempts, other.router_attempts),
            router_hops: f(self.router_hops, other.router_hops),
            router_resumes: f(self.router_resumes, other.router_resumes),
        }
    }

    /// Returns the increase of each counter since `earlier`.
    pub fn since(self, earlier: Counts) -> Counts {
        self.combine(earlier, u64::saturating_sub)
    }

    /// Returns the sum of each counter over two runs.
    pub fn plus(self, other: Counts) -> Counts {
        self.combine(other, u64::saturating_add)
    }

    /// Returns the number of attempts per request, or 0 without requests.
    pub fn amplification(&self) -> f64 {
        match self.router_requests {
            0 => 0.0,
            requests => self.router_attempts as f64 / requests as f64,
        }
    }
}

/// Results of one case under one policy, aggregated over all seeds.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Measurement {
    /// Name of the case.
    pub case: String,
    /// Name of the placement policy.
    pub policy: String,
    /// Offered load in requests per second of engine time, before any load fault.
    pub offered_per_s: f64,
    /// Highest CPU utilisation of this process in any of the runs, as a share of all cores.
    pub cpu_share: f64,
    /// Whether `cpu_share` is at most [`MAX_CPU_SHARE`], so that the latencies are meaningful.
    pub valid: bool,
    /// Responses and latencies as seen by the callers, without the warm-up.
    pub report: Report,
    /// Counters of the simulated fleet and the routers.
    pub counts: Counts,
    /// Attempts per request.
    pub amplification: f64,
    /// Prefix cache hit rate of complete responses.
    pub hit_rate: f64,
    /// Recomputed tokens per complete response.
    pub recomputed_per_answer: f64,
    /// Worth of the responses that met their deadline, as a share of the worth of all requests.
    pub worth_rate: f64,
    /// Responses that ended early, with or without an error event.
    pub broken_streams: u64,
    /// Effect of the first fault, if there is one and a baseline to compare with.
    pub recovery: Option<Recovery>,
    /// Time series over the whole run, including the warm-up.
    pub series: Vec<SeriesPoint>,
}

impl Measurement {
    /// Fills in the figures that are computed from the report and the counters.
    pub fn with_derived_figures(mut self) -> Self {
        let all = &self.report.all;
        self.valid = self.cpu_share <= MAX_CPU_SHARE;
        self.amplification = self.counts.amplification();
        self.hit_rate = all.hit_rate();
        self.recomputed_per_answer =
            self.counts.recomputed_tokens as f64 / all.answered.max(1) as f64;
        self.worth_rate = all.worth_rate();
        self.broken_streams = all.broken_streams();
        self
    }
}

/// All measurements of an experiment; its `Display` output is a table.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Experiment {
    /// Scenario that was run.
    pub scenario: Scenario,
    /// Estimated capacity of the fleet.
    pub capacity: Capacity,
    /// One measurement for each case and policy, in that order.
    pub runs: Vec<Measurement>,
}

fn format_optional(value: Option<f64>) -> String {
    value.map_or("-".to_owned(), |value| format!("{value:.1}"))
}

impl fmt::Display for Experiment {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let capacity = &self.capacity;
        writeln!(
            f,
            "capacity {:.1} requests/s, limited by {}",
            capacity.requests_per_s, capacity.model
        )?;
        writeln!(
            f,
            "{:<16}{:<13}{:>6}{:>7}{:>8}{:>7}{:>8}{:>8}{:>8}{:>8}{:>8}{:>8}{:>7}{:>5}{:>6}{:>6}\
             {:>6}{:>7}{:>7}{:>6}",
            "case",
            "policy",
            "sent",
            "hits",
            "wasted",
            "worth",
            "p50",
            "p95",
            "p99",
            "urg p50",
            "urg p99",
            "refused",
            "ref99",
            "dup",
            "broken",
            "ampl",
            "dip",
            "back",
            "tail",
            "cpu"
        )?;
        for run in &self.runs {
            self.write_row(f, run)?;
        }
        let invalid = self.runs.iter().filter(|run| !run.valid).count();
        if invalid > 0 {
            writeln!(
                f,
                "{invalid} runs are invalid (marked !): this process used over half of \
                         the cores; lower speedup or load"
            )?;
        }
        Ok(())
    }
}

impl Experiment {
    fn write_row(&self, f: &mut fmt::Formatter<'_>, run: &Measurement) -> fmt::Result {
        let all = &run.report.all;
        let urgent = &run.report.urgent;
        let recovery = run.recovery.as_ref();
        writeln!(
            f,
            "{:<16}{:<13}{:>6}{:>6.1}%{:>8.0}{:>6.1}%{:>8.0}{:>8.0}{:>8.0}{:>8.0}{:>8.0}{:>8}\
             {:>7.0}{:>5}{:>6}{:>6.2}{:>6}{:>7}{:>7}{:>5.0}%{}",
            run.case,
            run.policy,
            all.sent,
            run.hit_rate * 100.0,
            run.recomputed_per_answer,
            run.worth_rate * 100.0,
            all.first_token.p50_ms,
            all.first_token.p95_ms,
            all.first_token.p99_ms,
            urgent.first_token.p50_ms,
            urgent.first_token.p99_ms,
            all.refused,
            all.refusal.p99_ms,
            run.counts.duplicates,
            run.broken_streams,
            run.amplification,
            format_optional(recovery.map(|r| r.hit_rate_dip * 100.0)),
            format_optional(recovery.and_then(|r| r.hit_rate_back_s)),
            format_optional(recovery.and_then(|r| r.tail_back_s)),
            run.cpu_share * 100.0,
            if run.valid { "" } else { " !" },
        )
    }
}

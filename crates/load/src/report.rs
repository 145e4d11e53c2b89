//! Aggregates samples by service, as a table and as JSON.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use dw_base::Priority;
use hdrhistogram::Histogram;
use serde::Deserialize;
use serde::Serialize;

use crate::sample::Outcome;
use crate::sample::Sample;

/// Upper bound of recorded latencies; longer ones are recorded as this value.
const MAX_LATENCY_US: u64 = 3_600_000_000;

/// Number of significant digits that the latency histograms keep.
const LATENCY_DIGITS: u8 = 3;

/// Number, percentiles and maximum of a set of latencies.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct LatencySummary {
    /// Number of values.
    pub count: u64,
    /// 50th percentile.
    pub p50_ms: f64,
    /// 95th percentile.
    pub p95_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// Maximum.
    pub max_ms: f64,
}

impl LatencySummary {
    /// Summarises `durations`; all fields are 0 if there are none.
    pub fn from_durations(durations: impl Iterator<Item = Duration>) -> LatencySummary {
        let Ok(mut histogram) =
            Histogram::<u64>::new_with_bounds(1, MAX_LATENCY_US, LATENCY_DIGITS)
        else {
            return LatencySummary::default();
        };
        for value in durations {
            let value_us = u64::try_from(value.as_micros()).unwrap_or(MAX_LATENCY_US);
            histogram.saturating_record(value_us.max(1));
        }
        let ms = |quantile| histogram.value_at_quantile(quantile) as f64 / 1000.0;
        LatencySummary {
            count: histogram.len(),
            p50_ms: ms(0.50),
            p95_ms: ms(0.95),
            p99_ms: ms(0.99),
            max_ms: histogram.max() as f64 / 1000.0,
        }
    }
}

/// Statistics of the error responses of one type.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Refusals {
    /// Error responses that state that the request was not run.
    pub not_run: u64,
    /// Time until the error response was received.
    pub latency: LatencySummary,
}

/// Aggregated samples of one service.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ServiceReport {
    /// Requests sent.
    pub sent: u64,
    /// Complete responses.
    pub answered: u64,
    /// Complete responses received before the deadline.
    pub in_time: u64,
    /// Error responses.
    pub refused: u64,
    /// Error responses that state that the request was not run.
    pub refused_not_run: u64,
    /// Error responses by error type.
    pub refusals: BTreeMap<String, Refusals>,
    /// Streams that ended with an error event.
    pub failed: u64,
    /// Responses that ended early without an error, or were malformed.
    pub incomplete: u64,
    /// Requests without a response.
    pub unreachable: u64,
    /// Worth of the responses received before the deadline.
    pub worth: f64,
    /// Worth of all requests sent.
    pub offered_worth: f64,
    /// Prompt tokens of complete responses.
    pub prompt_tokens: u64,
    /// Prompt tokens of complete responses that were read from a prefix cache.
    pub cached_tokens: u64,
    /// Time to first token.
    pub first_token: LatencySummary,
    /// Total time of complete responses.
    pub total: LatencySummary,
    /// Time until an error response was received.
    pub refusal: LatencySummary,
}

impl ServiceReport {
    /// Returns the share of prompt tokens that were read from a prefix cache.
    pub fn hit_rate(&self) -> f64 {
        if self.prompt_tokens == 0 {
            return 0.0;
        }
        self.cached_tokens as f64 / self.prompt_tokens as f64
    }

    /// Returns the worth of the responses that met their deadline, as a share of the worth of all
    /// requests.
    pub fn worth_rate(&self) -> f64 {
        if self.offered_worth == 0.0 {
            return 0.0;
        }
        self.worth / self.offered_worth
    }

    /// Returns the number of responses that ended early, with or without an error event.
    pub fn broken_streams(&self) -> u64 {
        self.failed + self.incomplete
    }

    fn from_samples(samples: &[&Sample]) -> ServiceReport {
        let mut report = ServiceReport::default();
        for sample in samples {
            report.add_sample(sample);
        }
        let latency_where = |is_wanted: fn(&Outcome) -> bool| {
            let matching = samples.iter().filter(move |s| is_wanted(&s.outcome));
            LatencySummary::from_durations(matching.map(|s| s.total))
        };
        report.first_token =
            LatencySummary::from_durations(samples.iter().filter_map(|s| s.first_token));
        report.total = latency_where(|outcome| matches!(outcome, Outcome::Answered { .. }));
        report.refusal = latency_where(|outcome| matches!(outcome, Outcome::Refused { .. }));
        report.refusals = refusals(samples);
        report
    }

    fn add_sample(&mut self, sample: &Sample) {
        self.sent += 1;
        self.offered_worth += sample.load.worth;
        if sample.meets_deadline() {
            self.in_time += 1;
            self.worth += sample.load.worth;
        }
        match &sample.outcome {
            Outcome::Answered { usage } => {
                self.answered += 1;
                self.prompt_tokens += usage.as_ref().map_or(0, |u| u.prompt_tokens);
                self.cached_tokens += usage.as_ref().map_or(0, |u| u.cached_tokens);
            }
            Outcome::Refused { not_run, .. } => {
                self.refused += 1;
                self.refused_not_run += u64::from(*not_run);
            }
            Outcome::Failed => self.failed += 1,
            Outcome::Incomplete { .. } => self.incomplete += 1,
            Outcome::Unreachable { .. } => self.unreachable += 1,
        }
    }
}

fn refusals(samples: &[&Sample]) -> BTreeMap<String, Refusals> {
    let mut by_kind: BTreeMap<String, (u64, Vec<Duration>)> = BTreeMap::new();
    for sample in samples {
        if let Outcome::Refused { kind, not_run, .. } = &sample.outcome {
            let (count, times) = by_kind.entry(kind.clone()).or_default();
            *count += u64::from(*not_run);
            times.push(sample.total);
        }
    }
    by_kind
        .into_iter()
        .map(|(kind, (not_run, times))| {
            let latency = LatencySummary::from_durations(times.into_iter());
            (kind, Refusals { not_run, latency })
        })
        .collect()
}

/// Aggregated samples of a run; its `Display` output is a table.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Report {
    /// Samples by service.
    pub services: BTreeMap<String, ServiceReport>,
    /// Samples of urgent requests of all services.
    pub urgent: ServiceReport,
    /// Samples of all services.
    pub all: ServiceReport,
}

impl Report {
    /// Aggregates samples.
    pub fn new(samples: &[Sample]) -> Report {
        let mut by_service: BTreeMap<String, Vec<&Sample>> = BTreeMap::new();
        for sample in samples {
            let service = sample.load.service.to_owned();
            by_service.entry(service).or_default().push(sample);
        }
        Report {
            services: by_service
                .into_iter()
                .map(|(service, samples)| (service, ServiceReport::from_samples(&samples)))
                .collect(),
            urgent: ServiceReport::from_samples(
                &samples.iter().filter(is_urgent).collect::<Vec<_>>(),
            ),
            all: ServiceReport::from_samples(&samples.iter().collect::<Vec<_>>()),
        }
    }
}

fn is_urgent(sample: &&Sample) -> bool {
    sample.load.priority == Priority::Urgent
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<14}{:>7}{:>9}{:>8}{:>8}{:>7}{:>11}{:>12}{:>8}{:>10}{:>10}{:>10}",
            "service",
            "sent",
            "answered",
            "in time",
            "refused",
            "failed",
            "incomplete",
            "unreachable",
            "hits",
            "worth",
            "ttft p50",
            "ttft p99"
        )?;
        let all = std::iter::once(("all", &self.all));
        let services = self.services.iter().map(|(name, row)| (name.as_str(), row));
        for (name, row) in services.chain(all) {
            writeln!(
                f,
                "{name:<14}{:>7}{:>9}{:>8}{:>8}{:>7}{:>11}{:>12}{:>7.1}%{:>10.0}{:>10.1}{:>10.1}",
                row.sent,
                row.answered,
                row.in_time,
                row.refused,
                row.failed,
                row.incomplete,
                row.unreachable,
                row.hit_rate() * 100.0,
                row.worth,
                row.first_token.p50_ms,
                row.first_token.p99_ms
            )?;
        }
        Ok(())
    }
}

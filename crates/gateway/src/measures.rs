//! Metrics of a gateway.

use std::cell::Cell;

use dw_base::DurationMs;
use dw_base::TimeMs;
use dw_route::Route;
use dw_telem::Metrics;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::Histogram;

use crate::answer::OwnAnswer;

/// Upper bounds of the latency buckets in seconds.
const LATENCY_BUCKETS_S: [f64; 10] = [0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 0.8, 1.5, 3.0, 10.0];

/// Ordinary answers that are logged in a second; failures are always logged.
const ORDINARY_LINES_PER_S: u32 = 50;

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct Outcome {
    route: String,
    outcome: String,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct Label {
    kind: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct RouteLabel {
    route: String,
}

type Latency = Family<RouteLabel, Histogram, fn() -> Histogram>;

/// Metrics of a gateway.
pub(crate) struct Measures {
    metrics: Metrics,
    answers: Family<Outcome, Counter>,
    own_answers: Family<Label, Counter>,
    tries: Family<Label, Counter>,
    repeats: Family<Label, Counter>,
    told_bytes: Family<Label, Counter>,
    heard_bytes: Family<Label, Counter>,
    first_token: Latency,
    whole: Latency,
    log_second: Cell<(u64, u32)>,
}

fn latency() -> Histogram {
    Histogram::new(LATENCY_BUCKETS_S)
}

impl Measures {
    /// Registers the metrics.
    pub(crate) fn new() -> Self {
        let metrics = Metrics::new();
        let answers = "Answers of upstreams that were passed on, by how they ended";
        let first = "Time from the arrival of a request to the start of its answer";
        let whole = "Time from the arrival of a request to the end of its answer";
        let latencies = || Latency::new_with_constructor(latency as fn() -> Histogram);
        Measures {
            answers: metrics.add("answers", answers, Family::default()),
            own_answers: metrics.add("own_answers", "Own answers", Family::default()),
            tries: metrics.add("failed_tries", "Tries without an answer", Family::default()),
            repeats: metrics.add("repeats", "Repeats by the budget", Family::default()),
            told_bytes: metrics.add("told_bytes", "Bytes of sent datagrams", Family::default()),
            heard_bytes: metrics.add(
                "heard_bytes",
                "Bytes of received datagrams",
                Family::default(),
            ),
            first_token: metrics.add("first_token_seconds", first, latencies()),
            whole: metrics.add("answer_seconds", whole, latencies()),
            log_second: Cell::new((0, 0)),
            metrics,
        }
    }

    /// Returns all metrics as text.
    pub(crate) fn render(&self) -> String {
        self.metrics.render()
    }

    /// Counts an answer of an upstream.
    pub(crate) fn answered(
        &self,
        route: &Route,
        outcome: &str,
        first_ms: DurationMs,
        took_ms: DurationMs,
    ) {
        let label = RouteLabel {
            route: route.name.clone(),
        };
        self.first_token
            .get_or_create(&label)
            .observe(first_ms.as_secs_f64());
        self.whole
            .get_or_create(&label)
            .observe(took_ms.as_secs_f64());
        let known = ["complete", "timeout", "caller_left"];
        let outcome = if known.contains(&outcome) {
            outcome
        } else {
            "broken"
        };
        let label = Outcome {
            route: route.name.clone(),
            outcome: outcome.to_owned(),
        };
        self.answers.get_or_create(&label).inc();
    }

    /// Counts an answer of the gateway itself.
    pub(crate) fn own_answer(&self, answer: &OwnAnswer) {
        let label = Label {
            kind: answer.label(),
        };
        self.own_answers.get_or_create(&label).inc();
    }

    /// Counts a try that gave no answer.
    pub(crate) fn tried(&self, kind: &'static str) {
        self.tries.get_or_create(&Label { kind }).inc();
    }

    /// Counts a repeat that the budget allowed or denied.
    pub(crate) fn repeat(&self, allowed: bool) {
        let kind = if allowed { "allowed" } else { "denied" };
        self.repeats.get_or_create(&Label { kind }).inc();
    }

    /// Counts a datagram that was sent.
    pub(crate) fn told(&self, kind: &'static str, bytes: usize) {
        let told = self.told_bytes.get_or_create(&Label { kind });
        told.inc_by(bytes as u64);
    }

    /// Counts a datagram that was received.
    pub(crate) fn heard(&self, kind: &'static str, bytes: usize) {
        let heard = self.heard_bytes.get_or_create(&Label { kind });
        heard.inc_by(bytes as u64);
    }

    /// Returns whether an ordinary answer may be logged in this second.
    pub(crate) fn may_log(&self, now: TimeMs) -> bool {
        let second = now.0 / 1_000;
        let (last, lines) = self.log_second.get();
        let lines = if last == second { lines + 1 } else { 1 };
        self.log_second.set((second, lines));
        lines <= ORDINARY_LINES_PER_S
    }
}

//! Metrics of a gateway.

use std::cell::Cell;

use dw_base::Bytes;
use dw_base::DurationMs;
use dw_base::Suspect;
use dw_base::TimeMs;
use dw_follow::CallResult;
use dw_origin::CannotResume;
use dw_origin::Resume;
use dw_route::Route;
use dw_telem::Metrics;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;

use crate::answer::GatewayAnswer;
use crate::origin_store::OriginCall;
use crate::upstream_end::LostRequest;

/// Upper bounds of the latency buckets in seconds.
const LATENCY_BUCKETS_S: [f64; 10] = [0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 0.8, 1.5, 3.0, 10.0];

/// Maximum number of successful answers logged per second; failures are always logged.
const MAX_SUCCESS_LINES_PER_S: u32 = 50;

/// Maximum number of requests without a permit logged per second.
const MAX_DENIAL_LINES_PER_S: u32 = 20;

/// Maximum number of lines about refused requests logged per second; the metrics count all of them.
const MAX_REFUSAL_LINES_PER_S: u32 = 20;

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct OutcomeLabels {
    route: String,
    outcome: String,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct KindLabel {
    kind: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct RouteLabel {
    route: String,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct PermitLabels {
    result: &'static str,
    granted: String,
}

/// Limit of the lines of one kind that are logged per second.
struct LineLimit {
    max_per_s: u32,
    /// The last second with a line, and the number of lines in it.
    last: Cell<(u64, u32)>,
}

impl LineLimit {
    fn new(max_per_s: u32) -> Self {
        LineLimit {
            max_per_s,
            last: Cell::new((0, 0)),
        }
    }

    /// Counts a line and returns whether it may be logged.
    fn may_log(&self, now: TimeMs) -> bool {
        let second = now.0 / 1_000;
        let (last, lines) = self.last.get();
        let lines = if last == second { lines + 1 } else { 1 };
        self.last.set((second, lines));
        lines <= self.max_per_s
    }
}

type Latency = Family<RouteLabel, Histogram, fn() -> Histogram>;

/// Metrics of a gateway.
pub(crate) struct GatewayMetrics {
    metrics: Metrics,
    answers: Family<OutcomeLabels, Counter>,
    gateway_answers: Family<KindLabel, Counter>,
    failed_attempts: Family<KindLabel, Counter>,
    retries: Family<KindLabel, Counter>,
    upstream_ends: Counter,
    withdrawn_ends: Counter,
    probes: Counter,
    configuration_invalid: Gauge,
    configuration_behind_ms: Gauge,
    quarantined_parts: Gauge,
    quarantined_requests: Gauge,
    resumes: Family<KindLabel, Counter>,
    origin_calls: Family<KindLabel, Counter>,
    lost_requests: Family<KindLabel, Counter>,
    sent_to_limited: Family<KindLabel, Counter>,
    sent_bytes: Family<KindLabel, Counter>,
    received_bytes: Family<KindLabel, Counter>,
    first_token: Latency,
    total: Latency,
    permits: Family<PermitLabels, Counter>,
    quotas: Family<KindLabel, Counter>,
    admissions: Family<KindLabel, Counter>,
    table_calls: Family<KindLabel, Counter>,
    suppressed_lines: Family<KindLabel, Counter>,
    held_bytes: Gauge,
    lag_ms: Gauge,
    success_lines: LineLimit,
    denial_lines: LineLimit,
    refusal_lines: LineLimit,
}

fn latency() -> Histogram {
    Histogram::new(LATENCY_BUCKETS_S)
}

impl GatewayMetrics {
    /// Registers the metrics.
    pub(crate) fn new() -> Self {
        let metrics = Metrics::new();
        let answers = "Relayed answers of upstreams by outcome";
        let first = "Time from the arrival of a request to the start of its answer";
        let total = "Time from the arrival of a request to the end of its answer";
        let latencies = || Latency::new_with_constructor(latency as fn() -> Histogram);
        GatewayMetrics {
            answers: metrics.add("answers", answers, Family::default()),
            gateway_answers: metrics.add(
                "own_answers",
                "Answers of the gateway itself by label",
                Family::default(),
            ),
            failed_attempts: metrics.add(
                "failed_tries",
                "Attempts without an answer",
                Family::default(),
            ),
            retries: metrics.add(
                "repeats",
                "Retries by decision of the budget",
                Family::default(),
            ),
            upstream_ends: metrics.add(
                "upstream_ends",
                "Upstreams that ended while they held requests of this gateway",
                Counter::default(),
            ),
            withdrawn_ends: metrics.add(
                "upstream_ends_withdrawn",
                "Upstreams that were taken to have ended and have gone on",
                Counter::default(),
            ),
            probes: metrics.add(
                "quarantine_probes",
                "Requests sent as probes of what is in quarantine",
                Counter::default(),
            ),
            configuration_invalid: metrics.add(
                "configuration_invalid",
                "1 while the newest configuration cannot be read, or not as a whole",
                Gauge::default(),
            ),
            configuration_behind_ms: metrics.add(
                "configuration_behind_ms",
                "Time since other routers have read a newer configuration than this one",
                Gauge::default(),
            ),
            quarantined_parts: metrics.add(
                "quarantined_parts",
                "Prompt parts in quarantine",
                Gauge::default(),
            ),
            quarantined_requests: metrics.add(
                "quarantined_requests",
                "Whole requests in quarantine",
                Gauge::default(),
            ),
            resumes: metrics.add(
                "streams_taken_up",
                "Streams that callers take up, by where they may go on",
                Family::default(),
            ),
            origin_calls: metrics.add(
                "origin_table_calls",
                "Calls to the table with the origins of streams, by kind and result",
                Family::default(),
            ),
            lost_requests: metrics.add(
                "requests_lost_to_ends",
                "Requests that an upstream held when it ended, by whether its answer had begun",
                Family::default(),
            ),
            sent_to_limited: metrics.add(
                "requests_to_limited_upstreams",
                "Requests sent to upstreams that have named a limit, by whether they are retries",
                Family::default(),
            ),
            sent_bytes: metrics.add("told_bytes", "Bytes of sent datagrams", Family::default()),
            received_bytes: metrics.add(
                "heard_bytes",
                "Bytes of received datagrams",
                Family::default(),
            ),
            first_token: metrics.add("first_token_seconds", first, latencies()),
            total: metrics.add("answer_seconds", total, latencies()),
            admissions: metrics.add(
                "admission_questions",
                "Questions about admissions at engines by answer",
                Family::default(),
            ),
            quotas: metrics.add(
                "quota_questions",
                "Questions about quotas of organisations by answer",
                Family::default(),
            ),
            permits: metrics.add(
                "permits",
                "Requests for permits of upstreams with a limit, by result",
                Family::default(),
            ),
            table_calls: metrics.add(
                "table_calls",
                "Calls to the followed tables by result",
                Family::default(),
            ),
            success_lines: LineLimit::new(MAX_SUCCESS_LINES_PER_S),
            suppressed_lines: metrics.add(
                "suppressed_lines",
                "Log lines left out above the limit per second, by kind",
                Family::default(),
            ),
            held_bytes: metrics.add(
                "held_bytes",
                "Memory of request bodies and of answers that wait for their callers",
                Gauge::default(),
            ),
            lag_ms: metrics.add(
                "timer_lag_ms",
                "Time by which the last timer of the process was late",
                Gauge::default(),
            ),
            denial_lines: LineLimit::new(MAX_DENIAL_LINES_PER_S),
            refusal_lines: LineLimit::new(MAX_REFUSAL_LINES_PER_S),
            metrics,
        }
    }

    /// Renders all metrics in the text format.
    pub(crate) fn render(&self) -> String {
        self.metrics.render()
    }

    /// Counts an upstream's answer and records its latency.
    pub(crate) fn record_answer(
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
        self.total
            .get_or_create(&label)
            .observe(took_ms.as_secs_f64());
        let known = ["complete", "timeout", "caller_left"];
        let outcome = if known.contains(&outcome) {
            outcome
        } else {
            "broken"
        };
        let label = OutcomeLabels {
            route: route.name.clone(),
            outcome: outcome.to_owned(),
        };
        self.answers.get_or_create(&label).inc();
    }

    /// Counts an answer of the gateway itself.
    pub(crate) fn record_gateway_answer(&self, answer: &GatewayAnswer) {
        let label = KindLabel {
            kind: answer.label(),
        };
        self.gateway_answers.get_or_create(&label).inc();
    }

    /// Counts an attempt without an answer.
    pub(crate) fn record_failed_attempt(&self, kind: &'static str) {
        self.failed_attempts
            .get_or_create(&KindLabel { kind })
            .inc();
    }

    /// Counts an upstream that ended while it held requests.
    pub(crate) fn record_upstream_end(&self) {
        self.upstream_ends.inc();
    }

    /// Counts a request that is sent as a probe of what is in quarantine.
    pub(crate) fn record_probe(&self) {
        self.probes.inc();
    }

    /// Records whether the newest configuration cannot be read, or not as a whole.
    pub(crate) fn set_configuration_invalid(&self, is_invalid: bool) {
        self.configuration_invalid.set(i64::from(is_invalid));
    }

    /// Records for how long others have read a newer configuration.
    pub(crate) fn set_configuration_behind_ms(&self, behind_ms: u64) {
        let behind_ms = i64::try_from(behind_ms).unwrap_or(i64::MAX);
        self.configuration_behind_ms.set(behind_ms);
    }

    /// Records the numbers of prompt parts and requests in quarantine.
    pub(crate) fn set_quarantined(&self, suspects: &[Suspect]) {
        let is_part = |suspect: &&Suspect| matches!(suspect, Suspect::Part(_));
        let parts = suspects.iter().filter(is_part).count();
        let requests = suspects.len() - parts;
        let gauge_value = |number| i64::try_from(number).unwrap_or(i64::MAX);
        self.quarantined_parts.set(gauge_value(parts));
        self.quarantined_requests.set(gauge_value(requests));
    }

    /// Counts a stream that a caller takes up.
    pub(crate) fn record_resume(&self, decided: &Result<Resume, CannotResume>) {
        let kind = match decided {
            Ok(Resume::At(..)) => "at_version",
            Ok(Resume::Any(_)) => "any",
            Err(CannotResume::UnknownOrigin) => "unknown_version",
            Err(CannotResume::OtherService) => "other_service",
        };
        self.resumes.get_or_create(&KindLabel { kind }).inc();
    }

    /// Counts an end of an upstream that is taken back.
    pub(crate) fn record_withdrawn_end(&self) {
        self.withdrawn_ends.inc();
    }

    /// Counts a stream that is taken up while the stored origins cannot be read.
    pub(crate) fn record_unread_origin(&self) {
        let kind = "origins_not_read";
        self.resumes.get_or_create(&KindLabel { kind }).inc();
    }

    /// Counts a call to the table with the origins of streams.
    pub(crate) fn record_origin_call(&self, call: OriginCall, has_succeeded: bool) {
        let kind = match (call, has_succeeded) {
            (OriginCall::Read, true) => "read",
            (OriginCall::Read, false) => "read_failed",
            (OriginCall::Write, true) => "written",
            (OriginCall::Write, false) => "write_failed",
        };
        self.origin_calls.get_or_create(&KindLabel { kind }).inc();
    }

    /// Counts a request that an upstream held when it ended.
    pub(crate) fn record_lost_request(&self, lost: LostRequest) {
        let label = KindLabel { kind: lost.label() };
        self.lost_requests.get_or_create(&label).inc();
    }

    /// Counts a request sent to an upstream that has named a limit.
    pub(crate) fn record_sent_to_limited(&self, is_retry: bool) {
        let kind = if is_retry { "retry" } else { "first" };
        self.sent_to_limited
            .get_or_create(&KindLabel { kind })
            .inc();
    }

    /// Counts a retry that the budget allowed or denied.
    pub(crate) fn record_retry(&self, allowed: bool) {
        let kind = if allowed { "allowed" } else { "denied" };
        self.retries.get_or_create(&KindLabel { kind }).inc();
    }

    /// Counts the bytes of a sent datagram.
    pub(crate) fn record_sent(&self, kind: &'static str, bytes: usize) {
        let sent = self.sent_bytes.get_or_create(&KindLabel { kind });
        sent.inc_by(bytes as u64);
    }

    /// Counts the bytes of a received datagram.
    pub(crate) fn record_received(&self, kind: &'static str, bytes: usize) {
        let received = self.received_bytes.get_or_create(&KindLabel { kind });
        received.inc_by(bytes as u64);
    }

    /// Counts a successful answer and returns whether it may be logged in this second.
    pub(crate) fn may_log_success(&self, now: TimeMs) -> bool {
        self.success_lines.may_log(now)
    }

    /// Counts a call to a followed table.
    pub(crate) fn record_table_call(&self, result: CallResult) {
        let kind = result.label();
        self.table_calls.get_or_create(&KindLabel { kind }).inc();
    }

    /// Counts a request for a permit.
    pub(crate) fn record_permit(&self, result: &'static str, is_granted: bool) {
        let labels = PermitLabels {
            result,
            granted: is_granted.to_string(),
        };
        self.permits.get_or_create(&labels).inc();
    }

    /// Counts a question about a quota by its answer, and decisions without one.
    pub(crate) fn record_quota(&self, kind: &'static str) {
        self.quotas.get_or_create(&KindLabel { kind }).inc();
    }

    /// Counts a question about an admission by its answer, and denials that were known without one.
    pub(crate) fn record_admission(&self, kind: &'static str) {
        self.admissions.get_or_create(&KindLabel { kind }).inc();
    }

    /// Counts a request without a permit or a part of a quota and returns whether it may be logged in this second.
    pub(crate) fn may_log_denial(&self, now: TimeMs) -> bool {
        let may_log = self.denial_lines.may_log(now);
        self.count_suppressed("denial", may_log);
        may_log
    }

    /// Counts a refused request and returns whether it may be logged in this second.
    pub(crate) fn may_log_refusal(&self, now: TimeMs) -> bool {
        let may_log = self.refusal_lines.may_log(now);
        self.count_suppressed("refusal", may_log);
        may_log
    }

    /// Records how late a timer was, and the memory that requests and answers hold.
    pub(crate) fn set_process_state(&self, lag_ms: DurationMs, held: Bytes) {
        let gauge_value = |number| i64::try_from(number).unwrap_or(i64::MAX);
        self.lag_ms.set(gauge_value(lag_ms.0));
        self.held_bytes.set(gauge_value(held.0));
    }

    fn count_suppressed(&self, kind: &'static str, may_log: bool) {
        if !may_log {
            let lines = self.suppressed_lines.get_or_create(&KindLabel { kind });
            lines.inc();
        }
    }
}

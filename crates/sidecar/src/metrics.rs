//! Metrics of a sidecar.

use std::cell::Cell;
use std::sync::atomic::AtomicU64;

use dw_base::DurationMs;
use dw_base::QuotaAmount;
use dw_base::TimeMs;
use dw_port::OrderResult;
use dw_telem::Metrics;
use dw_wire::Phase;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;

/// Histogram buckets of the duration of phases; loads take from 0.27 s to some seconds.
const PHASE_BUCKETS_S: [f64; 8] = [0.1, 0.3, 0.6, 1.2, 2.4, 4.8, 9.6, 20.0];

/// Histogram buckets of the duration of report calls.
const REPORT_BUCKETS_S: [f64; 7] = [0.001, 0.003, 0.01, 0.03, 0.1, 0.25, 0.4];

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct Label {
    kind: &'static str,
}

/// Metrics of a sidecar.
pub(crate) struct SidecarMetrics {
    metrics: Metrics,
    orders: Family<Label, Counter>,
    reports: Family<Label, Counter>,
    report_s: Histogram,
    phase_s: Family<Label, Histogram, fn() -> Histogram>,
    permits: Family<Label, Counter>,
    quotas: Family<Label, Counter>,
    quota_amounts: Family<Label, Counter>,
    quota_accounts: Gauge,
    admissions: Family<Label, Counter>,
    admitted_queue_s: Gauge<f64, AtomicU64>,
    proxied_calls: Family<Label, Counter>,
    sent_bytes: Family<Label, Counter>,
    sent_datagrams: Family<Label, Counter>,
    /// Start of the current phase.
    phase_start: Cell<TimeMs>,
}

fn phase_histogram() -> Histogram {
    Histogram::new(PHASE_BUCKETS_S)
}

impl SidecarMetrics {
    /// Registers the metrics.
    pub(crate) fn new(now: TimeMs) -> Self {
        let metrics = Metrics::new();
        let phases = "Time that the engine spent in a phase, once it has ended";
        let phase_s = Family::new_with_constructor(phase_histogram as fn() -> Histogram);
        let call = "Time that the engine took to report its state";
        SidecarMetrics {
            orders: metrics.add("orders", "Orders by their answer", Family::default()),
            reports: metrics.add("reports", "Reports of the engine", Family::default()),
            report_s: metrics.add("report_seconds", call, Histogram::new(REPORT_BUCKETS_S)),
            phase_s: metrics.add("phase_seconds", phases, phase_s),
            quotas: metrics.add(
                "quota_questions",
                "Questions about quotas of organisations by result",
                Family::default(),
            ),
            quota_amounts: metrics.add(
                "quota_amounts",
                "Requests or tokens, as each quota counts them, by result of the question",
                Family::default(),
            ),
            quota_accounts: metrics.add(
                "quota_accounts",
                "Organisations whose quotas this sidecar counts",
                Gauge::default(),
            ),
            admissions: metrics.add(
                "admission_questions",
                "Questions about admissions at the engine by result",
                Family::default(),
            ),
            admitted_queue_s: metrics.add(
                "admitted_queue_seconds",
                "Time that the engine needs for what it was sent, as of the last question",
                Gauge::default(),
            ),
            permits: metrics.add(
                "permits",
                "Requests for permits by result",
                Family::default(),
            ),
            proxied_calls: metrics.add(
                "proxied_table_calls",
                "Calls of routers to the platform's table by result",
                Family::default(),
            ),
            sent_bytes: metrics.add("told_bytes", "Bytes of sent datagrams", Family::default()),
            sent_datagrams: metrics.add("told", "Sent datagrams", Family::default()),
            phase_start: Cell::new(now),
            metrics,
        }
    }

    /// Returns all metrics as text.
    pub(crate) fn render(&self) -> String {
        self.metrics.render()
    }

    /// Counts an order by its answer, or as lost if there was none.
    pub(crate) fn record_order(&self, answer: Option<&OrderResult>) {
        let kind = match answer {
            Some(OrderResult::Accepted) => "accepted",
            Some(OrderResult::Holds) => "holds",
            Some(OrderResult::Conflict) => "conflict",
            Some(OrderResult::Fenced) => "fenced",
            Some(OrderResult::Rejected(_)) => "rejected",
            None => "lost",
        };
        self.orders.get_or_create(&Label { kind }).inc();
    }

    /// Counts a call for the engine's report, and records its duration if it was answered.
    pub(crate) fn record_report(&self, is_answered: bool, took_ms: DurationMs) {
        let kind = if is_answered { "answered" } else { "lost" };
        self.reports.get_or_create(&Label { kind }).inc();
        if is_answered {
            self.report_s.observe(took_ms.as_secs_f64());
        }
    }

    /// Counts a request for a permit by its result.
    pub(crate) fn record_permit(&self, kind: &'static str) {
        self.permits.get_or_create(&Label { kind }).inc();
    }

    /// Counts a question about a quota and its amount by its result, or an amount that was given back.
    pub(crate) fn record_quota(&self, kind: &'static str, amount: QuotaAmount) {
        let label = Label { kind };
        self.quotas.get_or_create(&label).inc();
        self.quota_amounts.get_or_create(&label).inc_by(amount.0);
    }

    /// Counts a question about an admission by its result, and sets the time that the engine needs for what it
    /// was sent.
    pub(crate) fn record_admission(&self, kind: &'static str, queue_ms: DurationMs) {
        self.admissions.get_or_create(&Label { kind }).inc();
        self.admitted_queue_s.set(queue_ms.as_secs_f64());
    }

    /// Sets the number of organisations whose quotas this sidecar counts.
    pub(crate) fn set_quota_accounts(&self, accounts: usize) {
        self.quota_accounts.set(accounts as i64);
    }

    /// Counts a call of a router to the platform's table by its result.
    pub(crate) fn record_proxied_call(&self, kind: &'static str) {
        self.proxied_calls.get_or_create(&Label { kind }).inc();
    }

    /// Counts a datagram that was sent to several receivers.
    pub(crate) fn record_sent(&self, kind: &'static str, bytes: usize, receivers: usize) {
        let label = Label { kind };
        let receivers = receivers as u64;
        let sent_bytes = self.sent_bytes.get_or_create(&label);
        sent_bytes.inc_by(bytes as u64 * receivers);
        self.sent_datagrams.get_or_create(&label).inc_by(receivers);
    }

    /// Records the duration of a phase that ends now.
    pub(crate) fn record_phase(&self, phase: Phase, now: TimeMs) {
        let kind = match phase {
            Phase::Open => "open",
            Phase::LoadsSoon => "loads_soon",
            Phase::Closing => "closing",
            Phase::Loading => "loading",
            Phase::Unreachable => "unreachable",
        };
        let start = self.phase_start.replace(now);
        let label = Label { kind };
        let phase_s = self.phase_s.get_or_create(&label);
        phase_s.observe(now.since(start).as_secs_f64());
    }
}

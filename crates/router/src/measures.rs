//! Metrics of the request path.

use dw_base::DurationMs;
use dw_telem::Metrics;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::exponential_buckets;
use prometheus_client::metrics::histogram::Histogram;

/// Upper bound of the first bucket of durations; 16 buckets double up to 65 s.
const FIRST_BUCKET_S: f64 = 0.002;

/// Buckets of durations.
const BUCKETS: u16 = 16;

type Durations = Family<ServiceLabels, Histogram>;

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct ServiceLabels {
    service: String,
    priority: String,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct ErrorLabels {
    reason: String,
    not_run: String,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct PlaceLabels {
    reason: String,
}

/// Metrics of the request path.
#[derive(Clone, Debug)]
pub(crate) struct Measures {
    pub(crate) requests: Counter,
    pub(crate) attempts: Counter,
    pub(crate) hops: Counter,
    pub(crate) retries: Counter,
    pub(crate) resumes: Counter,
    pub(crate) config_version: Gauge,
    pub(crate) config_age_s: Gauge,
    errors: Family<ErrorLabels, Counter>,
    placements: Family<PlaceLabels, Counter>,
    request_s: Durations,
    first_token_s: Durations,
}

fn durations() -> Histogram {
    Histogram::new(exponential_buckets(FIRST_BUCKET_S, 2.0, BUCKETS))
}

impl Measures {
    pub(crate) fn new(metrics: &Metrics) -> Self {
        let counter = |name, help| metrics.add(name, help, Counter::default());
        let gauge = |name, help| metrics.add(name, help, Gauge::default());
        let histogram = |name, help| {
            let family = Durations::new_with_constructor(durations);
            metrics.add(name, help, family)
        };
        Measures {
            requests: counter("requests", "Requests of callers"),
            attempts: counter("attempts", "Attempts sent to agents"),
            hops: counter("hops", "Attempts sent to a better home"),
            retries: counter("retries", "Attempts made again after a failed one"),
            resumes: counter("resumes", "Streams resumed after a lost connection"),
            config_version: gauge("config_version", "Configuration version in force"),
            config_age_s: gauge(
                "config_age_seconds",
                "Time since the configuration in force was received",
            ),
            errors: metrics.add(
                "request_errors",
                "Requests that ended with an error, by its type",
                Family::default(),
            ),
            placements: metrics.add(
                "placements",
                "Placements, by how the upstream was chosen",
                Family::default(),
            ),
            request_s: histogram(
                "request_seconds",
                "Time from arrival to the end of a complete answer",
            ),
            first_token_s: histogram(
                "first_token_seconds",
                "Time from arrival to the first token of an answer",
            ),
        }
    }

    pub(crate) fn failed(&self, reason: &str, not_run: bool) {
        let labels = ErrorLabels {
            reason: reason.to_owned(),
            not_run: not_run.to_string(),
        };
        self.errors.get_or_create(&labels).inc();
    }

    pub(crate) fn placed(&self, reason: &str) {
        let labels = PlaceLabels {
            reason: reason.to_owned(),
        };
        self.placements.get_or_create(&labels).inc();
    }

    pub(crate) fn answered(&self, service: &str, priority: &str, after: DurationMs) {
        observe(&self.request_s, service, priority, after);
    }

    pub(crate) fn first_token(&self, service: &str, priority: &str, after: DurationMs) {
        observe(&self.first_token_s, service, priority, after);
    }
}

fn observe(durations: &Durations, service: &str, priority: &str, after: DurationMs) {
    let labels = ServiceLabels {
        service: service.to_owned(),
        priority: priority.to_owned(),
    };
    durations
        .get_or_create(&labels)
        .observe(after.as_secs_f64());
}

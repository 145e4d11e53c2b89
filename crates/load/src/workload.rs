//! Workload generator.

use std::collections::VecDeque;
use std::time::Duration;

use bon::Builder;
use dw_base::seeded_rng;
use dw_base::Rng;
use rand::RngExt;

use crate::mix::organisations;
use crate::mix::Deployment;
use crate::mix::ServiceLoad;
use crate::mix::Target;
use crate::prompt::Prompt;
use crate::skew::Zipf;

/// Settings of a workload.
#[derive(Builder, Clone, Debug, PartialEq)]
pub struct WorkloadSettings {
    /// Deployment that supplies the service mix.
    pub deployment: Deployment,
    /// Seed of the random generator.
    #[builder(default = 1)]
    pub seed: u64,
    /// Mean arrival rate per second, over all services.
    #[builder(default = 10.0)]
    pub rate_per_s: f64,
    /// Duration of the workload.
    #[builder(default = Duration::from_secs(30))]
    pub duration: Duration,
    /// Number of catalogues per organisation and service.
    #[builder(default = 4)]
    pub catalogues: usize,
    /// Number of venues per catalogue.
    #[builder(default = 8)]
    pub venues: usize,
    /// Number of clients per venue.
    #[builder(default = 12)]
    pub clients: usize,
    /// Exponent of the Zipf distribution of the load over organisations.
    #[builder(default = 1.2)]
    pub org_exponent: f64,
    /// Exponent of the Zipf distributions over catalogues, venues and clients.
    #[builder(default = 1.3)]
    pub prefix_exponent: f64,
    /// Changes of the arrival rate, ordered by time.
    #[builder(default)]
    pub rate_changes: Vec<RateChange>,
    /// Times at which the popularity of prefixes is reshuffled, in ascending order.
    #[builder(default)]
    pub shifts: Vec<Duration>,
}

/// Change of the arrival rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateChange {
    /// Time after the start.
    pub at: Duration,
    /// Arrival rate per second from this time on.
    pub rate_per_s: f64,
}

/// Request with its scheduled sending time.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// Sequence number among all arrivals, from 0.
    pub number: u64,
    /// Scheduled sending time after the start.
    pub at: Duration,
    /// Organisation that sends the request.
    pub org: String,
    /// Load parameters of the service.
    pub load: ServiceLoad,
    /// Levels of the prompt; calls of plain services send some of them as body fields.
    pub prompt: Prompt,
    /// Idempotency key, present for calls that must run at most once.
    pub idempotency_key: Option<String>,
}

/// Returns the bearer token of an organisation in generated load.
pub fn org_token(org: &str) -> String {
    format!("token-{org}")
}

impl Arrival {
    /// Returns the text of the prompt; empty for a plain service.
    pub fn prompt_text(&self) -> String {
        match self.load.target {
            Target::Generate {
                levels,
                suffix_tokens,
                ..
            } => self.prompt.text(levels, suffix_tokens),
            Target::Call { .. } => String::new(),
        }
    }
}

/// Iterator over the arrivals of a workload, ordered by time.
#[derive(Clone, Debug)]
pub struct Workload {
    settings: WorkloadSettings,
    services: Vec<ServiceLoad>,
    orgs: Vec<String>,
    rng: Rng,
    org_distribution: Zipf,
    catalogue_distribution: Zipf,
    venue_distribution: Zipf,
    client_distribution: Zipf,
    shifts: VecDeque<Duration>,
    at_s: f64,
    next_number: u64,
}

impl Workload {
    /// Creates a workload; equal settings produce equal arrivals.
    pub fn new(settings: WorkloadSettings) -> Self {
        let orgs = organisations();
        Workload {
            services: settings.deployment.services(),
            rng: seeded_rng(settings.seed),
            org_distribution: Zipf::new(orgs.len(), settings.org_exponent),
            catalogue_distribution: Zipf::new(settings.catalogues, settings.prefix_exponent),
            venue_distribution: Zipf::new(settings.venues, settings.prefix_exponent),
            client_distribution: Zipf::new(settings.clients, settings.prefix_exponent),
            shifts: settings.shifts.iter().copied().collect(),
            orgs,
            settings,
            at_s: 0.0,
            next_number: 0,
        }
    }

    /// Returns the arrival rate per second at the time of the last arrival.
    fn rate_per_s(&self) -> f64 {
        let changes = self.settings.rate_changes.iter();
        let past = changes.take_while(|change| change.at.as_secs_f64() <= self.at_s);
        past.last()
            .map_or(self.settings.rate_per_s, |change| change.rate_per_s)
    }

    /// Reshuffles the popularity of prefixes; the load of each organisation stays the same.
    fn shuffle_prefixes(&mut self) {
        self.catalogue_distribution.shuffle(&mut self.rng);
        self.venue_distribution.shuffle(&mut self.rng);
        self.client_distribution.shuffle(&mut self.rng);
    }

    fn choose_service(&mut self) -> Option<ServiceLoad> {
        let total: f64 = self.services.iter().map(|service| service.share).sum();
        let mut wanted = self.rng.random::<f64>() * total;
        let chosen = self.services.iter().find(|service| {
            wanted -= service.share;
            wanted < 0.0
        });
        chosen.or(self.services.last()).copied()
    }
}

impl Iterator for Workload {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        // Exponentially distributed gaps make the arrivals a Poisson process.
        let gap_s = -(1.0 - self.rng.random::<f64>()).ln() / self.rate_per_s();
        self.at_s += gap_s;
        let at = Duration::try_from_secs_f64(self.at_s).ok()?;
        if at >= self.settings.duration {
            return None;
        }
        while self.shifts.front().is_some_and(|shift| *shift <= at) {
            self.shifts.pop_front();
            self.shuffle_prefixes();
        }
        let load = self.choose_service()?;
        let org = self.orgs[self.org_distribution.choose(&mut self.rng)].clone();
        let number = self.next_number;
        self.next_number += 1;
        let is_at_most_once = load.target == Target::Call { at_most_once: true };
        Some(Arrival {
            number,
            at,
            prompt: Prompt {
                org: org.clone(),
                service: load.service,
                catalogue: self.catalogue_distribution.choose(&mut self.rng),
                venue: self.venue_distribution.choose(&mut self.rng),
                client: self.client_distribution.choose(&mut self.rng),
                suffix_id: number,
            },
            idempotency_key: is_at_most_once.then(|| format!("{}-{number}", self.settings.seed)),
            org,
            load,
        })
    }
}

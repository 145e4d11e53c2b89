//! Routers and sidecars of one data centre in virtual time, before an upstream with a limit.

use std::net::SocketAddr;

use dw_base::seeded_rng;
use dw_base::DurationMs;
use dw_base::RequestsPerS;
use dw_base::Rng;
use dw_base::TimeMs;
use dw_permit::first_issuer;
use dw_permit::Isolated;
use dw_permit::Issuer;
use dw_permit::Requester;
use dw_permit::UpstreamLimits;
use dw_wire::LimitReport;
use dw_wire::PermitResult;
use dw_wire::UpstreamStart;
use rand::RngExt;

const STEP_MS: u64 = 5;
const UPSTREAM: UpstreamStart = UpstreamStart(77);

/// Interval of the announcements of a sidecar.
const ANNOUNCE_MS: u64 = 500;

/// Age at which a sidecar that is not heard counts as gone.
const EXPIRY_MS: u64 = 2_200;

/// Interval of the rounds of a sidecar that runs.
const TICK_MS: u64 = 400;

/// Time in which the requests are few, before they press.
const QUIET_MS: u64 = 20_000;

/// Interval at which relays announce limits again.
const RELAY_MS: u64 = 2_000;

struct Sidecar {
    issuer: Issuer,
    /// When each sidecar was last heard.
    heard: Vec<u64>,
    frozen_until: u64,
    cut_until: u64,
}

impl Sidecar {
    fn runs(&self, now: u64) -> bool {
        now >= self.frozen_until
    }

    fn is_reachable(&self, now: u64) -> bool {
        self.runs(now) && now >= self.cut_until
    }
}

struct Router {
    requester: Requester,
    limits: UpstreamLimits,
    heard: Vec<u64>,
    cut_until: u64,
}

/// What happens in a history beside the requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Faults {
    None,
    Drawn,
}

struct Model {
    rng: Rng,
    sidecars: Vec<Sidecar>,
    routers: Vec<Router>,
    limit: Option<f64>,
    /// Limits with the times from which they were known.
    limits: Vec<(u64, f64)>,
    now: u64,
    faults: Faults,
    arrivals: Vec<u64>,
}

fn addr(sidecar: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, sidecar as u8 + 1], 7340))
}

fn live(heard: &[u64], own: Option<usize>, now: u64) -> Vec<SocketAddr> {
    let is_live = |at: &usize| Some(*at) == own || now < heard[*at] + EXPIRY_MS;
    (0..heard.len()).filter(is_live).map(addr).collect()
}

fn rate(limit: Option<f64>) -> Option<RequestsPerS> {
    limit.map(|limit| RequestsPerS::new(limit).expect("limit is a rate"))
}

impl Model {
    fn new(seed: u64, routers: usize, sidecars: usize, faults: Faults) -> Self {
        let sidecar = |at| Sidecar {
            issuer: Issuer::new(addr(at), TimeMs(0)),
            heard: vec![0; sidecars],
            frozen_until: 0,
            cut_until: 0,
        };
        let router = |_| Router {
            requester: Requester::default(),
            limits: UpstreamLimits::default(),
            heard: vec![0; sidecars],
            cut_until: 0,
        };
        Model {
            rng: seeded_rng(seed),
            sidecars: (0..sidecars).map(sidecar).collect(),
            routers: (0..routers).map(router).collect(),
            limit: None,
            limits: Vec::new(),
            now: 0,
            faults,
            arrivals: Vec::new(),
        }
    }

    fn is_lost(&mut self) -> bool {
        self.faults == Faults::Drawn && self.rng.random_range(0..50) == 0
    }

    fn announce(&mut self, from: usize) {
        if !self.sidecars[from].is_reachable(self.now) {
            return;
        }
        for to in 0..self.sidecars.len() {
            if self.sidecars[to].is_reachable(self.now) && !self.is_lost() {
                self.sidecars[to].heard[from] = self.now;
            }
        }
        for to in 0..self.routers.len() {
            if self.now >= self.routers[to].cut_until && !self.is_lost() {
                self.routers[to].heard[from] = self.now;
            }
        }
    }

    /// Relays tell all routers what the latest answer says.
    fn relay(&mut self) {
        let now = TimeMs(self.now);
        let latest = self
            .routers
            .iter_mut()
            .flat_map(|router| router.limits.take_due(now))
            .min_by_key(|report| report.age_ms);
        let Some(report) = latest else { return };
        for to in 0..self.routers.len() {
            if self.now >= self.routers[to].cut_until && !self.is_lost() {
                self.routers[to].limits.merge(&[report], now);
            }
        }
    }

    fn draw_fault(&mut self) {
        let sidecar = self.rng.random_range(0..self.sidecars.len());
        let router = self.rng.random_range(0..self.routers.len());
        let until = self.now + self.rng.random_range(200..7_000);
        match self.rng.random_range(0..6) {
            0 => self.sidecars[sidecar].frozen_until = until,
            1 => self.sidecars[sidecar].cut_until = until,
            2 => {
                // The process ends and starts again.
                let known = self.sidecars.len();
                self.sidecars[sidecar].issuer = Issuer::new(addr(sidecar), TimeMs(self.now));
                self.sidecars[sidecar].heard = vec![0; known];
            }
            3 => self.routers[router].cut_until = until,
            4 => {
                // The router restarts, and knows nothing.
                self.routers[router].requester = Requester::default();
                self.routers[router].limits = UpstreamLimits::default();
            }
            _ => {
                for router in &mut self.routers {
                    router.cut_until = until;
                }
            }
        }
    }

    fn step(&mut self) {
        self.now += STEP_MS;
        for at in 0..self.sidecars.len() {
            let phase = at as u64 * 35;
            if (self.now + phase) % ANNOUNCE_MS < STEP_MS {
                self.announce(at);
            }
            if (self.now + phase) % TICK_MS < STEP_MS && self.sidecars[at].runs(self.now) {
                self.sidecars[at].issuer.tick(TimeMs(self.now));
            }
        }
        if self.now % RELAY_MS < STEP_MS {
            self.relay();
        }
        if self.faults == Faults::Drawn && self.rng.random_range(0..300) == 0 {
            self.draw_fault();
        }
    }

    /// Sends a request of a router, if it may be sent; returns whether it was.
    fn request(&mut self, at: usize) -> bool {
        let now = TimeMs(self.now);
        let routers = self.routers.len() as u32;
        let router = &mut self.routers[at];
        let Some(report) = router.limits.report(UPSTREAM, now) else {
            self.send(at, false);
            return true;
        };
        if router.requester.denied_until(UPSTREAM, now).is_some() {
            return false;
        }
        let issuer = first_issuer(UPSTREAM, live(&router.heard, None, self.now).into_iter());
        let granted = match issuer {
            None => {
                let share = Isolated {
                    limit: report.limit.expect("report has a limit"),
                    routers,
                    router_hash: (at as u32).wrapping_mul(2_654_435_761),
                };
                router.requester.take_isolated(UPSTREAM, &share, now)
            }
            Some(issuer) => {
                let issuer = (0..self.sidecars.len())
                    .find(|sidecar| addr(*sidecar) == issuer)
                    .expect("issuer is a sidecar");
                let result = self.ask(at, issuer, &report);
                self.routers[at].requester.record(UPSTREAM, result, now)
            }
        };
        if granted {
            self.send(at, true);
        }
        granted
    }

    fn ask(&mut self, router: usize, issuer: usize, report: &LimitReport) -> Option<PermitResult> {
        let is_cut = self.now < self.routers[router].cut_until;
        if is_cut || !self.sidecars[issuer].is_reachable(self.now) || self.is_lost() {
            return None;
        }
        let sidecar = &mut self.sidecars[issuer];
        let live = live(&sidecar.heard, Some(issuer), self.now);
        let now = TimeMs(self.now);
        let result = sidecar.issuer.request(report, 2, live.into_iter(), now);
        // A lost answer is a permit that nobody uses.
        (!self.is_lost()).then_some(result)
    }

    /// A request arrives after a while, and its answer says what the upstream takes.
    fn send(&mut self, at: usize, knows: bool) {
        let delay_ms = match self.rng.random_range(0..20) {
            0 => self.rng.random_range(0..300),
            _ => self.rng.random_range(0..15),
        };
        if knows {
            self.arrivals.push(self.now + delay_ms);
        }
        let now = TimeMs(self.now);
        let limits = &mut self.routers[at].limits;
        limits.record_answer(UPSTREAM, rate(self.limit), (now, now));
    }

    /// Sends drawn requests for some time; returns how many were sent.
    fn run(&mut self, length_ms: u64, requests_per_s: f64) -> usize {
        let mut sent = 0;
        let until = self.now + length_ms;
        while self.now < until {
            self.step();
            let mut expected = requests_per_s * STEP_MS as f64 / 1_000.0;
            while expected > 0.0 {
                if self.rng.random_range(0.0..1.0) < expected {
                    let at = self.rng.random_range(0..self.routers.len());
                    sent += usize::from(self.request(at));
                }
                expected -= 1.0;
            }
        }
        sent
    }

    /// Lets all routers learn of a limit.
    fn set_limit(&mut self, limit: f64) {
        self.limit = Some(limit);
        self.limits.push((self.now, limit));
        let now = TimeMs(self.now);
        for router in &mut self.routers {
            router
                .limits
                .record_answer(UPSTREAM, rate(self.limit), (now, now));
        }
    }

    /// Returns the highest limit in force in a window of 4 s, and up to 3 s before it.
    fn limit_in_window(&self, from: u64) -> f64 {
        let ends = self.limits.iter().skip(1).map(|(at, _)| *at);
        let ends = ends.chain([u64::MAX]);
        let spans = self.limits.iter().zip(ends);
        let in_window =
            spans.filter(|((at, _), end)| *at < from + 4_000 && end.saturating_add(3_000) > from);
        in_window.map(|((_, limit), _)| *limit).fold(0.0, f64::max)
    }

    /// Returns a window with more requests than the limit in force allows.
    fn excess(&self) -> Option<(u64, usize)> {
        let mut arrivals = self.arrivals.clone();
        arrivals.sort_unstable();
        (0..arrivals.len()).find_map(|first| {
            let from = arrivals[first];
            let later = arrivals[first..].iter();
            let count = later.take_while(|at| **at < from + 4_000).count();
            (count > allowed(self.limit_in_window(from))).then_some((from, count))
        })
    }

    fn most_in_4_s(&self) -> usize {
        let mut arrivals = self.arrivals.clone();
        arrivals.sort_unstable();
        let from = |first: usize| {
            let later = arrivals[first..].iter();
            later
                .take_while(|at| **at < arrivals[first] + 4_000)
                .count()
        };
        (0..arrivals.len()).map(from).max().unwrap_or(0)
    }
}

fn allowed(limit: f64) -> usize {
    (6.0 * limit + 5.0) as usize
}

/// Guards against a limit that is exceeded, or left unused, when a quiet fleet is pressed: with hundreds
/// of routers, one saved request of each is too many.
#[test]
fn pressed_fleet_exceeds_or_wastes_a_limit() {
    let cases = [
        (5, 1.9),
        (5, 4.7),
        (14, 0.4),
        (14, 4.7),
        (61, 1.9),
        (61, 4.7),
        (103, 1.9),
        (103, 4.7),
        (340, 1.9),
        (340, 4.7),
        (340, 20.0),
    ];
    for (routers, limit) in cases {
        for seed in 0..5 {
            let mut model = Model::new(seed, routers, 9, Faults::None);
            model.run(3_000, 0.0);
            model.set_limit(limit);
            model.run(QUIET_MS, 0.0);
            let sent = model.run(60_000, 5.0 * limit);
            let used = sent as f64 / (60.0 * limit);
            let most = model.most_in_4_s();
            let allowed = allowed(limit);
            assert!(
                most <= allowed,
                "{routers} routers, limit {limit}, seed {seed}: {most} requests, allowed {allowed}"
            );
            assert!(
                used >= 0.8,
                "{routers} routers, limit {limit}, seed {seed}: {used:.2} of the limit used"
            );
        }
    }
}

/// Guards against two issuers at once, and against shares of routers without an issuer that add up to
/// more than the limit, whatever freezes, ends or is cut off.
#[test]
fn faults_lead_to_more_requests_than_the_limit() {
    for routers in [5, 14, 61, 103, 340] {
        for seed in 0..30 {
            let mut model = Model::new(seed, routers, 3 + seed as usize % 7, Faults::Drawn);
            model.run(3_000, 0.0);
            for turn in 0..3 {
                let limit = [0.0, 0.4, 1.9, 4.7, 20.0][(seed as usize + 3 * turn) % 5];
                model.set_limit(limit);
                model.run(QUIET_MS, 0.1);
                model.run(20_000, 5.0 * limit + 1.0);
            }
            let excess = model.excess();
            assert!(
                excess.is_none(),
                "{routers} routers, seed {seed}: {excess:?} is over the limit, {:?}",
                model.limits
            );
        }
    }
}

/// Guards against a limit that lasts for ever when it is so low that hardly a request is answered, and
/// against a flood when nothing is answered for long.
#[test]
fn limit_of_zero_lasts_or_lapses() {
    let mut model = Model::new(1, 14, 9, Faults::None);
    model.run(3_000, 0.0);
    model.set_limit(0.0);
    model.run(120_000, 20.0);
    assert!(model.most_in_4_s() <= allowed(0.0));
    model.limit = None;
    model.run(20_000, 20.0);
    let sent = model.run(5_000, 20.0);
    assert!(sent >= 80, "{sent} requests in 5 s after the limit's end");
}

/// Guards against a late answer that brings back a limit which a later request's answer has withdrawn.
#[test]
fn late_answer_brings_back_a_withdrawn_limit() {
    let mut limits = UpstreamLimits::default();
    let at = |sent, received| (TimeMs(sent), TimeMs(received));
    assert!(limits
        .record_answer(UPSTREAM, rate(Some(4.7)), at(100, 200))
        .is_some());
    assert!(limits
        .record_answer(UPSTREAM, None, at(1_000, 1_100))
        .is_some());
    assert!(limits
        .record_answer(UPSTREAM, rate(Some(4.7)), at(900, 5_000))
        .is_none());
    assert_eq!(limits.get(UPSTREAM), None);
    assert!(limits
        .record_answer(UPSTREAM, rate(Some(2.0)), at(1_200, 1_300))
        .is_some());
    assert_eq!(limits.get(UPSTREAM), rate(Some(2.0)));
}

fn report(limit: f64) -> LimitReport {
    LimitReport {
        upstream: UPSTREAM,
        limit: rate(Some(limit)),
        age_ms: DurationMs(0),
    }
}

/// Guards against a process that was stopped and then uses up what it had saved, though another one has
/// issued permits meanwhile.
#[test]
fn stopped_issuer_uses_saved_permits() {
    let mut issuer = Issuer::new(addr(0), TimeMs(0));
    let mut request = |at_ms| {
        let own = [addr(0)].into_iter();
        issuer.request(&report(2.0), 2, own, TimeMs(at_ms))
    };
    assert_ne!(request(0), PermitResult::Granted);
    assert_eq!(request(1_000), PermitResult::Granted);
    assert_ne!(request(7_000), PermitResult::Granted);
    assert_eq!(request(8_000), PermitResult::Granted);
}

/// Guards against a process that issues permits although another one comes first.
#[test]
fn second_issuer_issues_permits() {
    let all = || [addr(0), addr(1)].into_iter();
    let first = first_issuer(UPSTREAM, all());
    for number in 0..2 {
        let mut issuer = Issuer::new(addr(number), TimeMs(0));
        issuer.request(&report(2.0), 2, all(), TimeMs(0));
        let result = issuer.request(&report(2.0), 2, all(), TimeMs(1_000));
        let is_first = first == Some(addr(number));
        assert_eq!(result == PermitResult::Granted, is_first);
        assert_eq!(result == PermitResult::NotIssuer, !is_first);
    }
}

/// Guards against urgent requests that get no permit because others use up the limit.
#[test]
fn less_urgent_requests_use_up_the_limit() {
    let mut issuer = Issuer::new(addr(0), TimeMs(0));
    let report = report(2.0);
    let mut granted = [0, 0];
    for step in 0..6_000 {
        let now = TimeMs(step * 10);
        if step % 20 == 0 {
            issuer.tick(now);
        }
        // Ten requests with priority 5 for each one with priority 0.
        let priority = if step % 11 == 0 { 0 } else { 5 };
        let result = issuer.request(&report, priority, [addr(0)].into_iter(), now);
        if result == PermitResult::Granted {
            granted[usize::from(priority == 5)] += 1;
        }
    }
    assert!(granted[0] > 5 * granted[1], "{granted:?}");
    assert!(granted[0] + granted[1] >= 96, "{granted:?}");
}

//! Processor time of the decisions about quotas for one request, by the number of engines and organisations.

use std::collections::HashSet;
use std::hint::black_box;
use std::net::SocketAddr;

use criterion::criterion_group;
use criterion::criterion_main;
use criterion::BenchmarkId;
use criterion::Criterion;
use dw_base::ConfigVersion;
use dw_base::OrgId;
use dw_base::QuotaAmount;
use dw_base::QuotaLimit;
use dw_base::QuotaRate;
use dw_base::TimeMs;
use dw_quota::Claim;
use dw_quota::Counter;
use dw_quota::Engines;
use dw_quota::Requester;

/// Engines of a small deployment and of the target.
const ENGINES: [usize; 2] = [78, 780];

/// Organisations of a small deployment and of the target.
const ORGANISATIONS: [usize; 2] = [200, 2_000];

fn addr(engine: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (engine / 250) as u8, (engine % 250) as u8], 8_080))
}

fn claim(org: usize) -> Claim {
    let org: OrgId = format!("organisation-{org}")
        .parse()
        .expect("name is valid");
    Claim {
        org,
        limit: QuotaLimit {
            version: ConfigVersion(1),
            rate: QuotaRate(36_000_000),
            burst: QuotaAmount(36_000),
        },
        amount: QuotaAmount(2_400),
        urgency: 0,
    }
}

fn select_counter(c: &mut Criterion) {
    let mut group = c.benchmark_group("select_counter");
    for engines in ENGINES {
        let mut registered = Engines::default();
        registered.set((0..engines).map(addr));
        let live: HashSet<SocketAddr> = (0..engines).map(addr).collect();
        let org = claim(7).org;
        group.bench_function(BenchmarkId::from_parameter(engines), |b| {
            b.iter(|| registered.first_live(black_box(&org), |addr| live.contains(&addr)));
        });
    }
    group.finish();
}

fn know_denial(c: &mut Criterion) {
    let mut group = c.benchmark_group("know_denial");
    for organisations in ORGANISATIONS {
        let mut requester = Requester::default();
        let claims: Vec<Claim> = (0..organisations).map(claim).collect();
        let now = TimeMs(1_000);
        for claim in &claims {
            let denied = dw_wire::QuotaResult::Denied(dw_base::DurationMs(500));
            // The result is the denial that was recorded.
            let _ = requester.record(claim, denied, now);
        }
        let mut next = 0;
        group.bench_function(BenchmarkId::from_parameter(organisations), |b| {
            b.iter(|| {
                next = (next + 1) % claims.len();
                requester.denied_until(black_box(&claims[next]), now)
            });
        });
    }
    group.finish();
}

fn count(c: &mut Criterion) {
    let mut group = c.benchmark_group("count");
    for organisations in ORGANISATIONS {
        let mut counter = Counter::new(addr(0), TimeMs(0));
        counter.tick(vec![addr(0)], 1, TimeMs(500));
        let claims: Vec<Claim> = (0..organisations).map(claim).collect();
        let (mut number, mut now) = (0_u32, 1_000_000_u64);
        group.bench_function(BenchmarkId::from_parameter(organisations), |b| {
            b.iter(|| {
                number = number.wrapping_add(1);
                if number.is_multiple_of(1_000) {
                    now += 400;
                    counter.tick(vec![addr(0)], 1, TimeMs(now));
                }
                let question = claims[number as usize % claims.len()].question(number);
                counter.ask(addr(9), black_box(&question), TimeMs(now))
            });
        });
    }
    group.finish();
}

criterion_group!(benches, select_counter, know_denial, count);
criterion_main!(benches);

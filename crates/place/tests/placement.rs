//! Compares the policies in a simulation of both deployments.

mod fleet;

use std::thread;

use dw_base::Priority;

use fleet::run;
use fleet::workload::Deployment;
use fleet::Fault;
use fleet::Figures;

/// Seeds over which the results are summed.
const SEEDS: [u64; 3] = [1, 2, 3];

const BASELINES: [&str; 4] = ["round-robin", "least-loaded", "flat-prompt", "flat-block"];

fn total(policy: &'static str, deployment: &Deployment, fault: Fault) -> Figures {
    let mut sum = Figures::default();
    for seed in SEEDS {
        sum.add(&run(policy, deployment, fault, seed));
    }
    sum
}

fn totals(policies: &[&'static str], deployment: &Deployment, fault: Fault) -> Vec<Figures> {
    thread::scope(|scope| {
        let runs: Vec<_> = policies
            .iter()
            .map(|policy| scope.spawn(move || total(policy, deployment, fault)))
            .collect();
        runs.into_iter()
            .map(|run| run.join().expect("valid in the model"))
            .collect()
    })
}

fn minimum(figures: &[Figures], f: impl Fn(&Figures) -> f64) -> f64 {
    figures.iter().map(f).fold(f64::INFINITY, f64::min)
}

/// Returns the deployment without a KV store, so that agents cannot exchange blocks.
fn without_kv_store(deployment: Deployment) -> Deployment {
    Deployment {
        kv_store: false,
        ..deployment
    }
}

/// Checks that nested placement wastes at most half the tokens of the best baseline.
///
/// The baselines run without a KV store, because the exchange of blocks is part of the product.
fn check_waste(product: &Deployment, fault: Fault) {
    let plain = without_kv_store(product.clone());
    let baselines = totals(&BASELINES, &plain, fault);
    let nested = total("nested", product, fault).wasted_per_answer();
    let best = minimum(&baselines, Figures::wasted_per_answer);
    assert!(
        nested <= best / 2.0,
        "wasted tokens an answer: nested {nested:.0}, best baseline {best:.0}"
    );
}

/// Checks that nested placement halves the tail latency of urgent requests, with no lower reuse of
/// prompt tokens.
fn check_urgent(product: &Deployment, fault: Fault) {
    let plain = without_kv_store(product.clone());
    let baselines = totals(&BASELINES, &plain, fault);
    let nested = total("nested", product, fault);
    let tail = |f: &Figures| f.quantile(Priority::Urgent, 0.99);
    let (nested_ms, best) = (tail(&nested), minimum(&baselines, tail));
    let reuse = -minimum(&baselines, |f| -f.reuse_rate());
    assert!(
        nested_ms <= best / 2.0 && nested.reuse_rate() >= reuse,
        "99th percentile: nested {nested_ms:.0} ms, best baseline {best:.0} ms; reuse: nested \
         {:.3}, best baseline {reuse:.3}",
        nested.reuse_rate()
    );
}

/// Checks that nested placement is no worse than the baselines with the same agents.
fn check_same_agents(deployment: &Deployment, fault: Fault) {
    let baselines = totals(&BASELINES, deployment, fault);
    let nested = total("nested", deployment, fault);
    let tail = |f: &Figures| f.quantile(Priority::Urgent, 0.99);
    let (nested_ms, best) = (tail(&nested), minimum(&baselines, tail));
    assert!(
        nested_ms <= best && nested.lost <= baselines.iter().map(|f| f.lost).min().unwrap_or(0),
        "99th percentile: nested {nested_ms:.0} ms, best baseline {best:.0} ms; lost: nested {}",
        nested.lost
    );
}

/// Guards against recomputing blocks that other engines hold.
#[test]
fn division_wastes_half() {
    check_waste(&without_kv_store(Deployment::division()), Fault::None);
}

/// Guards against recomputation after an engine crash.
#[test]
fn division_wastes_half_after_crash() {
    check_waste(&without_kv_store(Deployment::division()), Fault::Crash);
}

/// Guards against recomputation while a third of the engines is slow.
#[test]
fn division_wastes_half_while_slow() {
    check_waste(&without_kv_store(Deployment::division()), Fault::Slow);
}

/// Guards against recomputation after a shift of the hot prefixes.
#[test]
fn division_wastes_half_after_shift() {
    check_waste(&without_kv_store(Deployment::division()), Fault::Shift);
}

/// Guards against recomputation after a restart of all routers.
#[test]
fn division_wastes_half_after_restart() {
    check_waste(&without_kv_store(Deployment::division()), Fault::Restart);
}

/// Guards against urgent requests that wait behind normal ones or miss the cache.
#[test]
fn letargo_halves_the_urgent_tail() {
    check_urgent(&without_kv_store(Deployment::letargo()), Fault::None);
}

/// Guards against slow urgent requests after an engine crash.
#[test]
fn letargo_halves_the_urgent_tail_after_crash() {
    check_urgent(&without_kv_store(Deployment::letargo()), Fault::Crash);
}

/// Guards against slow urgent requests while a third of the engines is slow.
#[test]
fn letargo_halves_the_urgent_tail_while_slow() {
    check_urgent(&without_kv_store(Deployment::letargo()), Fault::Slow);
}

/// Guards against slow urgent requests after a shift of the hot prefixes.
#[test]
fn letargo_halves_the_urgent_tail_after_shift() {
    check_urgent(&without_kv_store(Deployment::letargo()), Fault::Shift);
}

/// Guards against slow urgent requests after a restart of all routers.
#[test]
fn letargo_halves_the_urgent_tail_after_restart() {
    check_urgent(&without_kv_store(Deployment::letargo()), Fault::Restart);
}

/// Guards against recomputation despite a KV store.
#[test]
fn division_wastes_half_with_exchange() {
    check_waste(&Deployment::division(), Fault::None);
}

/// Guards against recomputation despite a KV store after an engine crash.
#[test]
fn division_wastes_half_with_exchange_after_crash() {
    check_waste(&Deployment::division(), Fault::Crash);
}

/// Guards against recomputation despite a KV store while a third of the engines is slow.
#[test]
fn division_wastes_half_with_exchange_while_slow() {
    check_waste(&Deployment::division(), Fault::Slow);
}

/// Guards against recomputation despite a KV store after a shift of the hot prefixes.
#[test]
fn division_wastes_half_with_exchange_after_shift() {
    check_waste(&Deployment::division(), Fault::Shift);
}

/// Guards against recomputation despite a KV store after a restart of all routers.
#[test]
fn division_wastes_half_with_exchange_after_restart() {
    check_waste(&Deployment::division(), Fault::Restart);
}

/// Guards against slow urgent requests despite a KV store.
#[test]
fn letargo_halves_the_urgent_tail_with_exchange() {
    check_urgent(&Deployment::letargo(), Fault::None);
}

/// Guards against slow urgent requests despite a KV store after an engine crash.
#[test]
fn letargo_halves_the_urgent_tail_with_exchange_after_crash() {
    check_urgent(&Deployment::letargo(), Fault::Crash);
}

/// Guards against slow urgent requests despite a KV store while a third of the engines is slow.
#[test]
fn letargo_halves_the_urgent_tail_with_exchange_while_slow() {
    check_urgent(&Deployment::letargo(), Fault::Slow);
}

/// Guards against slow urgent requests despite a KV store after a shift of the hot prefixes.
#[test]
fn letargo_halves_the_urgent_tail_with_exchange_after_shift() {
    check_urgent(&Deployment::letargo(), Fault::Shift);
}

/// Guards against slow urgent requests despite a KV store after a restart of all routers.
#[test]
fn letargo_halves_the_urgent_tail_with_exchange_after_restart() {
    check_urgent(&Deployment::letargo(), Fault::Restart);
}

/// Guards against placement that is better only because of the KV store.
#[test]
fn letargo_tail_is_no_worse_with_the_same_agents() {
    for fault in [
        Fault::None,
        Fault::Crash,
        Fault::Slow,
        Fault::Shift,
        Fault::Restart,
    ] {
        check_same_agents(&Deployment::letargo(), fault);
    }
}

/// Guards against a cold start: restarted routers must keep at least 95% of the hit rate.
#[test]
fn restart_keeps_the_hit_rate() {
    for deployment in [Deployment::division(), Deployment::letargo()] {
        let before = total("nested", &deployment, Fault::None).hit_rate();
        let after = total("nested", &deployment, Fault::Restart).hit_rate();
        assert!(
            after >= 0.95 * before,
            "{before:.3} before, {after:.3} after"
        );
    }
}

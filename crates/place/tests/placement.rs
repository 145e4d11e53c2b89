//! Compares the policies on a model of both deployments.

mod fleet;

use std::thread;

use dw_base::Priority;

use fleet::run;
use fleet::workload::Deployment;
use fleet::Fault;
use fleet::Figures;

/// Seeds over which the figures are summed.
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

fn least(figures: &[Figures], f: impl Fn(&Figures) -> f64) -> f64 {
    figures.iter().map(f).fold(f64::INFINITY, f64::min)
}

/// The same deployment, whose agents do not exchange cache pieces.
fn without_exchange(deployment: Deployment) -> Deployment {
    Deployment {
        kv_store: false,
        ..deployment
    }
}

/// Compares the product, whose agents exchange pieces or not, with placement by the baselines.
///
/// The baselines have no exchange, because it belongs to the product.
fn check_waste(product: &Deployment, fault: Fault) {
    let plain = without_exchange(product.clone());
    let baselines = totals(&BASELINES, &plain, fault);
    let nested = total("nested", product, fault).wasted_per_answer();
    let best = least(&baselines, Figures::wasted_per_answer);
    assert!(
        nested <= best / 2.0,
        "wasted tokens an answer: nested {nested:.0}, best baseline {best:.0}"
    );
}

/// The same comparison for the tail of urgent requests, at no worse reuse of prompt tokens.
fn check_urgent(product: &Deployment, fault: Fault) {
    let plain = without_exchange(product.clone());
    let baselines = totals(&BASELINES, &plain, fault);
    let nested = total("nested", product, fault);
    let tail = |f: &Figures| f.quantile(Priority::Urgent, 0.99);
    let (ours, best) = (tail(&nested), least(&baselines, tail));
    let reuse = -least(&baselines, |f| -f.reuse_rate());
    assert!(
        ours <= best / 2.0 && nested.reuse_rate() >= reuse,
        "99th percentile: nested {ours:.0} ms, best baseline {best:.0} ms; reuse: nested \
         {:.3}, best baseline {reuse:.3}",
        nested.reuse_rate()
    );
}

/// Compares nested placement with the baselines when all have the same agents.
fn check_same_agents(deployment: &Deployment, fault: Fault) {
    let baselines = totals(&BASELINES, deployment, fault);
    let nested = total("nested", deployment, fault);
    let tail = |f: &Figures| f.quantile(Priority::Urgent, 0.99);
    let (ours, best) = (tail(&nested), least(&baselines, tail));
    assert!(
        ours <= best && nested.lost <= baselines.iter().map(|f| f.lost).min().unwrap_or(0),
        "99th percentile: nested {ours:.0} ms, best baseline {best:.0} ms; lost: nested {}",
        nested.lost
    );
}

/// Guards against placement that computes again what other engines hold.
#[test]
fn division_wastes_half() {
    check_waste(&without_exchange(Deployment::division()), Fault::None);
}

/// Guards against waste after an engine crash.
#[test]
fn division_wastes_half_after_crash() {
    check_waste(&without_exchange(Deployment::division()), Fault::Crash);
}

/// Guards against waste while a third of the engines is slow.
#[test]
fn division_wastes_half_while_slow() {
    check_waste(&without_exchange(Deployment::division()), Fault::Slow);
}

/// Guards against waste after a shift of the hot prefixes.
#[test]
fn division_wastes_half_after_shift() {
    check_waste(&without_exchange(Deployment::division()), Fault::Shift);
}

/// Guards against waste after a restart of all routers.
#[test]
fn division_wastes_half_after_restart() {
    check_waste(&without_exchange(Deployment::division()), Fault::Restart);
}

/// Guards against urgent flags that wait behind summaries or miss the cache.
#[test]
fn letargo_halves_the_urgent_tail() {
    check_urgent(&without_exchange(Deployment::letargo()), Fault::None);
}

/// Guards against slow urgent flags after an engine crash.
#[test]
fn letargo_halves_the_urgent_tail_after_crash() {
    check_urgent(&without_exchange(Deployment::letargo()), Fault::Crash);
}

/// Guards against slow urgent flags while a third of the engines is slow.
#[test]
fn letargo_halves_the_urgent_tail_while_slow() {
    check_urgent(&without_exchange(Deployment::letargo()), Fault::Slow);
}

/// Guards against slow urgent flags after a shift of the hot prefixes.
#[test]
fn letargo_halves_the_urgent_tail_after_shift() {
    check_urgent(&without_exchange(Deployment::letargo()), Fault::Shift);
}

/// Guards against slow urgent flags after a restart of all routers.
#[test]
fn letargo_halves_the_urgent_tail_after_restart() {
    check_urgent(&without_exchange(Deployment::letargo()), Fault::Restart);
}

/// Guards against waste although engines import what others have computed.
#[test]
fn division_wastes_half_with_exchange() {
    check_waste(&Deployment::division(), Fault::None);
}

/// Guards against waste although engines import what others have computed after an engine crash.
#[test]
fn division_wastes_half_with_exchange_after_crash() {
    check_waste(&Deployment::division(), Fault::Crash);
}

/// Guards against waste although engines import what others have computed while a third of the engines is slow.
#[test]
fn division_wastes_half_with_exchange_while_slow() {
    check_waste(&Deployment::division(), Fault::Slow);
}

/// Guards against waste although engines import what others have computed after a shift of the hot prefixes.
#[test]
fn division_wastes_half_with_exchange_after_shift() {
    check_waste(&Deployment::division(), Fault::Shift);
}

/// Guards against waste although engines import what others have computed after a restart of all routers.
#[test]
fn division_wastes_half_with_exchange_after_restart() {
    check_waste(&Deployment::division(), Fault::Restart);
}

/// Guards against slow urgent flags although engines import what others have computed.
#[test]
fn letargo_halves_the_urgent_tail_with_exchange() {
    check_urgent(&Deployment::letargo(), Fault::None);
}

/// Guards against slow urgent flags although engines import what others have computed after an engine crash.
#[test]
fn letargo_halves_the_urgent_tail_with_exchange_after_crash() {
    check_urgent(&Deployment::letargo(), Fault::Crash);
}

/// Guards against slow urgent flags although engines import what others have computed while a third of the engines is slow.
#[test]
fn letargo_halves_the_urgent_tail_with_exchange_while_slow() {
    check_urgent(&Deployment::letargo(), Fault::Slow);
}

/// Guards against slow urgent flags although engines import what others have computed after a shift of the hot prefixes.
#[test]
fn letargo_halves_the_urgent_tail_with_exchange_after_shift() {
    check_urgent(&Deployment::letargo(), Fault::Shift);
}

/// Guards against slow urgent flags although engines import what others have computed after a restart of all routers.
#[test]
fn letargo_halves_the_urgent_tail_with_exchange_after_restart() {
    check_urgent(&Deployment::letargo(), Fault::Restart);
}

/// Guards against placement that gains only by the exchange of pieces.
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

/// Guards against a cold start: new routers must not lose a twentieth of the hit rate.
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

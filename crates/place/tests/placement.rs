//! Compares the policies on a model of both deployments.

mod fleet;

use std::thread;

use dw_base::Priority;

use fleet::run;
use fleet::workload::Deployment;
use fleet::Fault;
use fleet::Figures;
use fleet::POLICIES;

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

fn check_waste(fault: Fault) {
    let deployment = Deployment::division();
    let baselines = totals(&BASELINES, &deployment, fault);
    let nested = total("nested", &deployment, fault).wasted_per_answer();
    let best = least(&baselines, Figures::wasted_per_answer);
    assert!(
        nested <= best / 2.0,
        "wasted tokens an answer: nested {nested:.0}, best baseline {best:.0}"
    );
}

fn check_urgent(fault: Fault) {
    let deployment = Deployment::letargo();
    let baselines = totals(&BASELINES, &deployment, fault);
    let nested = total("nested", &deployment, fault);
    let tail = |f: &Figures| f.quantile(Priority::Urgent, 0.99);
    let (ours, best) = (tail(&nested), least(&baselines, tail));
    let hits = -least(&baselines, |f| -f.hit_rate());
    assert!(
        ours <= best / 2.0 && nested.hit_rate() >= hits,
        "99th percentile: nested {ours:.0} ms, best baseline {best:.0} ms; hit rate: nested \
         {:.3}, best baseline {hits:.3}",
        nested.hit_rate()
    );
}

/// Guards against placement that computes again what other engines hold.
#[test]
fn division_wastes_half() {
    check_waste(Fault::None);
}

/// Guards against waste after an engine crash.
#[test]
fn division_wastes_half_after_crash() {
    check_waste(Fault::Crash);
}

/// Guards against waste while a third of the engines is slow.
#[test]
fn division_wastes_half_while_slow() {
    check_waste(Fault::Slow);
}

/// Guards against waste after a shift of the hot prefixes.
#[test]
fn division_wastes_half_after_shift() {
    check_waste(Fault::Shift);
}

/// Guards against waste after a restart of all routers.
#[test]
fn division_wastes_half_after_restart() {
    check_waste(Fault::Restart);
}

/// Guards against urgent flags that wait behind summaries or miss the cache.
#[test]
fn letargo_halves_the_urgent_tail() {
    check_urgent(Fault::None);
}

/// Guards against slow urgent flags after an engine crash.
#[test]
fn letargo_halves_the_urgent_tail_after_crash() {
    check_urgent(Fault::Crash);
}

/// Guards against slow urgent flags while a third of the engines is slow.
#[test]
fn letargo_halves_the_urgent_tail_while_slow() {
    check_urgent(Fault::Slow);
}

/// Guards against slow urgent flags after a shift of the hot prefixes.
#[test]
fn letargo_halves_the_urgent_tail_after_shift() {
    check_urgent(Fault::Shift);
}

/// Guards against slow urgent flags after a restart of all routers.
#[test]
fn letargo_halves_the_urgent_tail_after_restart() {
    check_urgent(Fault::Restart);
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

/// Prints the figures of all policies; run it with `--ignored --nocapture`.
#[test]
#[ignore = "prints a table for measurement"]
fn table() {
    let faults = [
        Fault::None,
        Fault::Crash,
        Fault::Slow,
        Fault::Shift,
        Fault::Restart,
    ];
    for (name, deployment) in [
        ("division", Deployment::division()),
        ("letargo", Deployment::letargo()),
    ] {
        for fault in faults {
            println!("{name} {fault:?}");
            for (policy, f) in POLICIES.iter().zip(totals(&POLICIES, &deployment, fault)) {
                println!(
                    "  {policy:13} hit={:.3} wasted/answer={:5.0} repeated/answer={:5.0} \
                     answered={} lost={} busy={:.2} urgent p99={:.0} normal p50={:.0} p99={:.0}",
                    f.hit_rate(),
                    f.wasted_per_answer(),
                    f.repeated_tokens as f64 / f.answered as f64,
                    f.answered,
                    f.lost,
                    f.busy / SEEDS.len() as f64,
                    f.quantile(Priority::Urgent, 0.99),
                    f.quantile(Priority::Normal, 0.5),
                    f.quantile(Priority::Normal, 0.99),
                );
            }
        }
    }
}

//! Prints the results of all policies in the fleet simulation.

#[path = "../tests/fleet/mod.rs"]
mod fleet;

use std::thread;

use dw_base::Priority;

use fleet::run;
use fleet::workload::Deployment;
use fleet::Fault;
use fleet::Figures;

/// Seeds over which the results are summed.
const SEEDS: [u64; 3] = [1, 2, 3];

const POLICIES: [&str; 6] = [
    "nested",
    "round-robin",
    "least-loaded",
    "flat-prompt",
    "flat-block",
    "oracle",
];

const FAULTS: [Fault; 5] = [
    Fault::None,
    Fault::Crash,
    Fault::Slow,
    Fault::Shift,
    Fault::Restart,
];

fn total(policy: &'static str, deployment: &Deployment, fault: Fault) -> Figures {
    let mut sum = Figures::default();
    for seed in SEEDS {
        sum.add(&run(policy, deployment, fault, seed));
    }
    sum
}

fn row(name: &str, policy: &str, fault: Fault, f: &Figures) {
    println!(
        "{name:<10}{:<9}{policy:<14}{:>9}{:>7}{:>8.3}{:>8.3}{:>10.0}{:>8.0}{:>8.0}{:>8.0}{:>8.0}{:>7.2}{:>7}",
        format!("{fault:?}"),
        f.answered,
        f.lost,
        f.hit_rate(),
        f.reuse_rate(),
        f.wasted_per_answer(),
        f.quantile(Priority::Urgent, 0.5),
        f.quantile(Priority::Urgent, 0.99),
        f.quantile(Priority::Normal, 0.5),
        f.quantile(Priority::Normal, 0.95),
        f.busy / SEEDS.len() as f64,
        f.hops,
    );
}

fn main() {
    println!(
        "{:<10}{:<9}{:<14}{:>9}{:>7}{:>8}{:>8}{:>10}{:>8}{:>8}{:>8}{:>8}{:>7}{:>7}",
        "fleet",
        "fault",
        "policy",
        "answered",
        "lost",
        "hits",
        "reuse",
        "wasted",
        "u50",
        "u99",
        "n50",
        "n95",
        "busy",
        "hops"
    );
    let without_kv_store = |deployment: Deployment| Deployment {
        kv_store: false,
        ..deployment
    };
    let deployments = [
        ("division", Deployment::division()),
        ("letargo", Deployment::letargo()),
        ("div-nokv", without_kv_store(Deployment::division())),
        ("let-nokv", without_kv_store(Deployment::letargo())),
    ];
    let short = std::env::args().any(|arg| arg == "short");
    for (name, deployment) in &deployments {
        for fault in FAULTS
            .into_iter()
            .take(if short { 1 } else { FAULTS.len() })
        {
            let only = std::env::var("ONLY").ok();
            let policies = POLICIES
                .iter()
                .filter(|p| only.as_deref().is_none_or(|o| o == **p));
            let policies: Vec<_> = policies.collect();
            let figures: Vec<Figures> = thread::scope(|scope| {
                let runs: Vec<_> = policies
                    .iter()
                    .map(|policy| scope.spawn(move || total(policy, deployment, fault)))
                    .collect();
                runs.into_iter()
                    .map(|run| run.join().expect("valid in the model"))
                    .collect()
            });
            for (policy, figures) in policies.iter().zip(&figures) {
                row(name, policy, fault, figures);
            }
        }
    }
}

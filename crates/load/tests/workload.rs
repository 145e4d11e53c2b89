//! Tests the workload generator.

use std::collections::BTreeMap;
use std::time::Duration;

use dw_base::Priority;
use dw_base::BLOCK_BYTES;
use dw_load::Arrival;
use dw_load::Deployment;
use dw_load::LevelSizes;
use dw_load::Prompt;
use dw_load::Workload;
use dw_load::WorkloadSettings;

fn arrivals(deployment: Deployment, seed: u64, shifts: Vec<Duration>) -> Vec<Arrival> {
    let settings = WorkloadSettings::builder()
        .deployment(deployment)
        .seed(seed)
        .rate_per_s(100.0)
        .duration(Duration::from_secs(60))
        .shifts(shifts)
        .build();
    Workload::new(settings).collect()
}

fn counts<K: Ord>(items: impl Iterator<Item = K>) -> BTreeMap<K, usize> {
    let mut counts = BTreeMap::new();
    for item in items {
        *counts.entry(item).or_insert(0) += 1;
    }
    counts
}

/// Guards against workloads that are not reproducible, and against a seed without effect.
#[test]
fn arrivals_depend_on_the_seed_only() {
    let first = arrivals(Deployment::Division, 3, Vec::new());
    assert_eq!(first, arrivals(Deployment::Division, 3, Vec::new()));
    assert_ne!(first, arrivals(Deployment::Division, 4, Vec::new()));
    assert!(first.is_sorted_by_key(|arrival| arrival.at));
}

/// Guards against a load that is spread too evenly over organisations and catalogues.
#[test]
fn few_organisations_and_catalogues_have_most_of_the_load() {
    let all = arrivals(Deployment::Letargo, 1, Vec::new());
    let by_org = counts(all.iter().map(|arrival| arrival.org.as_str()));
    assert_eq!(by_org.len(), 8);
    assert!(by_org["org-1"] > 8 * by_org["org-8"]);
    let hot = all.iter().filter(|arrival| arrival.prompt.catalogue == 0);
    assert!(hot.count() * 2 > all.len());
}

/// Guards against popularity shifts without effect, and against shifts that take effect too early.
#[test]
fn shift_changes_the_hot_prefixes_at_its_time() {
    let at = Duration::from_secs(30);
    let steady = arrivals(Deployment::Division, 5, Vec::new());
    let shifted = arrivals(Deployment::Division, 5, vec![at]);
    let before =
        |all: &[Arrival]| -> Vec<Arrival> { all.iter().filter(|a| a.at < at).cloned().collect() };
    assert_eq!(before(&steady), before(&shifted));
    let venues =
        |all: &[Arrival]| counts(all.iter().filter(|a| a.at >= at).map(|a| a.prompt.venue));
    let hottest = |all: &[Arrival]| {
        venues(all)
            .into_iter()
            .max_by_key(|(_, n)| *n)
            .map(|(v, _)| v)
    };
    assert_eq!(hottest(&steady), Some(0));
    assert_ne!(hottest(&shifted), Some(0));
}

/// Guards against service mixes in which `flag` is not urgent, at-most-once calls lack an
/// idempotency key, or the shares do not add up to 1.
#[test]
fn mixes_have_priorities_and_keys() {
    let letargo = arrivals(Deployment::Letargo, 1, Vec::new());
    for arrival in letargo {
        let urgent = arrival.load.priority == Priority::Urgent;
        assert_eq!(urgent, arrival.load.service == "flag");
        let is_at_most_once = ["booking", "fridge-move"].contains(&arrival.load.service);
        assert_eq!(arrival.idempotency_key.is_some(), is_at_most_once);
    }
    for deployment in [Deployment::Division, Deployment::Letargo] {
        let total: f64 = deployment.services().iter().map(|s| s.share).sum();
        assert!((total - 1.0).abs() < 1e-9);
    }
}

/// Guards against prompts that share less than their common levels, or share text between
/// organisations.
#[test]
fn prompts_share_their_common_levels_only() {
    let sizes = LevelSizes {
        catalogue: 2,
        venue: 1,
        client: 1,
    };
    let prompt = |org: &str, venue, suffix_id| Prompt {
        org: org.to_owned(),
        service: "quote",
        catalogue: 0,
        venue,
        client: 0,
        suffix_id,
    };
    let shared = |a: &Prompt, b: &Prompt| {
        let (a, b) = (a.text(sizes, 100), b.text(sizes, 100));
        assert_eq!(a.len(), 4 * BLOCK_BYTES + 400);
        a.bytes().zip(b.bytes()).take_while(|(x, y)| x == y).count() / BLOCK_BYTES
    };
    let first = prompt("org-1", 0, 0);
    assert_eq!(shared(&first, &prompt("org-1", 0, 1)), 4);
    assert_eq!(shared(&first, &prompt("org-1", 1, 0)), 2);
    assert_eq!(shared(&first, &prompt("org-2", 0, 0)), 0);
}

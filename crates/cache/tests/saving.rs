//! Tests of which requests save the shared parts of their prompts.

use dw_base::DurationMs;
use dw_base::PromptPart;
use dw_base::TimeMs;
use dw_base::Tokens;
use dw_cache::is_worth_saving;
use dw_cache::Inflow;

fn prompt(own: u64) -> [PromptPart; 3] {
    let part = |id, tokens| PromptPart {
        id,
        tokens: Tokens(tokens),
    };
    [part(1, 512), part(2, 4_870), part(3, own)]
}

/// Guards against shared parts that are never saved, or saved again although already stored.
#[test]
fn missing_parts_are_saved() {
    assert!(is_worth_saving(&prompt(2_000), Tokens(0), 0.0));
    assert!(is_worth_saving(&prompt(2_000), Tokens(512), 0.0));
    assert!(!is_worth_saving(&prompt(2_000), Tokens(5_382), 0.0));
    assert!(!is_worth_saving(&[], Tokens(0), 0.0));
}

/// Guards against own parts that evict shared ones. At peak load, 250,000 tokens of own parts per
/// second were written to a store with a capacity of 826,000 tokens.
#[test]
fn long_own_parts_are_kept_away_under_pressure() {
    let mut inflow = Inflow::default();
    let mut now = TimeMs(0);
    for _ in 0..300 {
        now = now + DurationMs(100);
        inflow.record(Tokens(25_000), now);
    }
    let pressure = inflow.pressure(Tokens(826_368), now);
    assert!(pressure > 2.0, "{pressure}");
    assert!(!is_worth_saving(&prompt(20_000), Tokens(0), pressure));
    assert!(is_worth_saving(&prompt(2_000), Tokens(0), pressure));
    let later = now + DurationMs(60_000);
    let low_pressure = inflow.pressure(Tokens(826_368), later);
    assert!(is_worth_saving(&prompt(20_000), Tokens(0), low_pressure));
}

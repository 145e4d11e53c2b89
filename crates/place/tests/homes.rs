//! Tests of home sets and of the size of the state.

use dw_base::seeded_rng;
use dw_base::Chain;
use dw_base::DurationMs;
use dw_base::Priority;
use dw_base::Salt;
use dw_base::TimeMs;
use dw_base::Tokens;
use dw_base::TokensPerS;
use dw_base::WeightsVersion;
use dw_base::BLOCK_BYTES;
use dw_place::Nested;
use dw_place::NestedSettings;
use dw_place::Observation;
use dw_place::PlaceRequest;
use dw_place::Policy;
use dw_place::Target;

fn targets(count: usize) -> Vec<Target> {
    (0..count)
        .map(|i| Target {
            upstream: format!("engine-{i}").parse().expect("valid in the model"),
            data_centre: "dc-1".parse().expect("valid in the model"),
            prefill_tokens_per_s: TokensPerS::new(8_000.0).expect("valid in the model"),
            decode_tokens_per_s: TokensPerS::new(50.0).expect("valid in the model"),
            max_batch: 16,
        })
        .collect()
}

fn chain(prompt: u32, blocks: usize) -> Chain {
    let salt = Salt {
        org: "org".parse().expect("valid in the model"),
        model: "model".parse().expect("valid in the model"),
        weights: WeightsVersion(1),
    };
    let mut text = vec![b'x'; BLOCK_BYTES * blocks + 40];
    text[..4].copy_from_slice(&prompt.to_le_bytes());
    Chain::new(&salt, &text)
}

fn request(chain: Chain) -> PlaceRequest {
    PlaceRequest {
        chain: Some(chain),
        priority: Priority::Normal,
        budget_ms: DurationMs(10_000),
        data_centre: "dc-1".parse().expect("valid in the model"),
        hint: None,
        known: Vec::new(),
        excluded: Vec::new(),
    }
}

fn nested() -> Nested {
    Nested::new(NestedSettings::builder().build())
}

/// Guards against homes that depend on the order of the targets or on the router.
#[test]
fn fresh_routers_agree_on_homes() {
    let forward = targets(18);
    let backward: Vec<Target> = forward.iter().rev().cloned().collect();
    for prompt in 0..200 {
        let chain = chain(prompt, 3);
        let homes = nested().homes(&chain, &forward, TimeMs(1));
        let reordered = nested().homes(&chain, &backward, TimeMs(999_999));
        assert_eq!(homes, reordered);
    }
}

/// Guards against the loss of an upstream moving prefixes of other upstreams.
#[test]
fn loss_moves_only_prefixes_of_the_lost_upstream() {
    let all = targets(9);
    let fewer: Vec<Target> = all[1..].to_vec();
    let mut policy = nested();
    for prompt in 0..300 {
        let chain = chain(prompt, 3);
        let before = policy.homes(&chain, &all, TimeMs(1));
        let after = policy.homes(&chain, &fewer, TimeMs(1));
        if before[0] != all[0].upstream {
            assert_eq!(before, after);
        }
    }
}

/// Guards against state that grows with the number of prefixes.
#[test]
fn state_is_bounded() {
    let targets = targets(18);
    let mut policy = nested();
    let mut rng = seeded_rng(1);
    for prompt in 0..6_000 {
        let now = TimeMs(u64::from(prompt) * 10);
        let decision = policy.place(&request(chain(prompt, 1)), &targets, now, &mut rng);
        assert!(decision.is_some());
    }
    assert!(
        policy.state_bytes() <= 64 * 4_096 + 256 * 18,
        "{}",
        policy.state_bytes()
    );
}

/// Guards against a hot prefix that stays on one upstream, and against home sets that never narrow.
#[test]
fn homes_widen_and_narrow_with_heat() {
    let targets = targets(9);
    let mut policy = nested();
    let mut rng = seeded_rng(1);
    let hot = chain(1, 4);
    let mut now = TimeMs(1_000);
    for _ in 0..300 {
        now = now + DurationMs(100);
        let placed = policy.place(&request(hot.clone()), &targets, now, &mut rng);
        let observation = Observation::FirstToken {
            upstream: placed.expect("valid in the model").upstream,
            chain: hot.clone(),
            cached_tokens: Tokens(0),
            queued_ms: DurationMs(0),
            first_token_ms: DurationMs(1_000),
        };
        policy.observe(&observation, now);
    }
    assert!(policy.homes(&hot, &targets, now).len() >= 3);
    for _ in 0..300 {
        now = now + DurationMs(1_000);
        policy.place(&request(hot.clone()), &targets, now, &mut rng);
    }
    assert_eq!(policy.homes(&hot, &targets, now).len(), 1);
}

/// Guards against sending a request to an upstream that refused it.
#[test]
fn excluded_upstreams_are_not_chosen() {
    let targets = targets(3);
    let mut policy = nested();
    let mut request = request(chain(7, 2));
    for left in (0..3).rev() {
        let chosen = policy.place(&request, &targets, TimeMs(5), &mut seeded_rng(1));
        request
            .excluded
            .push(chosen.expect("valid in the model").upstream);
        assert_eq!(request.excluded.len() + left, 3);
    }
    let none = policy.place(&request, &targets, TimeMs(5), &mut seeded_rng(1));
    assert_eq!(none, None);
}

/// Guards against a decision that reports a warm cache for a prompt that was never computed.
#[test]
fn cold_prompt_is_expected_to_take_its_computation() {
    let mut policy = nested();
    let cold = request(chain(9, 4));
    let placed = policy.place(&cold, &targets(3), TimeMs(5), &mut seeded_rng(1));
    let decision = placed.expect("valid in the model");
    let best = &decision.candidates[0];
    // 4 blocks of 2,048 tokens and 10 more at 8,000 tokens/s.
    assert_eq!(best.first_token_ms, DurationMs(1_025));
    assert_eq!(best.preferred_ms, DurationMs(1));
    assert_eq!(best.warm_depth, 0);
    let expected = "first token expected in 1025 ms, counted as 1 ms because homes are preferred";
    assert!(decision.reason.ends_with(expected), "{}", decision.reason);
}

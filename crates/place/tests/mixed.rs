//! Tests of long prompts beside short ones: both kinds must be in aim at least as often as without the
//! rules for mixed prompts, and clearly more often while engines are crowded.

mod mixed_fleet;

use dw_place::DirectSettings;
use dw_place::MixedSettings;

use mixed_fleet::play;
use mixed_fleet::scenario;
use mixed_fleet::Outcome;
use mixed_fleet::Scenario;

/// Part of the long prompts that may wait until callers give up.
const MAY_GIVE_UP: f64 = 0.01;

/// Fraction in aim by which two runs that differ by luck only may differ.
const LUCK: f64 = 0.03;

/// Returns the outcomes without and with the rules.
fn both(scenario: &Scenario) -> (Outcome, Outcome) {
    let plain = DirectSettings::builder().build();
    let mixed = MixedSettings::builder().build();
    let mixed = DirectSettings::builder().mixed(mixed).build();
    let (plain, mixed) = (play(scenario, &plain), play(scenario, &mixed));
    println!("without: {plain}\nwith:    {mixed}");
    let given_up = f64::from(mixed.long.given_up);
    assert!(given_up <= MAY_GIVE_UP * f64::from(mixed.long.asked));
    (plain, mixed)
}

fn assert_no_kind_loses((plain, mixed): &(Outcome, Outcome)) {
    assert!(mixed.short.fraction() >= plain.short.fraction() - LUCK);
    assert!(mixed.long.fraction() >= plain.long.fraction() - LUCK);
}

fn assert_both_kinds_gain((plain, mixed): &(Outcome, Outcome)) {
    assert!(mixed.short.fraction() >= plain.short.fraction() + LUCK);
    assert!(mixed.long.fraction() >= plain.long.fraction() + LUCK);
}

/// Guards against rules for crowded engines that harm prompts while the engines have room.
#[test]
fn with_room_both_kinds_are_served_as_before() {
    let outcomes = both(&Scenario {
        short_per_s: 120.0,
        long_per_s: 20.0,
        ..scenario()
    });
    assert_no_kind_loses(&outcomes);
}

/// Guards against short prompts that wait behind prompts which are late wherever they go.
#[test]
fn both_kinds_gain_under_steady_load() {
    assert_both_kinds_gain(&both(&scenario()));
}

/// Guards against a wave of long prompts that makes the short ones late at all engines.
#[test]
fn both_kinds_gain_in_a_wave_of_long_prompts() {
    assert_both_kinds_gain(&both(&Scenario {
        wave: 3.0,
        ..scenario()
    }));
}

/// Guards against long prompts that wait for a few engines although no short ones need the others.
#[test]
fn long_prompts_alone_do_not_lose() {
    let outcomes = both(&Scenario {
        short_per_s: 0.0,
        long_per_s: 150.0,
        ..scenario()
    });
    assert_no_kind_loses(&outcomes);
}

/// Guards against an order of engines that does not hold once one of them is gone.
#[test]
fn both_kinds_gain_although_an_engine_is_lost() {
    for lost in 0..3 {
        assert_both_kinds_gain(&both(&Scenario {
            lost: Some(lost),
            ..scenario()
        }));
    }
}

/// Guards against rules that hold only for engines of equal speed.
#[test]
fn uneven_engines_do_not_lose() {
    let outcomes = both(&Scenario {
        speeds: [0.7, 0.7, 1.7],
        ..scenario()
    });
    assert_no_kind_loses(&outcomes);
}

/// Guards against rules that need engines of constant speed.
#[test]
fn both_kinds_gain_while_engines_slow_down_for_moments() {
    assert_both_kinds_gain(&both(&Scenario {
        is_noisy: true,
        short_per_s: 320.0,
        long_per_s: 65.0,
        ..scenario()
    }));
}

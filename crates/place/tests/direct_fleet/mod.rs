//! Engines and requests for tests of direct placement.

#![allow(dead_code, reason = "each test binary uses a part")]

use dw_base::Bytes;
use dw_base::DataCentreId;
use dw_base::DurationMs;
use dw_base::PromptPart;
use dw_base::TimeMs;
use dw_base::Tokens;
use dw_base::UpstreamId;
use dw_base::WeightsVersion;
use dw_place::Choice;
use dw_place::Direct;
use dw_place::DirectRequest;
use dw_place::DirectSettings;
use dw_place::DirectTarget;

pub(crate) const NOW: TimeMs = TimeMs(1_000_000);

pub(crate) struct Engine {
    pub(crate) id: UpstreamId,
    pub(crate) data_centre: DataCentreId,
    pub(crate) weights: u64,
    pub(crate) old: bool,
    pub(crate) cached_parts: Option<usize>,
    pub(crate) loads_soon: bool,
    pub(crate) limited: bool,
    pub(crate) failure_rate: f64,
}

pub(crate) fn engines(count: usize) -> Vec<Engine> {
    let engine = |at: usize| Engine {
        id: format!("e{at}").parse().expect("test data is valid"),
        data_centre: format!("dc{}", at % 3).parse().expect("test data is valid"),
        weights: 1,
        old: false,
        cached_parts: None,
        loads_soon: false,
        limited: false,
        failure_rate: 0.0,
    };
    (0..count).map(engine).collect()
}

/// Returns engines that announce an empty cache.
pub(crate) fn announcing_engines(count: usize) -> Vec<Engine> {
    let mut engines = engines(count);
    for engine in &mut engines {
        engine.cached_parts = Some(0);
    }
    engines
}

pub(crate) fn targets(engines: &[Engine]) -> Vec<DirectTarget<'_>> {
    let targets = engines.iter().map(|engine| DirectTarget {
        upstream: &engine.id,
        data_centre: &engine.data_centre,
        slots: 32,
        kv_capacity: Some(Tokens(224_000)),
        weights: Some(WeightsVersion(engine.weights)),
        old_weights: engine.old,
        cached_parts: engine.cached_parts,
        loads_soon: engine.loads_soon,
        limited: engine.limited,
        failure_rate: engine.failure_rate,
    });
    targets.collect()
}

pub(crate) fn prompt(kind: u64, own: u64, own_tokens: u64) -> Vec<PromptPart> {
    let part = |id, tokens| PromptPart {
        id,
        tokens: Tokens(tokens),
    };
    vec![part(1, 512), part(100 + kind, 4_870), part(own, own_tokens)]
}

pub(crate) struct Case<'a> {
    pub(crate) prompt: &'a [PromptPart],
    pub(crate) data_centre: &'a DataCentreId,
    pub(crate) stored: u64,
    pub(crate) output_tokens: Tokens,
}

pub(crate) fn case_of<'a>(
    prompt: &'a [PromptPart],
    data_centre: &'a DataCentreId,
    stored: u64,
) -> Case<'a> {
    Case {
        prompt,
        data_centre,
        stored,
        output_tokens: Tokens(50),
    }
}

pub(crate) fn place(
    direct: &mut Direct,
    case: &Case<'_>,
    engines: &[Engine],
    send: bool,
) -> Choice {
    let choice = place_at(direct, case, engines, NOW);
    if send {
        let sent = direct.record_sent(&choice, "m", case.prompt, NOW);
        direct.record_first_token(&choice.upstream, &sent, NOW + DurationMs(120));
        direct.record_ended(&choice.upstream);
    }
    choice
}

pub(crate) fn place_at(
    direct: &mut Direct,
    case: &Case<'_>,
    engines: &[Engine],
    now: TimeMs,
) -> Choice {
    let stored = |_| Tokens(case.stored);
    direct
        .place(&request(case, &stored), &targets(engines), now)
        .expect("test data is valid")
}

pub(crate) fn request<'a>(
    case: &Case<'a>,
    stored: &'a dyn Fn(WeightsVersion) -> Tokens,
) -> DirectRequest<'a> {
    DirectRequest {
        prompt: case.prompt,
        scope: "m",
        data_centre: case.data_centre,
        objective_ms: DurationMs(600),
        bytes: Bytes(13_000),
        output_tokens: case.output_tokens,
        stored,
        mixed_objective_ms: None,
    }
}

pub(crate) fn direct() -> Direct {
    Direct::new(DirectSettings::builder().build())
}

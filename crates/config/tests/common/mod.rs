//! A small valid configuration.

use dw_config::Change;
use dw_config::Config;
use dw_config::Edit;
use dw_config::Object;
use serde_json::json;
use serde_json::Value;

pub(crate) fn object(json: Value) -> Object {
    serde_json::from_value(json).expect("fixture is valid")
}

pub(crate) fn change(id: &str, edits: Vec<Edit>) -> Change {
    Change {
        id: id.parse().expect("fixture is valid"),
        operator: "ngozi".parse().expect("fixture is valid"),
        text: format!("change {id}"),
        edits,
    }
}

pub(crate) fn upstream(name: &str) -> Object {
    object(json!({
        "object": "upstream", "name": name, "kind": "engine", "data_centre": "ikeja",
        "services": ["quote"], "model": "arches", "prefill_tokens_per_s": 8000.0,
        "decode_tokens_per_s": 40.0, "max_batch": 8, "checks_fence": true, "state": "active"
    }))
}

pub(crate) fn base_objects() -> Vec<Object> {
    vec![
        object(json!({"object": "model", "name": "arches", "weights": 1})),
        object(json!({
            "object": "service", "name": "quote", "kind": "generate", "repeat": "repeatable",
            "priority": "normal", "worth": 5.0, "deadline_ms": 30000, "max_prompt_tokens": 200000
        })),
        object(json!({
            "object": "organisation", "name": "acme", "token_sha256": ["a".repeat(64)],
            "share": 1.0
        })),
        upstream("ikeja-1"),
    ]
}

pub(crate) fn base_config() -> Config {
    let edits = base_objects().into_iter().map(Edit::Create).collect();
    let empty = Config::default();
    let committed = change("base", edits)
        .prepare(&empty, Default::default())
        .expect("fixture is valid");
    empty.apply(&committed).expect("fixture is valid")
}

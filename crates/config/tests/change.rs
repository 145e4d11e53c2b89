//! Tests of changes, validation and snapshots.

mod common;

use common::base_config;
use common::base_objects;
use common::change;
use common::object;
use common::upstream;
use dw_base::ConfigVersion;
use dw_base::DurationMs;
use dw_base::TimeMs;
use dw_config::decode_snapshot;
use dw_config::delta;
use dw_config::encode_snapshot;
use dw_config::whole;
use dw_config::ApplyError;
use dw_config::ChangeError;
use dw_config::Confirmation;
use dw_config::Edit;
use dw_config::InForce;
use dw_config::InvalidConfig;
use dw_config::Isolation;
use dw_config::UpdateError;
use dw_wire::ConfigUpdate;
use proptest::prelude::any;
use proptest::prop_assert;
use proptest::proptest;
use serde_json::json;

fn prepare_error(edits: Vec<Edit>) -> ChangeError {
    change("bad", edits)
        .prepare(&base_config(), TimeMs(0))
        .expect_err("change is refused")
}

fn first_fault(edits: Vec<Edit>) -> InvalidConfig {
    match prepare_error(edits) {
        ChangeError::Invalid(faults) => faults.into_iter().next().expect("a fault is named"),
        other => panic!("{other}"),
    }
}

/// Guards against a JSON form in which the kind of an object hides a field called `kind`.
#[test]
fn objects_survive_json() {
    for wanted in base_objects() {
        let text = serde_json::to_string(&wanted).unwrap();
        assert_eq!(
            serde_json::from_str::<dw_config::Object>(&text).unwrap(),
            wanted
        );
    }
}

/// Guards against edits of one change that do not see those before them.
#[test]
fn edits_apply_in_order() {
    let fields = json!({"state": "draining"}).as_object().unwrap().clone();
    let key = upstream("lekki-1").key();
    let edits = vec![
        Edit::Create(upstream("lekki-1")),
        Edit::Patch {
            key: key.clone(),
            fields,
        },
    ];
    let config = base_config();
    let committed = change("c", edits).prepare(&config, TimeMs(0)).unwrap();
    let after = config.apply(&committed).unwrap();
    assert_eq!(after.entries[&key].version, ConfigVersion(2));
    let upstream = after.upstream(&"lekki-1".parse().unwrap()).unwrap();
    assert_eq!(upstream.state, dw_config::UpstreamState::Draining);
}

/// Guards against edits that are accepted although their object exists, is missing or is renamed.
#[test]
fn edits_that_do_not_fit_are_refused() {
    let key = upstream("ikeja-1").key();
    let patch = |json: serde_json::Value| Edit::Patch {
        key: key.clone(),
        fields: json.as_object().unwrap().clone(),
    };
    assert_eq!(prepare_error(vec![]), ChangeError::Empty);
    assert_eq!(
        prepare_error(vec![Edit::Create(upstream("ikeja-1"))]),
        ChangeError::Exists(key.clone())
    );
    assert!(matches!(
        prepare_error(vec![Edit::Delete(upstream("none").key())]),
        ChangeError::Missing(_)
    ));
    assert!(matches!(
        prepare_error(vec![patch(json!({"sped": 1}))]),
        ChangeError::BadField { .. }
    ));
    assert_eq!(
        prepare_error(vec![patch(json!({"name": "other"}))]),
        ChangeError::Renamed(key.clone())
    );
}

/// Guards against a configuration with dangling references, bad hashes or values out of range.
#[test]
fn invalid_results_are_refused() {
    let delete_model = Edit::Delete(base_objects()[0].key());
    assert!(matches!(
        first_fault(vec![delete_model]),
        InvalidConfig::Reference { .. }
    ));
    let put = |json| first_fault(vec![Edit::Put(object(json))]);
    let token = "secret".to_owned();
    let operator = json!({"object": "operator", "name": "o", "token_sha256": [token]});
    assert!(matches!(
        put(operator),
        InvalidConfig::TokenHash { index: 0, .. }
    ));
    let shared = json!({"object": "operator", "name": "o", "token_sha256": ["a".repeat(64)]});
    assert!(matches!(put(shared), InvalidConfig::SharedToken { .. }));
    let setting = json!({"object": "setting", "name": "weight-loads", "value": 0});
    assert!(matches!(
        put(setting),
        InvalidConfig::Range { field: "value", .. }
    ));
    let setting = json!({"object": "setting", "name": "weight-load", "value": 2});
    assert!(matches!(put(setting), InvalidConfig::UnknownSetting(_)));
    let limit = json!({"object": "limit", "org": "acme", "service": null,
        "requests_per_s": null, "tokens_per_s": null});
    assert!(matches!(put(limit), InvalidConfig::Range { .. }));
}

/// Guards against versions that go back or skip a change.
#[test]
fn versions_grow_by_one() {
    let config = base_config();
    let edit = Edit::Create(upstream("lekki-1"));
    let next = change("c", vec![edit]).prepare(&config, TimeMs(0)).unwrap();
    let after = config.apply(&next).unwrap();
    assert!(matches!(after.apply(&next), Err(ApplyError::Stale { .. })));
    let mut skipping = next.clone();
    skipping.version = ConfigVersion(4);
    assert!(matches!(
        config.apply(&skipping),
        Err(ApplyError::Gap { .. })
    ));
    let old = whole(&config).unwrap();
    assert_eq!(after.advance_by(&old), Ok(None));
    let update = delta(std::slice::from_ref(&next)).unwrap().unwrap();
    assert_eq!(config.advance_by(&update).unwrap().unwrap().config, after);
    let lying = ConfigUpdate::Snapshot {
        version: ConfigVersion(9),
        json: encode_snapshot(&after).unwrap(),
    };
    assert!(matches!(
        config.advance_by(&lying),
        Err(UpdateError::WrongVersion { .. })
    ));
}

/// Guards against a node that counts as confirmed with an older version, or is never named.
#[test]
fn missing_confirmations_are_named_after_the_deadline() {
    let nodes: [dw_base::NodeId; 2] = ["r1".parse().unwrap(), "r2".parse().unwrap()];
    let mut in_force = InForce::new(ConfigVersion(5), TimeMs(0));
    in_force.confirm(nodes[0].clone(), ConfigVersion(6));
    in_force.confirm(nodes[1].clone(), ConfigVersion(4));
    let missing = vec![nodes[1].clone()];
    assert_eq!(
        in_force.state(&nodes, TimeMs(12_999)),
        Confirmation::Waiting(missing.clone())
    );
    assert_eq!(
        in_force.state(&nodes, TimeMs(13_000)),
        Confirmation::TimedOut(missing)
    );
    assert_eq!(
        in_force.state(&nodes[..1], TimeMs(0)),
        Confirmation::Everywhere
    );
}

/// Guards against isolation that starts early, late or is not ended by a contact.
#[test]
fn isolation_follows_the_last_contact() {
    let mut isolation = Isolation::new(TimeMs(0));
    assert!(!isolation.is_isolated(TimeMs(9_999)));
    assert!(isolation.is_isolated(TimeMs(10_000)));
    isolation.contact(TimeMs(10_000));
    assert!(!isolation.is_isolated(TimeMs(10_000) + DurationMs(9_999)));
}

proptest! {
    /// Guards against panics, and against changed state, on hostile snapshot bytes.
    #[test]
    fn hostile_snapshots_give_errors(
        at in 0usize..2000, byte in any::<u8>(), cut in 0usize..2000, noise in any::<Vec<u8>>(),
    ) {
        prop_assert!(decode_snapshot(&noise).is_err());
        let config = base_config();
        let mut bytes = encode_snapshot(&config).unwrap().into_bytes();
        prop_assert!(decode_snapshot(&bytes[..cut.min(bytes.len() - 1)]).is_err());
        let at = at % bytes.len();
        bytes[at] = byte;
        if let Ok(decoded) = decode_snapshot(&bytes) {
            prop_assert!(dw_config::validate(&decoded).is_empty());
        }
        let json = String::from_utf8_lossy(&bytes).into_owned();
        let (from, to) = (config.version, ConfigVersion(2));
        let update = ConfigUpdate::Changes { from, to, json };
        prop_assert!(config.advance_by(&update).is_err());
        prop_assert!(config == base_config());
    }
}

//! Tests of settings files and of the shared command-line options.

use dw_settings::from_text;
use dw_settings::load_from_args;
use dw_settings::Addr;
use dw_settings::Check;
use dw_settings::DurationSetting;
use dw_settings::InvalidValue;
use dw_settings::StartAction;
use expect_test::expect;
use serde::Deserialize;

#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
struct Sample {
    listen: Addr,
    store: Store,
}

#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
struct Store {
    poll: DurationSetting,
}

impl Check for Sample {
    fn check(&self) -> Result<(), InvalidValue> {
        if self.store.poll.0 .0 == 0 {
            return Err(InvalidValue::new(
                "store.poll",
                "is zero",
                "write at least 1ms",
            ));
        }
        Ok(())
    }
}

fn error(text: &str) -> String {
    from_text::<Sample>("a.yaml", text)
        .expect_err("settings are invalid")
        .to_string()
}

/// Guards against error messages that omit the file, the key or the remedy.
#[test]
fn errors_name_file_key_and_remedy() {
    let messages = [
        "listen: 127.0.0.1:1\nstore: {poll: 0ms}",
        "listen: localhost:1\nstore: {poll: 1s}",
        "listen: 127.0.0.1:1\nstore: {poll: 5}",
        "listen: 127.0.0.1:1\nstore: {poll: 1s, pol: 2}",
        "store: {poll: 1s}",
        "listen: [",
    ]
    .map(error)
    .join("\n");
    expect![[r#"
        a.yaml: store.poll: is zero; write at least 1ms
        a.yaml: listen: "localhost:1" is not an address: write IP:PORT, for example 127.0.0.1:8080; correct this key
        a.yaml: store.poll: store: "5" is not valid: write a whole number followed by ms, s, m or h, for example 250ms at line 2 column 8; correct this key
        a.yaml: store.pol: store: unknown field `pol`, expected `poll` at line 2 column 19; correct this key
        a.yaml: document: missing field `listen`; correct this key
        a.yaml: listen: listen: invalid type: sequence, expected a string at line 1 column 9; correct this key"#]].assert_eq(&messages);
}

/// Guards against values or units that change when settings are parsed and printed.
#[test]
fn valid_settings_keep_their_values() {
    let sample: Sample =
        from_text("a.yaml", "listen: '[::1]:80'\nstore: {poll: 2m}").expect("valid");
    assert_eq!(sample.listen.to_string(), "[::1]:80");
    assert_eq!(sample.store.poll.to_string(), "120000ms");
}

/// Guards against a program that starts without a settings file or ignores unexpected arguments.
#[test]
fn wrong_command_line_is_bad() {
    for args in [
        vec![],
        vec!["--settings"],
        vec!["--settings", "a", "b"],
        vec!["--settings", "/"],
    ] {
        let args: Vec<String> = args.into_iter().map(str::to_owned).collect();
        assert!(
            matches!(load_from_args::<Sample>("x", &args), StartAction::Fail(_)),
            "{args:?}"
        );
    }
}

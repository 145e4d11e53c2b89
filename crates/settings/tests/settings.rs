//! Checks of settings files and of the common options.

use dw_settings::from_text;
use dw_settings::open;
use dw_settings::Addr;
use dw_settings::Check;
use dw_settings::Delay;
use dw_settings::Fault;
use dw_settings::Opened;
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
    poll: Delay,
}

impl Check for Sample {
    fn check(&self) -> Result<(), Fault> {
        if self.store.poll.0 .0 == 0 {
            return Err(Fault::new("store.poll", "is zero", "write at least 1ms"));
        }
        Ok(())
    }
}

fn error(text: &str) -> String {
    from_text::<Sample>("a.yaml", text)
        .expect_err("settings are bad")
        .to_string()
}

/// Guards against errors that do not name the file, the key or the remedy.
#[test]
fn errors_name_file_key_and_remedy() {
    let shown = [
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
        a.yaml: listen: listen: invalid type: sequence, expected a string at line 1 column 9; correct this key"#]].assert_eq(&shown);
}

/// Guards against units that change between writing and reading.
#[test]
fn valid_settings_keep_their_values() {
    let sample: Sample =
        from_text("a.yaml", "listen: '[::1]:80'\nstore: {poll: 2m}").expect("valid");
    assert_eq!(sample.listen.to_string(), "[::1]:80");
    assert_eq!(sample.store.poll.to_string(), "120000ms");
}

/// Guards against a start without settings or with arguments that have no effect.
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
            matches!(open::<Sample>("x", &args), Opened::Bad(_)),
            "{args:?}"
        );
    }
}

//! Tests of the binary's options and settings, and of the example fleets.

use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::process::Command;
use std::process::Output;

use dw_standin::Fleet;

fn example(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join(format!("../../examples/{name}.yaml"))
}

fn check(settings: &Path) -> Output {
    Command::new(env!("CARGO_BIN_EXE_dandelionwall-standin"))
        .arg("--check")
        .arg("--settings")
        .arg(settings)
        .output()
        .expect("the binary runs")
}

/// Guards against example fleets that are invalid or differ in size from the deployments.
#[test]
fn examples_have_the_sizes_of_the_deployments() {
    for (name, sizes) in [
        ("division", [("quote-writer", 9), ("order-desk", 3)]),
        ("letargo", [("care-note", 18), ("booking-app", 3)]),
    ] {
        assert!(check(&example(name)).status.success(), "{name}");
        let text = fs::read_to_string(example(name)).unwrap();
        let fleet = Fleet::from_yaml(&text).unwrap();
        for (model, count) in sizes {
            let found = fleet.engines.iter().filter(|e| e.engine.model == model);
            assert_eq!(found.count(), count, "{model}");
        }
        let speed = |e: &dw_standin::EngineEntry| e.engine.prefill_tokens_per_s;
        let fastest = fleet.engines.iter().map(speed).fold(0.0, f64::max);
        let slowest = fleet.engines.iter().map(speed).fold(f64::MAX, f64::min);
        assert_eq!(fastest / slowest, 4.0);
    }
}

/// Guards against invalid settings that are accepted, or reported without file, key and remedy.
#[test]
fn bad_settings_exit_2_and_name_file_key_and_remedy() {
    let dir = std::env::temp_dir().join(format!("dw-standin-{}", std::process::id()));
    fs::create_dir_all(&dir).unwrap();
    let file = dir.join("bad.yaml");
    let engine = "{name: a, data_centre: d, services: [], engine: {speedup: 0}}";
    for (text, key, remedy) in [
        (
            format!("deployment: d\nweight_loads: 1\nengines: [{engine}]"),
            "engines[0].engine.speedup",
            "above 0",
        ),
        (
            "deployment: d\nweight_loads: 0".to_owned(),
            "weight_loads",
            "at least 1",
        ),
        (
            "deployment: d\nweight_load: 1".to_owned(),
            "`weight_load`",
            "see examples/",
        ),
    ] {
        fs::write(&file, text).unwrap();
        let output = check(&file);
        let message = String::from_utf8(output.stderr).unwrap();
        assert_eq!(output.status.code(), Some(2), "{message}");
        for part in [file.to_str().unwrap(), key, remedy] {
            assert!(message.contains(part), "{part}: {message}");
        }
    }
    fs::remove_dir_all(&dir).unwrap();
}

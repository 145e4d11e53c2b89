//! The command line of the binary.

use std::path::PathBuf;
use std::process::Command;

const SETTINGS: &str = "\
agent:
  node: a
  data_centre: dc
  upstream: e
  upstream_addr: 127.0.0.1:1
  data_addr: 127.0.0.1:0
  control_addr: 127.0.0.1:0
platform:
  table_addr: 127.0.0.1:1
  objects_addr: 127.0.0.1:1
  vms_addr: 127.0.0.1:1
";

fn check(name: &str, text: &str) -> (Option<i32>, String) {
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&file, text).expect("file is written");
    let output = Command::new(env!("CARGO_BIN_EXE_dandelionwall-agent"))
        .args(["--check", "--settings"])
        .arg(&file)
        .output()
        .expect("binary runs");
    let errors = String::from_utf8_lossy(&output.stderr).into_owned();
    (output.status.code(), errors)
}

/// Guards against bad settings that are accepted, and against errors that name no key or remedy.
#[test]
fn check_reports_bad_settings() {
    assert_eq!(check("good.yaml", SETTINGS).0, Some(0));
    let unknown = SETTINGS.replace("  node: a\n", "  node: a\n  nodes: b\n");
    let (code, errors) = check("unknown.yaml", &unknown);
    assert_eq!(code, Some(2));
    assert!(
        errors.contains("nodes") && errors.contains("unknown.yaml"),
        "{errors}"
    );
    let range = SETTINGS.replace("  node: a\n", "  node: a\n  resume_bytes: 1\n");
    let (code, errors) = check("range.yaml", &range);
    assert_eq!(code, Some(2));
    assert!(errors.contains("agent.resume_bytes"), "{errors}");
    assert!(errors.contains("write at least 4096"), "{errors}");
    let total = SETTINGS.replace("  node: a\n", "  node: a\n  resume_total_bytes: 5000\n");
    let (code, errors) = check("total.yaml", &total);
    assert_eq!(code, Some(2));
    assert!(errors.contains("agent.resume_total_bytes"), "{errors}");
}

/// Guards against a choice of the admission policy that is ignored or misread.
#[test]
fn gate_is_fair_or_fifo() {
    let with =
        |gate: &str| SETTINGS.replace("  node: a\n", &format!("  node: a\n  gate: {gate}\n"));
    for gate in ["fair", "fifo"] {
        assert_eq!(check("gate.yaml", &with(gate)).0, Some(0), "{gate}");
        let settings: dw_agent::ProcessSettings =
            dw_settings::from_text("gate.yaml", &with(gate)).expect("valid");
        let fifo = settings.agent.gate == dw_agent::GateKind::Fifo;
        assert_eq!(fifo, gate == "fifo");
    }
    let (code, errors) = check("gate.yaml", &with("random"));
    assert_eq!(code, Some(2));
    assert!(
        errors.contains("random") && errors.contains("fair"),
        "{errors}"
    );
}

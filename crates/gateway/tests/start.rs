//! Start of the program.

use std::fs;

/// Guards against a dependency that reads the clock in a loop before `main`, until two clocks agree:
/// with a small share of a core, or beside other work, processes came back up to 3 s late after a
/// power loss, and up to 40 s late where the clock stands still meanwhile.
#[test]
fn program_measures_no_clock_before_main() {
    let path = env!("CARGO_BIN_EXE_dandelionwall-gateway");
    let program = fs::read(path).expect("the program is built");
    let name = b"fastant";
    assert!(!program.windows(name.len()).any(|part| part == name));
}

//! Start of the program.

use std::fs;

/// Guards against a dependency that reads the clock in a loop before `main` until two clocks agree.
/// It delayed restarts after a power loss by up to 3 s with a small CPU share or beside other work,
/// and by up to 40 s where the clock stands still meanwhile.
#[test]
fn program_measures_no_clock_before_main() {
    let path = env!("CARGO_BIN_EXE_dandelionwall-sidecar");
    let program = fs::read(path).expect("the program is built");
    let name = b"fastant";
    assert!(!program.windows(name.len()).any(|part| part == name));
}

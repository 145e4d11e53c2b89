//! Start of the program.

use std::fs;

/// Guards against a dependency that calibrates a clock in a loop before `main`, until two clocks
/// agree. With a small share of a core or under load, this delayed the restart after a power loss
/// by up to 3 s, and by up to 40 s where the clock does not advance in the meantime.
#[test]
fn program_measures_no_clock_before_main() {
    let path = env!("CARGO_BIN_EXE_dandelionwall-gateway");
    let program = fs::read(path).expect("the program is built");
    let name = b"fastant";
    assert!(!program.windows(name.len()).any(|part| part == name));
}

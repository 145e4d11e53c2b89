//! The example statements.

use dw_local::declare;
use dw_local::statements;
use dw_local::ClusterSettings;
use dw_local::DIVISION;
use dw_local::LETARGO;
use dw_standin::Fleet;
use expect_test::expect_file;

fn declared(description: &str) -> String {
    let fleet = Fleet::from_yaml(description).expect("valid");
    let settings = ClusterSettings::builder().description(description).build();
    statements(&declare(&fleet, &settings).expect("valid"))
}

/// Guards against example statements that do not fit the example stand-ins; `UPDATE_EXPECT=1`
/// writes the files again.
#[test]
fn example_statements_fit_the_stand_ins() {
    expect_file!["../../../examples/division.dw"].assert_eq(&declared(DIVISION));
    expect_file!["../../../examples/letargo.dw"].assert_eq(&declared(LETARGO));
}

//! The names of the counters are sent to clients and read by the operators' collectors, so they must not change. The
//! golden file was written by the version before the code was restructured.

use super::Counters;
use expect_test::expect_file;

#[test]
fn counters_keep_the_names_and_the_order_of_the_golden_file() {
    let text = Counters::default().to_string().replace(' ', "\n") + "\n";
    expect_file!["golden/counters.txt"].assert_eq(&text);
}

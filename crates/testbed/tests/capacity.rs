//! `cleatgw-testbed capacity` refuses what it can't do, and starts nothing for it.

use std::process::{Command, Output};

const NO_PROGRAM: &str = "/nonexistent/cleatgw";

fn capacity(arguments: &[&str]) -> (Option<i32>, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_cleatgw-testbed"));
    let Output { status, stdout, stderr } =
        command.arg("capacity").args(arguments).args(["--program", NO_PROGRAM]).output().unwrap();
    assert_eq!(String::from_utf8_lossy(&stdout), "", "no report");
    (status.code(), String::from_utf8_lossy(&stderr).into_owned())
}

/// Refused with these words, and without a try at the program, which is not there.
fn refused(arguments: &[&str], words: &[&str]) {
    let (code, why) = capacity(arguments);
    assert_eq!(code, Some(2), "{why}");
    words.iter().for_each(|words| assert!(why.contains(words), "{words:?} in {why}"));
    assert!(!why.contains(NO_PROGRAM), "{why}");
}

#[test]
fn more_sessions_than_descriptors_say_what_is_lacking_and_start_nothing() {
    let most = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
    let Some(most) = most.filter(|most| *most < 4_000_000) else {
        // Nothing is lacking for sizes that the test could name: memory is.
        return refused(
            &["--what", "clients", "--sizes", "400,900000000"],
            &["MB of memory are lacking", "needed"],
        );
    };
    let size = most * 5 / 2;
    let lacking =
        format!("{} descriptors are lacking: {} needed, {most} there", 2 * size + 200 - most, 2 * size + 200);
    refused(&["--what", "clients", "--sizes", &format!("400,{size}")], &[&lacking]);
}

/// What would be a start otherwise is named: the check above can tell.
#[test]
fn sizes_within_reach_are_tried() {
    let (code, why) = capacity(&["--what", "clients", "--sizes", "5,10"]);
    assert_eq!(code, Some(2), "{why}");
    assert!(why.contains(NO_PROGRAM), "{why}");
}

#[test]
fn a_name_that_is_no_question_is_refused_with_those_that_are() {
    refused(&["--what", "customers"], &["`--what customers`", "decisions, clients, links, lists"]);
}

#[test]
fn sizes_that_do_not_grow_or_are_no_numbers_are_refused() {
    for sizes in ["", "400,400", "800,400", "0,400", "-5", "many", "400,,800", "nan", "400;800"] {
        refused(
            &["--what", "clients", &format!("--sizes={sizes}")],
            &["growing numbers by commas were expected"],
        );
    }
}

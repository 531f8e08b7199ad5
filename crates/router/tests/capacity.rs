//! Scale tests leave no process behind, whatever ends them.

use cleatgw_testbed::capacity::{measure, Ask};
use cleatgw_testbed::stand_ins::GENEROUS;
use rustix::process::{kill_process, Pid, Signal};
use std::os::unix::process::{CommandExt, ExitStatusExt};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Names a run; what is started in it inherits this.
const MARK: &str = "CAPACITY_TEST_RUN";
/// What it asks.
const WHAT: &str = "CAPACITY_TEST_WHAT";

/// Processes that still run and carry the mark, by id and name.
fn marked(mark: &str) -> Vec<(i32, String)> {
    let carries = format!("{MARK}={mark}");
    let processes = std::fs::read_dir("/proc")
        .unwrap()
        .filter_map(|entry| entry.ok()?.file_name().to_str()?.parse().ok());
    let marked = processes.filter(|process: &i32| {
        let environment = std::fs::read(format!("/proc/{process}/environ")).unwrap_or_default();
        environment.split(|&byte| byte == 0).any(|one| one == carries.as_bytes())
    });
    let named = marked.map(|process| {
        let name = std::fs::read_to_string(format!("/proc/{process}/comm")).unwrap_or_default();
        (process, name.trim_end().to_string())
    });
    named.collect()
}

fn until(what: &str, holds: impl Fn() -> bool) {
    let begun = Instant::now();
    while !holds() {
        assert!(begun.elapsed() < GENEROUS, "{what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// The run that the others interrupt: this test file as a process of its own. Without the mark there is nothing to do.
#[test]
fn a_run_to_be_interrupted() {
    if std::env::var_os(MARK).is_none() {
        return;
    }
    let program = env!("CARGO_BIN_EXE_cleatgw").into();
    let ask = Ask { seed: 1, sizes: Some(vec![5.0, 10.0]), plays: 5, program };
    let what = std::env::var(WHAT).unwrap();
    if let Err(why) = measure(&what, &ask) {
        panic!("{why}");
    }
}

fn started(mark: &str, what: &str) -> Child {
    let run = Command::new(std::env::current_exe().unwrap())
        .args(["--exact", "a_run_to_be_interrupted", "--nocapture"])
        .env(MARK, mark)
        .env(WHAT, what)
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .process_group(0)
        .spawn()
        .unwrap();
    until("the run has no router", || marked(mark).iter().any(|(_, name)| name == "cleatgw"));
    run
}

/// All that the run has left behind is over in moments, the router among it.
fn leaves_nothing(mark: &str) {
    let begun = Instant::now();
    while !marked(mark).is_empty() && begun.elapsed() < GENEROUS / 4 {
        std::thread::sleep(Duration::from_millis(5));
    }
    let left = marked(mark);
    for (process, _) in &left {
        // No later test is to meet it.
        let _ = kill_process(Pid::from_raw(*process).unwrap(), Signal::KILL);
    }
    assert_eq!(left, [], "left behind");
}

/// Ended by a signal to the run alone.
fn interrupted_by(signal: Signal, what: &str) {
    let mark = format!("{}-{}-{what}", std::process::id(), signal.as_raw());
    let mut run = started(&mark, what);
    kill_process(Pid::from_child(&run), signal).unwrap();
    assert_eq!(run.wait().unwrap().signal(), Some(signal.as_raw()), "the signal has ended it");
    leaves_nothing(&mark);
}

#[test]
fn a_run_that_is_killed_leaves_no_process() {
    interrupted_by(Signal::KILL, "clients");
}

#[test]
fn a_run_that_is_interrupted_leaves_no_process() {
    interrupted_by(Signal::INT, "clients");
}

#[test]
fn a_run_that_is_failed_leaves_no_process() {
    interrupted_by(Signal::TERM, "clients");
}

/// Also where the terminal's Ctrl-C reaches the whole group.
#[test]
fn a_run_whose_group_is_interrupted_leaves_no_process() {
    let mark = format!("{}-group", std::process::id());
    let mut run = started(&mark, "clients");
    rustix::process::kill_process_group(Pid::from_child(&run), Signal::INT).unwrap();
    assert_eq!(run.wait().unwrap().signal(), Some(Signal::INT.as_raw()));
    leaves_nothing(&mark);
}

/// Those that start routers as the stories do.
#[test]
fn runs_of_lists_and_links_that_are_killed_or_failed_leave_no_process() {
    for what in ["lists", "links"] {
        interrupted_by(Signal::KILL, what);
        interrupted_by(Signal::TERM, what);
    }
}

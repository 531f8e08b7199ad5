//! Checks that the scale tests of the test bed leave no process behind, whichever signal ends them.

use cleatgw_testbed::capacity::{measure, Ask};
use cleatgw_testbed::stand_ins::GENEROUS;
use rustix::process::{kill_process, Pid, Signal};
use std::os::unix::process::{CommandExt, ExitStatusExt};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Environment variable with the identifier of a scale test run; every process started by the run inherits it.
const RUN_VARIABLE: &str = "CAPACITY_TEST_RUN";
/// Environment variable with the name of the measurement that the run performs.
const MEASUREMENT_VARIABLE: &str = "CAPACITY_TEST_WHAT";

/// Process ids and names of the processes of this run that still exist.
fn processes_of_run(run_id: &str) -> Vec<(i32, String)> {
    let assignment = format!("{RUN_VARIABLE}={run_id}");
    let processes = std::fs::read_dir("/proc")
        .unwrap()
        .filter_map(|entry| entry.ok()?.file_name().to_str()?.parse().ok());
    let of_run = processes.filter(|process: &i32| {
        let environment = std::fs::read(format!("/proc/{process}/environ")).unwrap_or_default();
        environment.split(|&byte| byte == 0).any(|variable| variable == assignment.as_bytes())
    });
    let with_names = of_run.map(|process| {
        let name = std::fs::read_to_string(format!("/proc/{process}/comm")).unwrap_or_default();
        (process, name.trim_end().to_string())
    });
    with_names.collect()
}

/// Waits until the condition holds; panics with the message after [`GENEROUS`].
fn wait_until(failure: &str, condition: impl Fn() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < GENEROUS, "{failure}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// The run that the other tests interrupt. They start this test binary as a separate process with only this test;
/// without the environment variable the test does nothing.
#[test]
fn a_run_to_be_interrupted() {
    if std::env::var_os(RUN_VARIABLE).is_none() {
        return;
    }
    let program = env!("CARGO_BIN_EXE_cleatgw").into();
    let ask = Ask { seed: 1, sizes: Some(vec![5.0, 10.0]), plays: 5, program };
    let measurement = std::env::var(MEASUREMENT_VARIABLE).unwrap();
    if let Err(why) = measure(&measurement, &ask) {
        panic!("{why}");
    }
}

/// Starts a run in its own process group and waits until one of its routers exists.
fn start_run(run_id: &str, measurement: &str) -> Child {
    let run = Command::new(std::env::current_exe().unwrap())
        .args(["--exact", "a_run_to_be_interrupted", "--nocapture"])
        .env(RUN_VARIABLE, run_id)
        .env(MEASUREMENT_VARIABLE, measurement)
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .process_group(0)
        .spawn()
        .unwrap();
    wait_until("the run started no router", || {
        processes_of_run(run_id).iter().any(|(_, name)| name == "cleatgw")
    });
    run
}

/// Asserts that all processes of the run, its routers included, end within a quarter of [`GENEROUS`].
fn assert_no_process_left(run_id: &str) {
    let start = Instant::now();
    while !processes_of_run(run_id).is_empty() && start.elapsed() < GENEROUS / 4 {
        std::thread::sleep(Duration::from_millis(5));
    }
    let left = processes_of_run(run_id);
    for (process, _) in &left {
        // Later tests must not run beside this process.
        let _ = kill_process(Pid::from_raw(*process).unwrap(), Signal::KILL);
    }
    assert_eq!(left, [], "processes left behind");
}

/// Sends the signal to the run's first process alone and asserts that no process of the run is left.
fn assert_signal_leaves_no_process(signal: Signal, measurement: &str) {
    let run_id = format!("{}-{}-{measurement}", std::process::id(), signal.as_raw());
    let mut run = start_run(&run_id, measurement);
    kill_process(Pid::from_child(&run), signal).unwrap();
    assert_eq!(run.wait().unwrap().signal(), Some(signal.as_raw()), "the run was not ended by the signal");
    assert_no_process_left(&run_id);
}

#[test]
fn a_run_that_is_killed_leaves_no_process() {
    assert_signal_leaves_no_process(Signal::KILL, "clients");
}

#[test]
fn a_run_that_is_interrupted_leaves_no_process() {
    assert_signal_leaves_no_process(Signal::INT, "clients");
}

#[test]
fn a_run_that_is_terminated_leaves_no_process() {
    assert_signal_leaves_no_process(Signal::TERM, "clients");
}

/// Ctrl-C in a terminal sends SIGINT to the whole process group.
#[test]
fn a_run_whose_group_is_interrupted_leaves_no_process() {
    let run_id = format!("{}-group", std::process::id());
    let mut run = start_run(&run_id, "clients");
    rustix::process::kill_process_group(Pid::from_child(&run), Signal::INT).unwrap();
    assert_eq!(run.wait().unwrap().signal(), Some(Signal::INT.as_raw()));
    assert_no_process_left(&run_id);
}

/// The measurements `lists` and `links` start their routers in the same way as the scenario tests.
#[test]
fn runs_of_lists_and_links_that_are_killed_or_terminated_leave_no_process() {
    for measurement in ["lists", "links"] {
        assert_signal_leaves_no_process(Signal::KILL, measurement);
        assert_signal_leaves_no_process(Signal::TERM, measurement);
    }
}

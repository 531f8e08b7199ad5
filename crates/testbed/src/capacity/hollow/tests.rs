use super::*;

/// Variable that marks the processes of the test in their environment.
const MARK_VARIABLE: &str = "SUPERVISOR_TEST_RUN";

/// The processes that have this mark in their environment.
fn marked_processes(mark: &str) -> Vec<u32> {
    let assignment = format!("{MARK_VARIABLE}={mark}");
    let processes = std::fs::read_dir("/proc")
        .unwrap()
        .filter_map(|entry| entry.ok()?.file_name().to_str()?.parse().ok());
    let is_marked = |process: &u32| {
        let environment = std::fs::read(format!("/proc/{process}/environ")).unwrap_or_default();
        environment.split(|&byte| byte == 0).any(|variable| variable == assignment.as_bytes())
    };
    processes.filter(is_marked).collect()
}

/// Guards against a process that outlives the test bed: the test bed ended after it had started the shell that supervises
/// the process and before that shell wrote the process's id, so that writing it failed by SIGPIPE.
#[test]
fn a_supervised_process_is_killed_although_nobody_reads_its_id() {
    let mark = std::process::id().to_string();
    let (reader, writer) = std::io::pipe().unwrap();
    drop(reader);
    let mut supervisor = Command::new("sh")
        .args(["-c", SUPERVISES, "64", "sleep", "60"])
        .env(MARK_VARIABLE, &mark)
        .env("BALANCER_CONFIG", "/dev/null/none")
        .stdin(Stdio::null())
        .stdout(writer)
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    supervisor.wait().unwrap();
    let left = marked_processes(&mark);
    for process in &left {
        let _ = Command::new("kill").arg(process.to_string()).status();
    }
    assert!(left.is_empty(), "processes left behind: {left:?}");
}

//! Golden test of the simulator's wire protocol: the replies to an example input with most of the events must be byte
//! for byte those in `golden/`, which the version before the code was restructured wrote. `TRACE` lines are left out,
//! as the text of log lines may change.

use expect_test::expect_file;
use std::fmt::Write as _;
use std::io::Write as _;
use std::process::{Command, Stdio};

const PROGRAM: &str = env!("CARGO_BIN_EXE_cleatgw-adapter");

const SETTINGS: &str = "balancers=3 self-index=1 categories.count=3 \
    categories.0.name=look categories.0.objective-us=1000000 categories.0.idempotency=safe categories.0.gain=1 \
    categories.1.name=report categories.1.objective-us=4000000 categories.1.idempotency=safe categories.1.gain=5 \
    categories.2.name=write categories.2.objective-us=2000000 categories.2.idempotency=unsafe categories.2.gain=3 \
    limits.max-attempts=3 limits.cancel=1 limits.peers=1 limits.retry-after=1 limits.max-retry-after-us=500000 \
    shapes=std,big zones=a,b family-info.cores-by-kind=8,16 family-info.ram-of-kind-mb=4000,8000 \
    family-info.largest-share=0.5 family-info.grants-count=1 family-info.takes-priority=1 \
    report.columns=outstanding,backlog,x0 \
    rules.cold-from=0.3 rules.warm-after-us=3000000 rules.fall-multiple=2 rules.overload-for-us=1000000";

/// Runs the program on this input. Returns its output, its error output, and whether it succeeded.
fn run_program(arguments: &[&str], input: &str) -> (String, String, bool) {
    let mut child = Command::new(PROGRAM)
        .args(arguments)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program did not start");
    let mut stdin = child.stdin.take().expect("standard input is not piped");
    let input = input.to_string();
    let writer = std::thread::spawn(move || {
        // Writing may fail, because the program ends at a malformed line without reading the rest.
        let _ = stdin.write_all(input.as_bytes());
    });
    let output = child.wait_with_output().expect("waiting for the program failed");
    writer.join().expect("the writer panicked");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (text(&output.stdout), text(&output.stderr), output.status.success())
}

/// The text without its `TRACE` lines.
fn without_traces(text: &str) -> String {
    text.lines().filter(|line| !line.starts_with("TRACE ")).map(|line| line.to_string() + "\n").collect()
}

/// An example input in which an engine drains, a request is withdrawn, the engine list fails, and attempts end in
/// different ways or not at all.
fn example_input() -> String {
    let mut text = String::new();
    let mut batch = 0;
    let mut write_batch = |text: &mut String, now: u64, lines: &[String]| {
        batch += 1;
        writeln!(text, "MARK {now} {batch}").expect("writing to a string does not fail");
        for line in lines {
            writeln!(text, "{line}").expect("writing to a string does not fail");
        }
        writeln!(text, "EOB").expect("writing to a string does not fail");
    };
    let entry = |number: usize, stage: &str| {
        let (kind, zone) = (["std", "big"][number % 2], ["a", "b"][number % 2]);
        format!("ENTRY - {kind} {zone} 10.0.0.{number}:1 {stage} {number} 1")
    };
    let mut first = vec![format!("BEGIN router_1 7 {SETTINGS}"), "SHEET 0 4".to_string()];
    first.extend((1..=4).map(|number| entry(number, "Ready")));
    first.push("BACKENDS_CHANGED router_1 0 disk 1".to_string());
    write_batch(&mut text, 1_000_000, &first);
    for step in 0..40u64 {
        let now = 1_100_000 + step * 50_000;
        let request = 100 + step;
        let class = ["look", "report", "write"][(step % 3) as usize];
        let state_bits = step % 2;
        let mut lines = vec![format!(
            "CALL router_1 {request} {} - - {class} {} {} {state_bits} {}",
            20_000 + 1000 * step,
            100 + 10 * step,
            step % 5,
            now + 4_000_000
        )];
        if step % 4 == 3 {
            let outcome =
                ["done", "err", "econnrefused", "etimedout", "busy", "econnreset"][(step / 4 % 6) as usize];
            // The measured cost holds milliseconds of work and, in its low 12 bits, units of 4 MB.
            let (cost, request_done) =
                if outcome == "done" { ((21 * 4096 + 25).to_string(), 1) } else { ("-".to_string(), 0) };
            for engine in 1..=4 {
                lines.push(format!(
                    "OUTCOME router_1 {} {cost} 0 10.0.0.{engine}:1 {outcome} {request_done} 30000 3,0,0.5",
                    request - 3
                ));
            }
        }
        if step == 12 {
            lines.push("SHEET 1 1".to_string());
            lines.push(entry(2, "Terminating"));
            lines.push("BACKENDS_CHANGED router_1 1 diff 2".to_string());
        }
        if step == 18 {
            lines.push(format!("WITHDRAWN router_1 {}", request - 1));
            lines.push(format!("NOTICE router_1 {} 0 10.0.0.1:1 2 0", request - 2));
            lines.push("PEER router_1 2 AAAA".to_string());
            lines.push("BACKENDS_CHANGED router_1 - error -".to_string());
        }
        write_batch(&mut text, now, &lines);
    }
    write_batch(&mut text, 9_000_000, &["DEADLINE_HIT router_1 due".to_string()]);
    write_batch(&mut text, 9_100_000, &["KILLED router_1".to_string()]);
    text
}

#[test]
fn replies_to_the_example_input_equal_the_golden_files() {
    for (name, arguments) in [("plain", &[][..]), ("tells", &["--tell-of-engines"][..])] {
        let (replies, errors, succeeded) = run_program(arguments, &example_input());
        assert!(succeeded, "{errors}");
        assert!(replies.matches("ASSIGN ").count() > 20, "{replies}");
        match name {
            "plain" => expect_file!["golden/plain.txt"].assert_eq(&without_traces(&replies)),
            _ => expect_file!["golden/tells.txt"].assert_eq(&without_traces(&replies)),
        }
    }
}

#[test]
fn errors_about_malformed_lines_equal_the_golden_file() {
    let lines = [
        "HELLO",
        "MARK soon 1",
        "MARK 1 1\nMARK 2 2",
        "MARK 1 1\nENTRY x",
        "MARK 1 1\nSHEET 0 1\nEOB",
        "MARK 1 1\nHELLO router_1",
        "MARK 1 1\nCALL router_1 5 - - - look - 11 0 9",
        "MARK 1 1\nBEGIN router_1 7 balancers=many",
        "MARK 1 1",
        "MARK 1 1\nSHEET 0 1\nENTRY - std a 10.0.0.1:1 Asleep 0 1",
    ];
    let mut text = String::new();
    for line in lines {
        let (_, errors, succeeded) = run_program(&[], &format!("{line}\n"));
        assert!(!succeeded);
        text += &format!("{} -> {errors}", line.escape_default());
    }
    let (_, errors, succeeded) = run_program(&["--unheard-of"], "");
    assert!(!succeeded);
    text += &errors;
    expect_file!["golden/complaints.txt"].assert_eq(&text);
}

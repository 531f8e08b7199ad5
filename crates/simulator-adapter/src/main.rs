//! The simulator's wire on standard input and output, cleatgw's decisions between them.

mod host;
mod wire;

use cleatgw_operator_config::TeamsFile;
use std::io::{self, BufRead, Write};
use std::process::ExitCode;

fn serve(input: &mut dyn BufRead, output: &mut dyn Write, told: Told) -> Result<(), String> {
    let mut host = host::Host::default();
    (host.tenants, host.tells) = (told.tenants, told.tells);
    let mut text = Vec::new();
    let mut number = 0;
    loop {
        text.clear();
        if input.read_until(b'\n', &mut text).map_err(|error| format!("reading: {error}"))? == 0 {
            break;
        }
        number += 1;
        let line = std::str::from_utf8(&text)
            .map_err(|_| format!("line {number}: expected UTF-8 text"))?
            .trim_end_matches(['\n', '\r']);
        if let Some(reply) = host.line(number, line).map_err(|complaint| complaint.0)? {
            let sent = output.write_all(reply.as_bytes()).and_then(|()| output.flush());
            sent.map_err(|error| format!("writing: {error}"))?;
        }
    }
    if host.in_batch() {
        return Err(format!("line {number}: expected EOB, got the end of input"));
    }
    Ok(())
}

/// What the command line says: the operator's tenants (`--teams file`), and that instances tell each other of engines where
/// the deployment allows that (`--tell-of-engines`).
#[derive(Default)]
struct Told {
    tenants: Option<TeamsFile>,
    tells: bool,
}

fn told() -> Result<Told, String> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match &arguments.iter().map(String::as_str).collect::<Vec<_>>()[..] {
        [] => Ok(Told::default()),
        ["--tell-of-engines"] => Ok(Told { tenants: None, tells: true }),
        ["--teams", path] => {
            let text = std::fs::read_to_string(path).map_err(|error| format!("{path}: {error}"))?;
            let tenants =
                cleatgw_operator_config::read_teams(&text).map_err(|wrong| format!("{path}: {}", wrong.0))?;
            Ok(Told { tenants: Some(tenants), tells: false })
        }
        other => Err(format!("expected --teams FILE, --tell-of-engines or nothing, got {}", other.join(" "))),
    }
}

fn main() -> ExitCode {
    // A panic in the decisions goes out as the wire's fault report, not as a trace.
    std::panic::set_hook(Box::new(|_| {}));
    let done = told().and_then(|told| serve(&mut io::stdin().lock(), &mut io::stdout().lock(), told));
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(complaint) => {
            eprintln!("cleatgw-adapter: {complaint}");
            ExitCode::FAILURE
        }
    }
}

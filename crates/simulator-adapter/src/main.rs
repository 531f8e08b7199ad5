//! Runs cleatgw's decision core under a simulator: reads the simulator's wire protocol from standard input, and writes
//! the actions of the decision core to standard output.

mod engine_list;
mod error;
mod fields;
mod host;
mod identities;
mod instance;
mod peer_digests;
mod reply_writer;
mod units;

use cleatgw_operator_config::{read_teams, OperatorFileError, TeamsFile};
use error::WireError;
use host::Host;
use std::io::{self, BufRead, Write};
use std::process::ExitCode;

/// Why the program ends with an error.
#[derive(Debug, thiserror::Error)]
enum AdapterError {
    #[error("expected --teams FILE, --tell-of-engines or nothing, got {0}")]
    Arguments(String),
    #[error("{path}: {source}")]
    UnreadableTeams { path: String, source: io::Error },
    #[error("{path}: {source}")]
    Teams { path: String, source: OperatorFileError },
    #[error("reading: {0}")]
    Reading(io::Error),
    #[error("writing: {0}")]
    Writing(io::Error),
    #[error("line {0}: expected UTF-8 text")]
    NotUtf8(u64),
    #[error("line {0}: expected EOB, got the end of input")]
    UnfinishedBatch(u64),
    #[error(transparent)]
    Line(#[from] WireError),
}

/// Answers the batches of the input until its end.
fn serve(input: &mut dyn BufRead, output: &mut dyn Write, mut host: Host) -> Result<(), AdapterError> {
    let mut bytes = Vec::new();
    let mut line_number = 0;
    loop {
        bytes.clear();
        if input.read_until(b'\n', &mut bytes).map_err(AdapterError::Reading)? == 0 {
            break;
        }
        line_number += 1;
        let text = std::str::from_utf8(&bytes).map_err(|_| AdapterError::NotUtf8(line_number))?;
        if let Some(reply) = host.read_line(line_number, text.trim_end_matches(['\n', '\r']))? {
            output.write_all(reply.as_bytes()).map_err(AdapterError::Writing)?;
            output.flush().map_err(AdapterError::Writing)?;
        }
    }
    if host.in_batch() {
        return Err(AdapterError::UnfinishedBatch(line_number));
    }
    Ok(())
}

fn load_teams(path: &str) -> Result<TeamsFile, AdapterError> {
    let text = std::fs::read_to_string(path)
        .map_err(|source| AdapterError::UnreadableTeams { path: path.to_string(), source })?;
    read_teams(&text).map_err(|source| AdapterError::Teams { path: path.to_string(), source })
}

/// Reads the command line. `--teams FILE` configures the operator's teams. With `--tell-of-engines`, instances send
/// each other digests of what they observe of engines, if the deployment allows it.
fn host_from_arguments() -> Result<Host, AdapterError> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match &arguments.iter().map(String::as_str).collect::<Vec<_>>()[..] {
        [] => Ok(Host::new(None, false)),
        ["--tell-of-engines"] => Ok(Host::new(None, true)),
        ["--teams", path] => Ok(Host::new(Some(load_teams(path)?), false)),
        other => Err(AdapterError::Arguments(other.join(" "))),
    }
}

fn main() -> ExitCode {
    // A panic of the decision core is reported in a `FAULT` line of the reply. The hook suppresses the usual message.
    std::panic::set_hook(Box::new(|_| {}));
    let result =
        host_from_arguments().and_then(|host| serve(&mut io::stdin().lock(), &mut io::stdout().lock(), host));
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("cleatgw-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}

//! The simulator's wire on standard input and output, cleatgw's decisions between them.

mod host;
mod wire;

use std::io::{self, BufRead, Write};
use std::process::ExitCode;

fn serve(input: &mut dyn BufRead, output: &mut dyn Write) -> Result<(), String> {
    let mut host = host::Host::default();
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

fn main() -> ExitCode {
    // A panic in the decisions goes out as the wire's fault report, not as a trace.
    std::panic::set_hook(Box::new(|_| {}));
    match serve(&mut io::stdin().lock(), &mut io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(complaint) => {
            eprintln!("cleatgw-adapter: {complaint}");
            ExitCode::FAILURE
        }
    }
}

//! The former name of `cleatgw-testbed`, kept for one release.

use std::process::ExitCode;

fn main() -> ExitCode {
    cleatgw_testbed::command_line::run()
}

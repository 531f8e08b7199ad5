//! `cleatgw-testbed`: measurements that the kit's benches can't show. The last line of each is one JSON object.

use std::process::ExitCode;

fn main() -> ExitCode {
    cleatgw_testbed::command_line::run()
}

//! The program `cleatgw`: a query gateway that serves clients over sockets, and commands to check and query it.

mod cli;
mod commands;
mod config;
mod files;
mod log_lines;
mod memory_budget;
mod protocol;
mod routing;
mod status_query;
mod status_row;
mod transport;

use cli::Command;
use commands::{check, lease_holder, schema, serve, status, CommandError};
use std::process::ExitCode;

fn run(command: Command) -> Result<(), CommandError> {
    match command {
        Command::Serve { config, files, .. } => serve::run(config, files),
        Command::Check { config, files } => check::run(config, &files),
        Command::Schema { file } => schema::run(&file),
        Command::Status { address, topic } => status::run(address, &topic),
        Command::LeaseHolder { address, role } => lease_holder::run(address, &role),
        Command::Version => {
            println!("cleatgw {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
    }
}

fn main() -> ExitCode {
    let command = cli::options().run();
    log_lines::init(command.log_format());
    match run(command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("cleatgw: {error}");
            ExitCode::FAILURE
        }
    }
}

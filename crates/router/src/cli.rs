//! The command line.

use crate::commands::OperatorFiles;
use crate::log_lines::LogFormat;
use bpaf::{construct, long, positional, pure, OptionParser, Parser};
use std::net::SocketAddr;
use std::path::PathBuf;

/// A command with its arguments.
#[derive(Clone, Debug)]
pub enum Command {
    Serve { config: Option<PathBuf>, files: OperatorFiles, log_format: LogFormat },
    Check { config: Option<PathBuf>, files: OperatorFiles },
    Schema { file: String },
    Status { address: SocketAddr, topic: String },
    LeaseHolder { address: SocketAddr, role: String },
    Version,
}

impl Command {
    /// The format of the log lines. Only `serve` has an option for it.
    pub fn log_format(&self) -> LogFormat {
        match self {
            Command::Serve { log_format, .. } => *log_format,
            _ => LogFormat::Text,
        }
    }
}

/// The parser of all commands with their options. Without a command, the program serves.
pub fn options() -> OptionParser<Command> {
    let serve = serve();
    let check = check();
    let schema = schema();
    let status = status();
    let lease_holder = lease_holder();
    let version = version();
    let without_command =
        pure(Command::Serve { config: None, files: OperatorFiles::default(), log_format: LogFormat::Text });
    construct!([serve, check, schema, status, lease_holder, version, without_command])
        .to_options()
        .descr("A query gateway: decides which requests run, on which engine, and with how much memory")
}

fn operator_files() -> impl Parser<OperatorFiles> {
    let service =
        long("service").help("File with the service addresses that this router announces, and its BGP peers");
    let service = service.argument::<PathBuf>("FILE").optional();
    let teams = long("teams").help("File with the teams that share the engines");
    let teams = teams.argument::<PathBuf>("FILE").optional();
    let cluster = long("cluster").help("File with the routers of this router's cluster");
    let cluster = cluster.argument::<PathBuf>("FILE").optional();
    let store =
        long("store").help("File that says where this router stores the state that it needs after a restart");
    let store = store.argument::<PathBuf>("FILE").optional();
    construct!(OperatorFiles { service, teams, cluster, store })
}

fn serve() -> impl Parser<Command> {
    let config = long("config")
        .short('c')
        .help("Configuration file (default: the file that BALANCER_CONFIG names)")
        .argument("FILE")
        .optional();
    let log_format = long("log-format")
        .help("Format of the log lines: text (default) or json")
        .argument("FORM")
        .fallback(LogFormat::Text);
    let files = operator_files();
    construct!(Command::Serve { config, files, log_format })
        .to_options()
        .descr("Serve clients until SIGTERM")
        .command("serve")
}

fn check() -> impl Parser<Command> {
    let config = positional("FILE").help("Configuration file").optional();
    let files = operator_files();
    construct!(Command::Check { files, config })
        .to_options()
        .descr("Read a configuration or operator's files, and print a summary or the first error")
        .command("check")
}

fn schema() -> impl Parser<Command> {
    let file = positional("FILE")
        .help("Kind of file: service (default), teams, cluster or store")
        .fallback("service".to_string());
    construct!(Command::Schema { file })
        .to_options()
        .descr("Print the JSON schema of an operator's file")
        .command("schema")
}

fn router_address() -> impl Parser<SocketAddr> {
    positional("ADDRESS").help("Address and port that the router listens on")
}

fn status() -> impl Parser<Command> {
    let address = router_address();
    let topic = positional("OF").help("Topic: announcements (default), cluster, duties, store or teams");
    let topic = topic.fallback("announcements".to_string());
    construct!(Command::Status { address, topic })
        .to_options()
        .descr("Print a status table of a running router")
        .command("status")
}

fn lease_holder() -> impl Parser<Command> {
    let address = router_address();
    let role = positional("DUTY").help("Name of a duty in the cluster file");
    construct!(Command::LeaseHolder { address, role })
        .to_options()
        .descr("Succeed if a router holds a duty now, and print the duty's epoch")
        .command("holds")
}

fn version() -> impl Parser<Command> {
    pure(Command::Version).to_options().descr("Print the version").command("version")
}

//! The command line.

use crate::commands::OperatorFiles;
use crate::log_lines::Form;
use bpaf::{construct, long, positional, pure, OptionParser, Parser};
use std::net::SocketAddr;
use std::path::PathBuf;

/// What is to be done.
#[derive(Clone, Debug)]
pub enum Command {
    Serve { config: Option<PathBuf>, files: OperatorFiles, form: Form },
    Check { config: Option<PathBuf>, files: OperatorFiles },
    Schema { file: String },
    Status { address: SocketAddr, topic: String },
    LeaseHolder { address: SocketAddr, role: String },
    Version,
}

impl Command {
    /// The form of the log lines.
    pub fn log_form(&self) -> Form {
        match self {
            Command::Serve { form, .. } => *form,
            _ => Form::Text,
        }
    }
}

/// All commands with their options.
pub fn options() -> OptionParser<Command> {
    let serve = serve();
    let check = check();
    let schema = schema();
    let status = status();
    let lease_holder = lease_holder();
    let version = version();
    let none = pure(Command::Serve { config: None, files: OperatorFiles::default(), form: Form::Text });
    construct!([serve, check, schema, status, lease_holder, version, none])
        .to_options()
        .descr("A query gateway: decides what runs, where, and with how much memory")
}

fn operator_files() -> impl Parser<OperatorFiles> {
    let service = long("service").help("The service addresses that follow this router");
    let service = service.argument::<PathBuf>("FILE").optional();
    let teams = long("teams").help("The teams that share the engines");
    let teams = teams.argument::<PathBuf>("FILE").optional();
    let cluster = long("cluster").help("The routers that know each other");
    let cluster = cluster.argument::<PathBuf>("FILE").optional();
    let store = long("store").help("Where this router keeps what it needs after a restart");
    let store = store.argument::<PathBuf>("FILE").optional();
    construct!(OperatorFiles { service, teams, cluster, store })
}

fn serve() -> impl Parser<Command> {
    let config = long("config")
        .short('c')
        .help("The configuration; without it, the file that BALANCER_CONFIG names")
        .argument("FILE")
        .optional();
    let form = long("log-format").help("text (the usual one) or json").argument("FORM").fallback(Form::Text);
    let files = operator_files();
    construct!(Command::Serve { config, files, form })
        .to_options()
        .descr("Serves clients until SIGTERM")
        .command("serve")
}

fn check() -> impl Parser<Command> {
    let config = positional("FILE").help("The configuration").optional();
    let files = operator_files();
    construct!(Command::Check { files, config })
        .to_options()
        .descr("Reads a configuration or operator's files, and says what they hold or what is wrong")
        .command("check")
}

fn schema() -> impl Parser<Command> {
    let file = positional("FILE")
        .help("service (the usual one), teams, cluster or store")
        .fallback("service".to_string());
    construct!(Command::Schema { file })
        .to_options()
        .descr("Prints the schema of an operator's file")
        .command("schema")
}

fn router_address() -> impl Parser<SocketAddr> {
    positional("ADDRESS").help("Where the router listens, with its port")
}

fn status() -> impl Parser<Command> {
    let address = router_address();
    let topic = positional("OF").help("announcements (the usual one), cluster, duties, store or teams");
    let topic = topic.fallback("announcements".to_string());
    construct!(Command::Status { address, topic })
        .to_options()
        .descr("Asks a router how something stands")
        .command("status")
}

fn lease_holder() -> impl Parser<Command> {
    let address = router_address();
    let role = positional("DUTY").help("A duty of the cluster file");
    construct!(Command::LeaseHolder { address, role })
        .to_options()
        .descr("Succeeds where a router holds a duty now, and tells its epoch")
        .command("holds")
}

fn version() -> impl Parser<Command> {
    pure(Command::Version).to_options().descr("Prints the version").command("version")
}

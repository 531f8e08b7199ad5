//! cleatgw: the query gateway on sockets.

mod config;
mod log_lines;
mod protocol;
mod routing;
mod status;
mod transport;

use bpaf::{construct, long, positional, pure, OptionParser, Parser};
use cleatgw_operator::{ServiceFile, TeamsFile};
use log_lines::Form;
use routing::{News, Routing};
use rustix::process::{getrlimit, setrlimit, Resource, Rlimit};
use serde_json::Value;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use transport::{Operators, Reread};

const CONFIG: &str = "BALANCER_CONFIG";

#[derive(Clone, Debug)]
enum Command {
    Serve { config: Option<PathBuf>, service: Option<PathBuf>, teams: Option<PathBuf>, form: Form },
    Check { config: Option<PathBuf>, service: Option<PathBuf>, teams: Option<PathBuf> },
    Schema { of: String },
    Status { address: SocketAddr },
    Version,
}

fn options() -> OptionParser<Command> {
    let service = || {
        let file = long("service").help("The service addresses that follow this router");
        file.argument::<PathBuf>("FILE").optional()
    };
    let teams = || {
        let file = long("teams").help("The teams that share the engines");
        file.argument::<PathBuf>("FILE").optional()
    };
    let serve = {
        let config = long("config")
            .short('c')
            .help("The configuration; without it, the file that BALANCER_CONFIG names")
            .argument("FILE")
            .optional();
        let form =
            long("log-format").help("text (the usual one) or json").argument("FORM").fallback(Form::Text);
        let (service, teams) = (service(), teams());
        construct!(Command::Serve { config, service, teams, form })
    };
    let serve = serve.to_options().descr("Serves clients until SIGTERM").command("serve");
    let check = {
        let config = positional("FILE").help("The configuration").optional();
        let (service, teams) = (service(), teams());
        construct!(Command::Check { service, teams, config })
    };
    let check = check
        .to_options()
        .descr("Reads a configuration or operator's files, and says what they hold or what is wrong")
        .command("check");
    let schema = {
        let of = positional("FILE").help("service (the usual one) or teams").fallback("service".to_string());
        construct!(Command::Schema { of })
    };
    let schema = schema.to_options().descr("Prints the schema of an operator's file").command("schema");
    let status = {
        let address = positional("ADDRESS").help("Where the router listens, with its port");
        construct!(Command::Status { address })
    };
    let status = status.to_options().descr("Asks a router how its service addresses stand").command("status");
    let version = pure(Command::Version).to_options().descr("Prints the version").command("version");
    let none = pure(Command::Serve { config: None, service: None, teams: None, form: Form::Text });
    construct!([serve, check, schema, status, version, none])
        .to_options()
        .descr("A query gateway: decides what runs, where, and with how much memory")
}

fn service(path: &Path) -> Result<ServiceFile, String> {
    let text = std::fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?;
    cleatgw_operator::read(&text).map_err(|wrong| format!("{}: {}", path.display(), wrong.0))
}

fn path(config: Option<PathBuf>) -> Result<PathBuf, String> {
    let path = config.or_else(|| std::env::var_os(CONFIG).map(PathBuf::from));
    path.ok_or(format!("no configuration: give --config FILE or set {CONFIG}"))
}

fn told(path: &Path) -> Result<config::Told, String> {
    let text = std::fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?;
    config::read(&text).map_err(|complaint| format!("{}: {}", path.display(), complaint.0))
}

/// As many as the configuration states, or else as the system can be brought to allow.
fn descriptors(stated: u64) -> u64 {
    let limit = getrlimit(Resource::Nofile);
    let wanted = stated.min(limit.maximum.unwrap_or(u64::MAX));
    match limit.current {
        Some(current) if current < wanted => {
            let raised = Rlimit { current: Some(wanted), ..limit };
            setrlimit(Resource::Nofile, raised).map_or(current, |()| wanted)
        }
        _ => wanted,
    }
}

/// What of a new configuration takes effect while the router runs.
fn reread(path: &Path, fixed: &[(&str, Value)]) -> Result<Reread, String> {
    let told = told(path)?;
    let changed = fixed.iter().zip(&told.fixed).filter(|(was, is)| *was != *is);
    let changed: Vec<&str> = changed.map(|((field, _), _)| *field).collect();
    if !changed.is_empty() {
        log::warn!("configuration: {} can't change while running, what was stands", changed.join(", "));
    }
    Ok(Reread { board: told.place.board, known: told.known })
}

fn teams(path: &Path) -> Result<TeamsFile, String> {
    let text = std::fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?;
    cleatgw_operator::read_teams(&text).map_err(|wrong| format!("{}: {}", path.display(), wrong.0))
}

fn serve(
    config: Option<PathBuf>,
    service_path: Option<PathBuf>,
    teams_path: Option<PathBuf>,
) -> Result<(), String> {
    let path = path(config)?;
    let mut told = told(&path)?;
    let service_file = service_path.as_deref().map(service).transpose()?;
    let teams_file = teams_path.as_deref().map(teams).transpose()?;
    let operators = Operators {
        service: service_file.map(|file| (file, told.seed)),
        reread_service: Box::new(move || service(service_path.as_deref().unwrap_or(Path::new("")))),
        reread_teams: teams_path.map(|path| Box::new(move || teams(&path)) as _),
    };
    told.place.descriptors = descriptors(told.place.descriptors as u64) as usize;
    log::info!("{} starts, version {}", told.name, env!("CARGO_PKG_VERSION"));
    let mut routing = Routing::new(told.deployment, told.names, told.seed, transport::unix_time());
    if let Some(file) = teams_file {
        routing.teams(file);
    }
    let news = News { lists: told.known, ..News::default() };
    let listen = told.place.listen;
    let fixed = told.fixed;
    let reread = Box::new(move || reread(&path, &fixed));
    let counters = transport::serve(told.place, routing, news, reread, operators)
        .map_err(|error| format!("{listen}: {error}"))?;
    log::info!("counters: {counters}");
    Ok(())
}

fn check_service(path: &Path) -> Result<(), String> {
    let file = service(path)?;
    let words = |items: Vec<String>| items.join(" ");
    println!(
        "{}: AS {}, identifier {}, {} peers ({}), {} addresses ({})",
        path.display(),
        file.bgp.asn,
        file.bgp.identifier,
        file.bgp.peers.len(),
        words(file.bgp.peers.iter().map(|peer| peer.name.clone()).collect()),
        file.addresses.len(),
        words(file.addresses.iter().map(|net| net.to_string()).collect()),
    );
    Ok(())
}

fn check_teams(path: &Path) -> Result<(), String> {
    let (line, names) = teams(path)?.line(0.0, &[]);
    println!("{}: {} lines ({})", path.display(), line.teams(), names.names().join(" "));
    Ok(())
}

fn check(config: Option<PathBuf>, service: Option<PathBuf>, teams: Option<PathBuf>) -> Result<(), String> {
    service.as_deref().map(check_service).transpose()?;
    teams.as_deref().map(check_teams).transpose()?;
    // Each may be checked alone.
    if (service.is_some() || teams.is_some()) && config.is_none() && std::env::var_os(CONFIG).is_none() {
        return Ok(());
    }
    let told = told(&path(config)?)?;
    let engines: usize =
        told.known.iter().filter_map(|event| event.list.as_ref()).map(|(_, list)| list.len()).sum();
    println!(
        "{}: listens on {}, {} categories ({}), {} gateways, {} engines told of in {} events",
        told.name,
        told.place.listen,
        told.names.categories.len(),
        told.names.categories.join(" "),
        told.deployment.gateways,
        engines,
        told.known.len()
    );
    Ok(())
}

fn main() -> ExitCode {
    let command = options().run();
    let form = match &command {
        Command::Serve { form, .. } => *form,
        _ => Form::Text,
    };
    log_lines::start(form);
    let done = match command {
        Command::Serve { config, service, teams, .. } => serve(config, service, teams),
        Command::Check { config, service, teams } => check(config, service, teams),
        Command::Status { address } => status::ask(address).map(|table| print!("{table}")),
        Command::Schema { of } => match of.as_str() {
            "service" => {
                print!("{}", cleatgw_operator::schema());
                Ok(())
            }
            "teams" => {
                print!("{}", cleatgw_operator::teams_schema());
                Ok(())
            }
            other => Err(format!("no file {other:?}: expected service or teams")),
        },
        Command::Version => {
            println!("cleatgw {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(words) => {
            eprintln!("cleatgw: {words}");
            ExitCode::FAILURE
        }
    }
}

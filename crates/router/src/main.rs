//! cleatgw: the query gateway on sockets.

mod config;
mod log_lines;
mod protocol;
mod routing;
mod transport;

use bpaf::{construct, long, positional, pure, OptionParser, Parser};
use routing::{News, Routing};
use rustix::process::{getrlimit, setrlimit, Resource, Rlimit};
use serde_json::Value;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use transport::Reread;

const CONFIG: &str = "BALANCER_CONFIG";

#[derive(Clone, Debug)]
enum Command {
    Serve { config: Option<PathBuf> },
    Check { config: Option<PathBuf> },
    Version,
}

fn options() -> OptionParser<Command> {
    let config =
        long("config").short('c').help("The configuration; without it, the file that BALANCER_CONFIG names");
    let config = config.argument("FILE").optional();
    let serve = construct!(Command::Serve { config });
    let serve = serve.to_options().descr("Serves clients until SIGTERM").command("serve");
    let config = positional("FILE").help("The configuration").optional();
    let check = construct!(Command::Check { config });
    let check = check
        .to_options()
        .descr("Reads a configuration and says what it holds, or what is wrong")
        .command("check");
    let version = pure(Command::Version).to_options().descr("Prints the version").command("version");
    let none = pure(Command::Serve { config: None });
    construct!([serve, check, version, none])
        .to_options()
        .descr("A query gateway: decides what runs, where, and with how much memory")
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

fn serve(config: Option<PathBuf>) -> Result<(), String> {
    let path = path(config)?;
    let mut told = told(&path)?;
    told.place.descriptors = descriptors(told.place.descriptors as u64) as usize;
    log::info!("{} starts, version {}", told.name, env!("CARGO_PKG_VERSION"));
    let routing = Routing::new(told.deployment, told.names, told.seed, transport::unix_time());
    let news = News { lists: told.known, ..News::default() };
    let listen = told.place.listen;
    let fixed = told.fixed;
    let reread = Box::new(move || reread(&path, &fixed));
    let counters =
        transport::serve(told.place, routing, news, reread).map_err(|error| format!("{listen}: {error}"))?;
    log::info!("counters: {counters}");
    Ok(())
}

fn check(config: Option<PathBuf>) -> Result<(), String> {
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
    log_lines::start();
    let done = match options().run() {
        Command::Serve { config } => serve(config),
        Command::Check { config } => check(config),
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

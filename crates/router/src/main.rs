//! cleatgw: the query gateway on sockets.

mod config;
mod log_lines;
mod protocol;
mod routing;
mod status;
mod transport;

use bpaf::{construct, long, positional, pure, OptionParser, Parser};
use cleatgw_operator_config::{ClusterFile, ServiceFile, StoreFile, TeamsFile};
use log_lines::Form;
use routing::{News, Routing};
use rustix::process::{getrlimit, setrlimit, Resource, Rlimit};
use serde_json::Value;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use transport::{Joining, Operators, Reread};

const CONFIG: &str = "BALANCER_CONFIG";

/// The operator's files, each of which may be absent.
#[derive(Clone, Debug, Default)]
struct Files {
    service: Option<PathBuf>,
    tenants: Option<PathBuf>,
    cluster: Option<PathBuf>,
    store: Option<PathBuf>,
}

#[derive(Clone, Debug)]
enum Command {
    Serve { config: Option<PathBuf>, files: Files, form: Form },
    Check { config: Option<PathBuf>, files: Files },
    Schema { of: String },
    Status { address: SocketAddr, of: String },
    Holds { address: SocketAddr, role: String },
    Version,
}

fn options() -> OptionParser<Command> {
    let files = || {
        let service = long("service").help("The service addresses that follow this router");
        let service = service.argument::<PathBuf>("FILE").optional();
        let tenants = long("teams").help("The teams that share the engines");
        let tenants = tenants.argument::<PathBuf>("FILE").optional();
        let cluster = long("cluster").help("The routers that know each other");
        let cluster = cluster.argument::<PathBuf>("FILE").optional();
        let store = long("store").help("Where this router keeps what it needs after a restart");
        let store = store.argument::<PathBuf>("FILE").optional();
        construct!(Files { service, tenants, cluster, store })
    };
    let serve = {
        let config = long("config")
            .short('c')
            .help("The configuration; without it, the file that BALANCER_CONFIG names")
            .argument("FILE")
            .optional();
        let form =
            long("log-format").help("text (the usual one) or json").argument("FORM").fallback(Form::Text);
        let files = files();
        construct!(Command::Serve { config, files, form })
    };
    let serve = serve.to_options().descr("Serves clients until SIGTERM").command("serve");
    let check = {
        let config = positional("FILE").help("The configuration").optional();
        let files = files();
        construct!(Command::Check { files, config })
    };
    let check = check
        .to_options()
        .descr("Reads a configuration or operator's files, and says what they hold or what is wrong")
        .command("check");
    let schema = {
        let of = positional("FILE")
            .help("service (the usual one), teams, cluster or store")
            .fallback("service".to_string());
        construct!(Command::Schema { of })
    };
    let schema = schema.to_options().descr("Prints the schema of an operator's file").command("schema");
    let status = {
        let address = positional("ADDRESS").help("Where the router listens, with its port");
        let of = positional("OF").help("announcements (the usual one), cluster, duties, store or teams");
        let of = of.fallback("announcements".to_string());
        construct!(Command::Status { address, of })
    };
    let status = status.to_options().descr("Asks a router how something stands").command("status");
    let holds = {
        let address = positional("ADDRESS").help("Where the router listens, with its port");
        let role = positional("DUTY").help("A duty of the cluster file");
        construct!(Command::Holds { address, role })
    };
    let holds = holds.to_options().descr("Succeeds where a router holds a duty now, and tells its epoch");
    let holds = holds.command("holds");
    let version = pure(Command::Version).to_options().descr("Prints the version").command("version");
    let none = pure(Command::Serve { config: None, files: Files::default(), form: Form::Text });
    construct!([serve, check, schema, status, holds, version, none])
        .to_options()
        .descr("A query gateway: decides what runs, where, and with how much memory")
}

fn service(path: &Path) -> Result<ServiceFile, String> {
    let text = std::fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?;
    cleatgw_operator_config::read(&text).map_err(|wrong| format!("{}: {}", path.display(), wrong.0))
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
    Ok(Reread { discovery: told.place.discovery, known: told.known })
}

fn tenants(path: &Path) -> Result<TeamsFile, String> {
    let text = std::fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?;
    cleatgw_operator_config::read_teams(&text).map_err(|wrong| format!("{}: {}", path.display(), wrong.0))
}

fn cluster(path: &Path) -> Result<ClusterFile, String> {
    let text = std::fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?;
    cleatgw_operator_config::read_cluster(&text).map_err(|wrong| format!("{}: {}", path.display(), wrong.0))
}

fn store(path: &Path) -> Result<StoreFile, String> {
    let text = std::fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?;
    cleatgw_operator_config::read_store(&text).map_err(|wrong| format!("{}: {}", path.display(), wrong.0))
}

/// This router in its cluster, in an incarnation that begins now.
fn joining(path: &Path, name: &str, seed: u64) -> Result<Joining, String> {
    let file = cluster(path)?;
    let place = file.place(name).map_err(|wrong| format!("{}: {}", path.display(), wrong.0))?;
    Ok(Joining { file, place, born: (transport::unix_time() * 1e3) as u64, seed })
}

fn serve(config: Option<PathBuf>, files: Files) -> Result<(), String> {
    let Files { service: service_path, tenants: teams_path, cluster: cluster_path, store: store_path } =
        files;
    let path = path(config)?;
    let mut told = told(&path)?;
    let service_file = service_path.as_deref().map(service).transpose()?;
    let store_file = store_path.as_deref().map(store).transpose()?;
    let teams_file = teams_path.as_deref().map(tenants).transpose()?;
    let (name, seed) = (told.name.clone(), told.seed);
    let operators = Operators {
        store: store_file.map(|file| (file, cleatgw_deployment_config::name_hash(&told.name))),
        cluster: cluster_path.as_deref().map(|path| joining(path, &name, seed)).transpose()?,
        reread_cluster: Box::new(move || {
            joining(cluster_path.as_deref().unwrap_or(Path::new("")), &name, seed)
        }),
        service: service_file.map(|file| (file, told.seed)),
        reread_service: Box::new(move || service(service_path.as_deref().unwrap_or(Path::new("")))),
        reread_teams: teams_path.map(|path| Box::new(move || tenants(&path)) as _),
    };
    told.place.descriptors = descriptors(told.place.descriptors as u64) as usize;
    log::info!("{} starts, version {}", told.name, env!("CARGO_PKG_VERSION"));
    told.contradictions.iter().for_each(|words| log::warn!("configuration: contradictory {words}"));
    let mut routing = Routing::new(told.deployment, told.names, told.seed, transport::unix_time());
    if let Some(file) = teams_file {
        routing.tenants(file);
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
    let (line, names) = tenants(path)?.line(0.0, &[]);
    println!("{}: {} lines ({})", path.display(), line.tenants(), names.names().join(" "));
    Ok(())
}

fn check_cluster(path: &Path) -> Result<(), String> {
    let file = cluster(path)?;
    let names: Vec<&str> = file.routers.iter().map(|router| router.name.as_str()).collect();
    println!("{}: cluster {}, {} routers ({})", path.display(), file.name, names.len(), names.join(" "));
    Ok(())
}

fn check(config: Option<PathBuf>, files: Files) -> Result<(), String> {
    files.service.as_deref().map(check_service).transpose()?;
    files.tenants.as_deref().map(check_teams).transpose()?;
    files.cluster.as_deref().map(check_cluster).transpose()?;
    if let Some(path) = &files.store {
        println!("{}: keeps {}", path.display(), store(path)?.path.display());
    }
    // Each may be checked alone.
    let any = files.service.is_some()
        || files.tenants.is_some()
        || files.cluster.is_some()
        || files.store.is_some();
    if any && config.is_none() && std::env::var_os(CONFIG).is_none() {
        return Ok(());
    }
    let told = told(&path(config)?)?;
    if let Some(path) = &files.cluster {
        joining(path, &told.name, told.seed)?;
    }
    told.contradictions.iter().for_each(|words| eprintln!("{}: contradictory {words}", told.name));
    let engines: usize =
        told.known.iter().filter_map(|event| event.list.as_ref()).map(|(_, list)| list.len()).sum();
    println!(
        "{}: listens on {}, {} categories ({}), {} gateways, {} engines told of in {} events",
        told.name,
        told.place.listen,
        told.names.classes.len(),
        told.names.classes.join(" "),
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
        Command::Serve { config, files, .. } => serve(config, files),
        Command::Check { config, files } => check(config, files),
        Command::Status { address, of } => status::ask(address, &of).map(|table| print!("{table}")),
        Command::Holds { address, role } => status::holds(address, &role).map(|row| println!("{row}")),
        Command::Schema { of } => match of.as_str() {
            "service" => {
                print!("{}", cleatgw_operator_config::schema());
                Ok(())
            }
            "teams" => {
                print!("{}", cleatgw_operator_config::teams_schema());
                Ok(())
            }
            "cluster" => {
                print!("{}", cleatgw_operator_config::cluster_schema());
                Ok(())
            }
            "store" => {
                print!("{}", cleatgw_operator_config::store_schema());
                Ok(())
            }
            other => Err(format!("no file {other:?}: expected service, teams, cluster or store")),
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

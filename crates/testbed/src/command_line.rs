//! The command line of `cleatgw-testbed`.

use crate::capacity::{self, Ask};
use crate::scenarios::{
    announcers, drain, flap, membership, recovery, tenant_queue, tenants, virtual_recovery,
};
use bpaf::{long, Bpaf, Parser};
use serde_json::Value;
use std::num::ParseFloatError;
use std::path::PathBuf;
use std::process::ExitCode;

const DEFAULT_SEED: u64 = 1;
const MAX_PLAYS: usize = 50;
/// Real routers of one scenario, at most.
const MAX_PROCESSES: usize = 20;
/// Routers or instances in virtual time, at most.
const MAX_VIRTUAL: usize = 1000;
const MAX_INSTANCES: usize = 2000;
const MAX_SECONDS: f64 = 600.0;

/// The test bed: loopback and virtual time only
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options)]
enum Command {
    /// What the program needs as the fleet grows
    #[bpaf(command)]
    Capacity {
        /// decisions, clients, links, lists, members, configuration, primary or whole
        #[bpaf(argument("NAME"))]
        what: String,
        /// In place of the usual ones, by commas
        #[bpaf(argument("N,N"), optional)]
        sizes: Option<String>,
        /// How many at each size
        #[bpaf(argument("N"), fallback(3))]
        plays: usize,
        #[bpaf(external)]
        seed: u64,
        #[bpaf(external)]
        program: PathBuf,
    },
    /// Real routers are stopped in every state of their BGP session
    #[bpaf(command)]
    Drain {
        /// How many stops
        #[bpaf(argument("N"), fallback(60))]
        runs: usize,
        #[bpaf(external)]
        seed: u64,
        #[bpaf(external)]
        program: PathBuf,
    },
    /// The same load with and without a peer whose session flaps
    #[bpaf(command)]
    Flap {
        /// How long
        #[bpaf(argument("M"), fallback(1.0))]
        minutes: f64,
        /// How often the session ends
        #[bpaf(argument("N"), fallback(10.0))]
        per_minute: f64,
        #[bpaf(external)]
        seed: u64,
        #[bpaf(external)]
        program: PathBuf,
    },
    /// Many announcers under shared failures, in virtual time
    #[bpaf(command)]
    Fleet {
        /// How many instances
        #[bpaf(argument("N"), fallback(300))]
        routers: usize,
        #[bpaf(external)]
        seed: u64,
        /// Where the plot goes, an SVG
        #[bpaf(argument("FILE"), optional)]
        plot: Option<PathBuf>,
    },
    /// Routers that know each other, under faults
    #[bpaf(command)]
    Members {
        /// No processes: the same code in virtual time
        #[bpaf(long("virtual"))]
        in_virtual_time: bool,
        /// How many
        #[bpaf(argument("N"), fallback(9))]
        routers: usize,
        /// How long faults go on
        #[bpaf(argument("S"), fallback(110.0))]
        seconds: f64,
        /// Virtual time: detection under loss, an SVG
        #[bpaf(argument("FILE"), optional)]
        plot: Option<PathBuf>,
        #[bpaf(external)]
        seed: u64,
        #[bpaf(external)]
        program: PathBuf,
    },
    /// What it is worth that routers tell each other of engines
    #[bpaf(command)]
    Words {
        /// How many
        #[bpaf(argument("N"), fallback(9))]
        routers: usize,
        /// Jobs a second and router
        #[bpaf(argument("R"), fallback(6.0))]
        rate: f64,
        #[bpaf(external)]
        seed: u64,
        #[bpaf(external)]
        program: PathBuf,
    },
    /// Processor time a job with a cluster file and without
    #[bpaf(command)]
    Cost {
        /// How many
        #[bpaf(argument("N"), fallback(9))]
        routers: usize,
        /// How many pairs
        #[bpaf(argument("N"), fallback(4))]
        pairs: usize,
        #[bpaf(external)]
        seed: u64,
        #[bpaf(external)]
        program: PathBuf,
    },
    /// Routers that were killed together come back
    #[bpaf(command)]
    Comeback {
        /// How many
        #[bpaf(argument("N"), fallback(12))]
        routers: usize,
        /// The share that is killed at once
        #[bpaf(argument("X"), fallback(0.7))]
        killed: f64,
        /// What becomes of their stores: kept, lost, stale, torn or mixed
        #[bpaf(argument("STATE"), fallback(recovery::State::Kept))]
        state: recovery::State,
        /// Without a store
        without: bool,
        /// No processes: the same decisions in virtual time
        #[bpaf(long("virtual"))]
        in_virtual_time: bool,
        /// Virtual time: service and connections, an SVG
        #[bpaf(argument("FILE"), optional)]
        plot: Option<PathBuf>,
        #[bpaf(external)]
        seed: u64,
        #[bpaf(external)]
        program: PathBuf,
    },
    /// Teams that share engines through one router
    #[bpaf(command)]
    Teams {
        /// greedy, silent, greedy+silent, return, heavy-light or overload
        #[bpaf(argument("NAME"), fallback("greedy".to_string()))]
        scenario: String,
        /// How long each run lasts
        #[bpaf(argument("S"), fallback(10.0))]
        seconds: f64,
        /// The teams' ageing_s; 0 is first come, first served
        #[bpaf(argument("S"), optional)]
        ageing: Option<f64>,
        /// Where the plot goes, an SVG
        #[bpaf(argument("FILE"), optional)]
        plot: Option<PathBuf>,
        #[bpaf(external)]
        seed: u64,
        #[bpaf(external)]
        program: PathBuf,
    },
    /// What the queue costs as requests and tenants grow
    #[bpaf(command)]
    Line {
        /// Requests that are queued
        #[bpaf(long("jobs"), argument("N"), fallback(100_000))]
        requests: usize,
        /// Tenants
        #[bpaf(long("teams"), argument("N"), fallback(10_000))]
        tenants: usize,
        #[bpaf(external)]
        seed: u64,
    },
}

fn seed() -> impl Parser<u64> {
    long("seed").help("What chance is drawn from").argument::<u64>("S").fallback(DEFAULT_SEED)
}

fn program() -> impl Parser<PathBuf> {
    let router_beside = || Ok::<_, std::convert::Infallible>(router_beside());
    long("program").help("The router").argument::<PathBuf>("FILE").fallback_with(router_beside)
}

/// The router that was built beside this program.
fn router_beside() -> PathBuf {
    let mut path = std::env::current_exe().unwrap_or_default();
    path.set_file_name("cleatgw");
    path
}

/// Why a measurement can't be made.
#[derive(Debug, thiserror::Error)]
enum MeasurementError {
    #[error("`--sizes {text}`: growing numbers by commas were expected ({source})")]
    NoNumber { text: String, source: ParseFloatError },
    #[error("`--sizes {0}`: growing numbers by commas were expected")]
    NotGrowing(String),
    #[error("{0}")]
    Capacity(String),
}

/// Sizes by commas: growing, above zero.
fn parse_sizes(text: &str) -> Result<Vec<f64>, MeasurementError> {
    let numbers = text.split(',').map(|size| size.trim().parse::<f64>());
    let sizes: Vec<f64> = numbers
        .collect::<Result<_, _>>()
        .map_err(|source| MeasurementError::NoNumber { text: text.to_string(), source })?;
    let is_growing = sizes[0] >= 1.0 && sizes.windows(2).all(|two| two[0] < two[1]);
    if is_growing {
        Ok(sizes)
    } else {
        Err(MeasurementError::NotGrowing(text.to_string()))
    }
}

fn measure_capacity(
    what: &str,
    seed: u64,
    sizes: Option<&str>,
    plays: usize,
    program: PathBuf,
) -> Result<Value, MeasurementError> {
    let sizes = sizes.map(parse_sizes).transpose()?;
    let ask = Ask { seed, sizes, plays: plays.clamp(1, MAX_PLAYS), program };
    capacity::measure(what, &ask).map_err(MeasurementError::Capacity)
}

fn run_command(command: Command) -> Result<Value, MeasurementError> {
    Ok(match command {
        Command::Capacity { what, seed, sizes, plays, program } => {
            measure_capacity(&what, seed, sizes.as_deref(), plays, program)?
        }
        Command::Drain { runs, seed, program } => drain::measure(&program, runs.clamp(1, 10_000), seed),
        Command::Flap { minutes, per_minute, seed, program } => {
            flap::measure(&program, minutes.clamp(0.05, 60.0), per_minute.clamp(0.0, MAX_SECONDS), seed)
        }
        Command::Line { requests, tenants, seed } => {
            tenant_queue::measure(requests.clamp(1, 1_000_000), tenants.clamp(1, 100_000), seed)
        }
        Command::Members { in_virtual_time: true, routers, seed, seconds, plot, .. } => {
            let (routers, seconds) = (routers.clamp(2, MAX_VIRTUAL), seconds.clamp(0.0, MAX_SECONDS));
            membership::measure_virtual(routers, seed, seconds, plot.as_deref())
        }
        Command::Members { routers, seed, seconds, program, .. } => {
            let (routers, seconds) = (routers.clamp(2, MAX_PROCESSES), seconds.clamp(0.0, MAX_SECONDS));
            membership::measure(&program, routers, seed, seconds)
        }
        Command::Cost { routers, seed, pairs, program } => {
            membership::cost(&program, routers.clamp(2, MAX_PROCESSES), seed, pairs.clamp(1, 50))
        }
        Command::Comeback { in_virtual_time: true, routers, seed, plot, .. } => {
            virtual_recovery::measure(routers.clamp(4, MAX_VIRTUAL), seed, plot.as_deref())
        }
        Command::Comeback { routers, killed, state, without, seed, program, .. } => {
            let (routers, killed) = (routers.clamp(1, MAX_PROCESSES), killed.clamp(0.0, 1.0));
            recovery::measure(&program, routers, killed, state, seed, !without)
        }
        Command::Words { routers, seed, rate, program } => {
            membership::words(&program, routers.clamp(2, MAX_PROCESSES), seed, rate.clamp(0.1, 200.0))
        }
        Command::Teams { scenario, seed, seconds, ageing, plot, program } => {
            let seconds = seconds.clamp(2.0, MAX_SECONDS);
            tenants::measure(&program, &scenario, seed, seconds, ageing, plot.as_deref())
        }
        Command::Fleet { routers, seed, plot } => {
            announcers::measure(routers.clamp(2, MAX_INSTANCES), seed, plot.as_deref())
        }
    })
}

/// Runs the command that the arguments name; its last line is one JSON object.
pub fn run() -> ExitCode {
    match run_command(command().run()) {
        Ok(report) => {
            println!("{report}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("capacity: {error}");
            ExitCode::from(2)
        }
    }
}

//! `cleatgw-testbed`: measurements that the kit's benches can't show. The last line of each is one JSON object.

use bpaf::{construct, long, OptionParser, Parser};
use cleatgw_testbed::{capacity, comeback, drain, flap, fleet, line, members, tenants, virtual_comeback};
use std::path::PathBuf;

enum Command {
    Capacity {
        what: String,
        seed: u64,
        sizes: Option<String>,
        plays: usize,
        program: PathBuf,
    },
    Drain {
        runs: usize,
        seed: u64,
        program: PathBuf,
    },
    Flap {
        minutes: f64,
        per_minute: f64,
        seed: u64,
        program: PathBuf,
    },
    Fleet {
        routers: usize,
        seed: u64,
        plot: Option<PathBuf>,
    },
    Line {
        requests: usize,
        tenants: usize,
        seed: u64,
    },
    Members {
        in_virtual_time: bool,
        routers: usize,
        seed: u64,
        seconds: f64,
        plot: Option<PathBuf>,
        program: PathBuf,
    },
    Cost {
        routers: usize,
        seed: u64,
        pairs: usize,
        program: PathBuf,
    },
    Comeback {
        routers: usize,
        killed: f64,
        state: comeback::State,
        without: bool,
        in_virtual_time: bool,
        plot: Option<PathBuf>,
        seed: u64,
        program: PathBuf,
    },
    Words {
        routers: usize,
        seed: u64,
        rate: f64,
        program: PathBuf,
    },
    Teams {
        scenario: String,
        seed: u64,
        seconds: f64,
        ageing: Option<f64>,
        plot: Option<PathBuf>,
        program: PathBuf,
    },
}

/// The router that was built beside us.
fn beside() -> PathBuf {
    let mut path = std::env::current_exe().unwrap_or_default();
    path.set_file_name("cleatgw");
    path
}

fn options() -> OptionParser<Command> {
    let seed = || long("seed").help("What chance is drawn from").argument::<u64>("S").fallback(1);
    let program = || {
        long("program")
            .help("The router")
            .argument::<PathBuf>("FILE")
            .fallback_with(|| Ok::<_, String>(beside()))
    };
    let drain = {
        let runs = long("runs").help("How many stops").argument::<usize>("N").fallback(60);
        let (seed, program) = (seed(), program());
        construct!(Command::Drain { runs, seed, program })
    };
    let drain = drain.to_options().descr("Real routers are stopped in every state of their BGP session");
    let drain = drain.command("drain");
    let flap = {
        let minutes = long("minutes").help("How long").argument::<f64>("M").fallback(1.0);
        let per_minute =
            long("per-minute").help("How often the session ends").argument::<f64>("N").fallback(10.0);
        let (seed, program) = (seed(), program());
        construct!(Command::Flap { minutes, per_minute, seed, program })
    };
    let flap =
        flap.to_options().descr("The same load with and without a peer whose session flaps").command("flap");
    let fleet = {
        let routers = long("routers").help("How many instances").argument::<usize>("N").fallback(300);
        let plot = long("plot").help("Where the plot goes, an SVG").argument::<PathBuf>("FILE").optional();
        let seed = seed();
        construct!(Command::Fleet { routers, seed, plot })
    };
    let fleet =
        fleet.to_options().descr("Many announcers under shared failures, in virtual time").command("fleet");
    let tenants = {
        let scenario =
            long("scenario").help("greedy, silent, greedy+silent, return, heavy-light or overload");
        let scenario = scenario.argument::<String>("NAME").fallback("greedy".to_string());
        let seconds = long("seconds").help("How long each run lasts").argument::<f64>("S").fallback(10.0);
        let plot = long("plot").help("Where the plot goes, an SVG").argument::<PathBuf>("FILE").optional();
        let (seed, program) = (seed(), program());
        let ageing = long("ageing").help("The teams' ageing_s; 0 is first come, first served");
        let ageing = ageing.argument::<f64>("S").optional();
        construct!(Command::Teams { scenario, seed, seconds, ageing, plot, program })
    };
    let tenants = tenants.to_options().descr("Teams that share engines through one router").command("teams");
    let line = {
        let requests = long("jobs").help("Jobs in line").argument::<usize>("N").fallback(100_000);
        let tenants = long("teams").help("Teams").argument::<usize>("N").fallback(10_000);
        let seed = seed();
        construct!(Command::Line { requests, tenants, seed })
    };
    let line = line.to_options().descr("What the line costs as jobs and teams grow").command("line");
    let members = {
        let in_virtual_time = long("virtual").help("No processes: the same code in virtual time").switch();
        let routers = long("routers").help("How many").argument::<usize>("N").fallback(9);
        let seconds = long("seconds").help("How long faults go on").argument::<f64>("S").fallback(110.0);
        let plot =
            long("plot").help("Virtual time: detection under loss, an SVG").argument::<PathBuf>("FILE");
        let plot = plot.optional();
        let (seed, program) = (seed(), program());
        construct!(Command::Members { in_virtual_time, routers, seed, seconds, plot, program })
    };
    let members = members.to_options().descr("Routers that know each other, under faults").command("members");
    let comeback = {
        let routers = long("routers").help("How many").argument::<usize>("N").fallback(12);
        let killed =
            long("killed").help("The share that is killed at once").argument::<f64>("X").fallback(0.7);
        let state = long("state").help("What becomes of their stores: kept, lost, stale, torn or mixed");
        let state = state.argument::<comeback::State>("STATE").fallback(comeback::State::Kept);
        let without = long("without").help("Without a store").switch();
        let in_virtual_time =
            long("virtual").help("No processes: the same decisions in virtual time").switch();
        let plot =
            long("plot").help("Virtual time: service and connections, an SVG").argument::<PathBuf>("FILE");
        let plot = plot.optional();
        let (seed, program) = (seed(), program());
        construct!(Command::Comeback {
            routers,
            killed,
            state,
            without,
            in_virtual_time,
            plot,
            seed,
            program
        })
    };
    let comeback = comeback.to_options().descr("Routers that were killed together come back");
    let comeback = comeback.command("comeback");
    let words = {
        let routers = long("routers").help("How many").argument::<usize>("N").fallback(9);
        let rate = long("rate").help("Jobs a second and router").argument::<f64>("R").fallback(6.0);
        let (seed, program) = (seed(), program());
        construct!(Command::Words { routers, seed, rate, program })
    };
    let words = words.to_options().descr("What it is worth that routers tell each other of engines");
    let words = words.command("words");
    let cost = {
        let routers = long("routers").help("How many").argument::<usize>("N").fallback(9);
        let pairs = long("pairs").help("How many pairs").argument::<usize>("N").fallback(4);
        let (seed, program) = (seed(), program());
        construct!(Command::Cost { routers, seed, pairs, program })
    };
    let cost =
        cost.to_options().descr("Processor time a job with a cluster file and without").command("cost");
    let capacity = {
        let what = long("what")
            .help("decisions, clients, links, lists, members, configuration, primary or whole")
            .argument::<String>("NAME");
        let sizes = long("sizes").help("In place of the usual ones, by commas").argument::<String>("N,N");
        let sizes = sizes.optional();
        let plays = long("plays").help("How many at each size").argument::<usize>("N").fallback(3);
        let (seed, program) = (seed(), program());
        construct!(Command::Capacity { what, seed, sizes, plays, program })
    };
    let capacity =
        capacity.to_options().descr("What the program needs as the fleet grows").command("capacity");
    construct!([capacity, drain, flap, fleet, members, words, cost, comeback, tenants, line])
        .to_options()
        .descr("The laboratory: loopback and virtual time only")
}

/// Sizes by commas: growing, above zero.
fn sizes(text: &str) -> Result<Vec<f64>, String> {
    let sizes: Result<Vec<f64>, _> = text.split(',').map(|size| size.trim().parse::<f64>()).collect();
    let fits = |sizes: &Vec<f64>| sizes[0] >= 1.0 && sizes.windows(2).all(|two| two[0] < two[1]);
    sizes
        .ok()
        .filter(fits)
        .ok_or_else(|| format!("`--sizes {text}`: growing numbers by commas were expected"))
}

fn capacity(
    what: &str,
    seed: u64,
    stated: Option<&str>,
    plays: usize,
    program: PathBuf,
) -> serde_json::Value {
    let measured = stated.map(sizes).transpose().and_then(|sizes| {
        capacity::measure(what, &capacity::Ask { seed, sizes, plays: plays.clamp(1, 50), program })
    });
    measured.unwrap_or_else(|why| {
        eprintln!("capacity: {why}");
        std::process::exit(2)
    })
}

pub fn main() {
    let report = match options().run() {
        Command::Capacity { what, seed, sizes, plays, program } => {
            capacity(&what, seed, sizes.as_deref(), plays, program)
        }
        Command::Drain { runs, seed, program } => drain::measure(&program, runs.clamp(1, 10_000), seed),
        Command::Flap { minutes, per_minute, seed, program } => {
            flap::measure(&program, minutes.clamp(0.05, 60.0), per_minute.clamp(0.0, 600.0), seed)
        }
        Command::Line { requests, tenants, seed } => {
            line::measure(requests.clamp(1, 1_000_000), tenants.clamp(1, 100_000), seed)
        }
        Command::Members { in_virtual_time: true, routers, seed, seconds, plot, .. } => {
            members::measure_virtual(routers.clamp(2, 1000), seed, seconds.clamp(0.0, 600.0), plot.as_deref())
        }
        Command::Members { routers, seed, seconds, program, .. } => {
            members::measure(&program, routers.clamp(2, 20), seed, seconds.clamp(0.0, 600.0))
        }
        Command::Cost { routers, seed, pairs, program } => {
            members::cost(&program, routers.clamp(2, 20), seed, pairs.clamp(1, 50))
        }
        Command::Comeback { in_virtual_time: true, routers, seed, plot, .. } => {
            virtual_comeback::measure(routers.clamp(4, 1000), seed, plot.as_deref())
        }
        Command::Comeback { routers, killed, state, without, seed, program, .. } => {
            comeback::measure(&program, routers.clamp(1, 20), killed.clamp(0.0, 1.0), state, seed, !without)
        }
        Command::Words { routers, seed, rate, program } => {
            members::words(&program, routers.clamp(2, 20), seed, rate.clamp(0.1, 200.0))
        }
        Command::Teams { scenario, seed, seconds, ageing, plot, program } => {
            tenants::measure(&program, &scenario, seed, seconds.clamp(2.0, 600.0), ageing, plot.as_deref())
        }
        Command::Fleet { routers, seed, plot } => {
            fleet::measure(routers.clamp(2, 2000), seed, plot.as_deref())
        }
    };
    println!("{report}");
}

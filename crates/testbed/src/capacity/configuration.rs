//! What carries a change of configuration: an operator's hand that writes files and sends SIGHUP, router by router. Real
//! routers, each with files of its own; in force is what a router's log or its deeds say.

use super::{report, target, Ask, Need, Row};
use crate::faults::datagram_relays::vacant_udp;
use crate::routers::cluster::cluster_file;
use crate::routers::routing_peer::service_file;
use crate::stand_ins::{request, Answered, Client, Discovery, Engine, Router};
use rustix::process::Signal;
use serde_json::{json, Value};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

const USUAL: [f64; 6] = [1.0, 4.0, 16.0, 40.0, 80.0, 160.0];
const KNOWN: [f64; 5] = [30.0, 100.0, 300.0, 900.0, 1380.0];
/// Changes of a burst, and the second that they come in.
const BURST: u32 = 20;
const PAUSE: Duration = Duration::from_millis(50);
const MOST_ROUTERS: usize = 199;

/// A folder that lasts as long as a play.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Result<Folder, String> {
        let path = std::env::temp_dir().join(format!("cleatgw-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).map_err(|error| error.to_string())?;
        Ok(Folder(path))
    }

    /// A file of this text, written whole.
    fn write(&self, name: &str, text: &str) -> String {
        let path = self.0.join(name);
        std::fs::write(&path, text).expect("a file");
        path.to_string_lossy().into_owned()
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A teams file that is told from others by how many it has.
fn tenants(count: u32) -> String {
    let tenants: Vec<String> = (0..count).map(|at| format!(r#"{{"name":"t{at}","weight":1}}"#)).collect();
    format!(r#"{{"teams":[{}]}}"#, tenants.join(","))
}

/// Seconds of a core that the router's process has had.
fn cpu(router: &Router) -> f64 {
    let path = format!("/proc/{}/schedstat", router.process());
    let text = std::fs::read_to_string(path).unwrap_or_default();
    text.split(' ').next().and_then(|word| word.parse::<f64>().ok()).unwrap_or(0.0) / 1e9
}

/// Routers with a teams file each, whose operator has one hand.
struct Fleet {
    routers: Vec<Router>,
    folder: Folder,
    /// Of the last change: so many tenants.
    tenants: u32,
    /// Why one of them is not there any more.
    died: usize,
}

impl Fleet {
    fn start(program: &Path, routers: usize, discovery: &Discovery) -> Result<Fleet, String> {
        let (program, folder) = (program.to_string_lossy(), Folder::new(&format!("hand-{routers}"))?);
        let first = tenants(10);
        let start = |at| {
            let file = folder.write(&format!("teams-{at}.json"), &first);
            Router::with(&program, discovery, 128, &["--teams", &file])
        };
        Ok(Fleet { routers: (0..routers).map(start).collect(), folder, tenants: 10, died: 0 })
    }

    /// Writes a change to all machines, one after another, and tells each router.
    fn change(&mut self) {
        self.tenants = 10 + (self.tenants - 9) % 80;
        let text = tenants(self.tenants);
        for (at, router) in self.routers.iter().enumerate() {
            self.folder.write(&format!("teams-{at}.json"), &text);
            router.signal(Signal::HUP);
        }
    }

    /// The last change is in force at all; those that died are counted.
    fn in_force(&mut self) {
        let words = format!("teams={}", self.tenants);
        for router in &mut self.routers {
            match router.over() {
                Some(_) => self.died += 1,
                None => drop(router.log.wait(&words, 1)),
            }
        }
    }

    fn forget(&self) {
        self.routers.iter().for_each(|router| router.log.forget());
    }

    fn cpu(&self) -> f64 {
        self.routers.iter().map(cpu).sum()
    }

    fn lines(&self, words: &str) -> usize {
        let found = |router: &Router| router.log.all().iter().filter(|line| line.contains(words)).count();
        self.routers.iter().map(found).sum()
    }
}

/// What one play of a size gave.
struct Played {
    /// Seconds from the first file to in force at the last, for one change and for the last of a burst.
    change_s: f64,
    burst_s: f64,
    /// Milliseconds of a core, for one change at one router.
    cpu_ms: f64,
    /// Reloads of a burst that were seen, as a share of the changes written; and those that were refused.
    seen: f64,
    refused: usize,
}

fn play(fleet: &mut Fleet) -> Played {
    fleet.forget();
    let begun = Instant::now();
    fleet.change();
    fleet.in_force();
    let change_s = begun.elapsed().as_secs_f64();
    // What the routers take anyway, for as long as the burst takes.
    let (before, at) = (fleet.cpu(), Instant::now());
    std::thread::sleep(PAUSE * BURST);
    let idle = (fleet.cpu() - before) / at.elapsed().as_secs_f64();
    fleet.forget();
    let (before, at) = (fleet.cpu(), Instant::now());
    let mut last = at;
    for number in 1..=BURST {
        last = Instant::now();
        fleet.change();
        if number < BURST {
            std::thread::sleep((PAUSE * number).saturating_sub(at.elapsed()));
        }
    }
    fleet.in_force();
    let (burst_s, lasted) = (last.elapsed().as_secs_f64(), at.elapsed().as_secs_f64());
    let (changes, spent) = (BURST as usize * fleet.routers.len(), fleet.cpu() - before - idle * lasted);
    Played {
        change_s,
        burst_s,
        cpu_ms: 1e3 * spent.max(0.0) / changes as f64,
        seen: fleet.lines("teams file applied") as f64 / changes as f64,
        refused: fleet.lines("not taken"),
    }
}

/// Milliseconds of a core for a change where the configuration tells of so many engines.
fn with_known(ask: &Ask, engines: usize) -> f64 {
    let discovery = Discovery::start();
    let entry = |at: usize| {
        let (host, port) = (at / 250, at % 250 + 1);
        format!(
            r#"{{"uid":"e{at}","endpoint":"127.0.9.{}:{port}","az":"east","model":"std","state":"ready"}}"#,
            host + 1
        )
    };
    let entries: Vec<String> = (0..engines).map(entry).collect();
    discovery.tell(true, &entries);
    let known = format!(
        r#"{{"notices":[{{"rev":1,"pool":{{"rev":1,"all":true,"targets":[{}]}}}}]}}"#,
        entries.join(",")
    );
    let router = Router::with(&ask.program.to_string_lossy(), &discovery, 128, &["--log-format", "text"]);
    let text = router.configuration(&discovery, &known);
    std::thread::sleep(Duration::from_millis(200));
    let (before, at) = (cpu(&router), Instant::now());
    std::thread::sleep(PAUSE * BURST);
    let idle = (cpu(&router) - before) / at.elapsed().as_secs_f64();
    let (before, at) = (cpu(&router), Instant::now());
    for _ in 0..BURST {
        router.reload(&text);
        std::thread::sleep(PAUSE);
    }
    let spent = cpu(&router) - before - idle * at.elapsed().as_secs_f64();
    1e3 * spent.max(0.0) / f64::from(BURST)
}

/// One field: it is changed, SIGHUP sent, and what comes of it looked at.
fn fields(ask: &Ask) -> Result<Vec<Value>, String> {
    let folder = Folder::new("fields")?;
    let (engine, other) = (Engine::start("first"), Engine::start("second"));
    let discovery = Discovery::start();
    discovery.tell(true, &[engine.entry("ready")]);
    let names = ["n1".to_string(), "n2".to_string()];
    let listens = [vacant_udp(), vacant_udp()];
    let cluster = cluster_file("lab", &names, &listens);
    let files = [
        ("teams", tenants(10)),
        ("cluster", cluster.clone()),
        ("service", service_file(&[], "")),
        ("store", format!(r#"{{"path":"{}/kept-1.redb"}}"#, folder.0.display())),
    ];
    let arguments: Vec<String> = files
        .iter()
        .flat_map(|(name, text)| [format!("--{name}"), folder.write(&format!("{name}.json"), text)])
        .collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let router = Router::with(&ask.program.to_string_lossy(), &discovery, 128, &arguments);
    let text = router.configuration(&discovery, r#"{"rev":1,"notices":[]}"#);
    let mut rows = Vec::new();
    // Says what the log says within the time that a reload takes many times over.
    let mut plays = |field: &str, expected: &str, change: &dyn Fn(), deed: &dyn Fn() -> Option<bool>| {
        router.log.forget();
        change();
        router.signal(Signal::HUP);
        let end = Instant::now() + Duration::from_secs(1);
        let of_it = |line: &String| expected.is_empty() || line.contains(expected);
        let mut said = false;
        while Instant::now() < end && !said {
            std::thread::sleep(Duration::from_millis(10));
            said = !expected.is_empty() && router.log.all().iter().any(of_it);
        }
        let fixed = expected.contains("can't change") || expected.is_empty();
        let in_force = deed().unwrap_or(said && !fixed);
        rows.push(json!({
            "field": field,
            "in_force_by": if in_force { "SIGHUP" } else { "restart" },
            "said": if said { expected } else { "nothing" },
            "as_read": said != expected.is_empty() && in_force != fixed,
        }));
    };
    let in_file = |name: &'static str, text: String| {
        let folder = &folder;
        move || drop(folder.write(&format!("{name}.json"), &text))
    };
    let in_configuration = |was: &'static str, is: &'static str| {
        let (text, router) = (text.replacen(was, is, 1), &router);
        assert!(text.contains(is), "nothing was changed: {was}");
        move || router.reload(&text)
    };
    let none = || None;
    let fixed = |field: &str| format!("configuration: {field} can't change while running");
    plays("teams file", "teams file applied", &in_file("teams", tenants(11)), &none);
    let text_of_three = cluster_file(
        "lab",
        &["n1".into(), "n2".into(), "n3".into()],
        &[listens[0], listens[1], vacant_udp()],
    );
    plays(
        "cluster file: routers",
        "cluster file applied: 3 routers",
        &in_file("cluster", text_of_three),
        &none,
    );
    let service = service_file(&[], "");
    let more = service.replace("198.51.100.7/32", "198.51.100.8/32");
    plays("service file: addresses, peers, times", "service file applied", &in_file("service", more), &none);
    let asn = service.replacen(r#""asn":64512"#, r#""asn":64513"#, 1);
    plays(
        "service file: AS, identifier, listen",
        "service file: bgp.asn can't change",
        &in_file("service", asn),
        &none,
    );
    let store = format!(r#"{{"path":"{}/kept-2.redb"}}"#, folder.0.display());
    let exists = || Some(folder.0.join("kept-2.redb").exists());
    plays("store file", "", &in_file("store", store), &exists);
    let change = in_configuration(r#""name":"n1""#, r#""name":"n9""#);
    plays("configuration: name", &fixed("name"), &change, &none);
    let change = in_configuration(r#""memory_mb":192"#, r#""memory_mb":99"#);
    plays("configuration: limits", &fixed("limits"), &change, &none);
    let change = in_configuration(r#""balancers":1"#, r#""balancers":2"#);
    plays("configuration: settings (all categories, limits, gateways)", &fixed("settings"), &change, &none);
    let listen = router.address.to_string();
    let elsewhere = text.replacen(&listen, &crate::stand_ins::vacant().to_string(), 1);
    let change = || router.reload(&elsewhere);
    plays("configuration: listen", &fixed("listen"), &change, &none);
    let change = in_configuration("8c1f30d27a5be964", "8c1f30d27a5be965");
    plays("configuration: seed", "", &change, &none);
    // The newer event tells of the second engine alone: a request goes there.
    let (first, second) = (engine.entry("gone"), other.entry("ready"));
    let event = format!(r#"{{"rev":2,"pool":{{"rev":2,"all":true,"targets":[{second}]}}}}"#);
    let known = router.configuration(&discovery, &format!(r#"{{"rev":2,"notices":[{event}]}}"#));
    let deed = || {
        let answer = Client::new(&router).ask(&request("look", 3000, "x"));
        let there = other.seen.all().iter().any(|line| line.starts_with("GET"));
        Some(matches!(answer, Answered::Rows(_)) && there)
    };
    plays("configuration: known.notices, newer events", "is second", &|| router.reload(&known), &deed);
    let moved = discovery.moved();
    moved.tell(true, &[first, second]);
    let text = router.configuration(&moved, r#"{"rev":2,"notices":[]}"#);
    let words = format!("discovery service is {}", moved.address);
    let deed = || Some(!moved.seen.wait("watch", 1).is_empty());
    plays("configuration: board", &words, &|| router.reload(&text), &deed);
    Ok(rows)
}

/// Four routers that the hand reaches and two that it does not; then one that is started again with its own old file.
fn away(ask: &Ask) -> Result<Value, String> {
    let discovery = Discovery::start();
    let mut fleet = Fleet::start(&ask.program, 6, &discovery)?;
    let far = fleet.routers.split_off(4);
    fleet.change();
    fleet.in_force();
    std::thread::sleep(Duration::from_secs(5));
    let words = format!("teams={}", fleet.tenants);
    let has = |router: &Router| router.log.all().iter().any(|line| line.contains(&words));
    let (near, away) =
        (fleet.routers.iter().filter(|one| has(one)).count(), far.iter().filter(|one| has(one)).count());
    // Its machine's file is the old one, and nobody tells it of another.
    drop(far);
    let program = ask.program.to_string_lossy();
    let file = fleet.folder.0.join("teams-5.json").to_string_lossy().into_owned();
    let again = Router::with(&program, &discovery, 128, &["--teams", &file]);
    std::thread::sleep(Duration::from_secs(2));
    let told = has(&again);
    // One that is frozen meanwhile has its signal once it goes on.
    fleet.forget();
    fleet.routers[0].signal(Signal::STOP);
    fleet.change();
    std::thread::sleep(Duration::from_millis(300));
    let words = format!("teams={}", fleet.tenants);
    let frozen = fleet.routers[0].log.all().iter().any(|line| line.contains(&words));
    fleet.routers[0].signal(Signal::CONT);
    fleet.in_force();
    Ok(json!({
        "reached_by_the_hand_that_have_it": format!("{near} of 4"),
        "away_that_have_it_5_s_later": format!("{away} of 2"),
        "started_again_has_the_change": told,
        "frozen_has_it_before_and_after_it_goes_on": [frozen, true],
    }))
}

pub fn measure(ask: &Ask) -> Result<Value, String> {
    let sizes = ask.sizes(&USUAL);
    let most = sizes.iter().copied().fold(0.0, f64::max) as usize;
    let descriptors = 8 * most as u64 + 200;
    Need { descriptors, memory_mb: 12 * most as u64 + 100, processes: most as u64 + 1 }.borne()?;
    let (mut change, mut burst, mut cost) = (Vec::new(), Vec::new(), Vec::new());
    let (mut bursts, mut died) = (Vec::new(), 0);
    for &size in &sizes {
        let discovery = Discovery::start();
        let mut fleet = Fleet::start(&ask.program, (size as usize).clamp(1, MOST_ROUTERS), &discovery)?;
        let plays: Vec<Played> = (0..ask.plays).map(|_| play(&mut fleet)).collect();
        change.push((size, plays.iter().map(|one| one.change_s).collect()));
        burst.push((size, plays.iter().map(|one| one.burst_s).collect()));
        cost.push((size, plays.iter().map(|one| one.cpu_ms).collect()));
        let seen: Vec<f64> = plays.iter().map(|one| one.seen).collect();
        let refused: usize = plays.iter().map(|one| one.refused).sum();
        bursts.push(json!({"routers": size, "share_of_changes_seen": seen, "reloads_refused": refused}));
        died += fleet.died;
    }
    let known = KNOWN.map(|engines| {
        (engines, (0..ask.plays).map(|_| with_known(ask, engines as usize)).collect::<Vec<_>>())
    });
    let at_target = (0..ask.plays).map(|_| with_known(ask, target::ENGINES)).collect();
    let few = || Err(format!("{MOST_ROUTERS} routers at most: 200 processes"));
    let routers = target::ROUTERS as f64;
    // So much of a core as control may take, for the time from one change to the next.
    let budget_ms = 1e3 * target::CONTROL_CPU * 86_400.0 / 1_600.0;
    let row = |name: &str, unit, measured, budget| Row {
        name: name.to_string(),
        unit,
        measured,
        target: routers,
        at_target: few(),
        budget,
    };
    let in_time = Some(target::CONFIGURATION_S);
    let rows = [
        row(
            "from the first file to in force at the last, one hand without a way, by routers",
            "s",
            change,
            in_time,
        ),
        row(
            "from the last of 20 changes in a second to in force at the last, by routers",
            "s",
            burst,
            in_time,
        ),
        row("CPU a change and router, by routers", "ms", cost, Some(budget_ms)),
        Row {
            name: "CPU a change and router, by engines that the configuration tells of".to_string(),
            unit: "ms",
            measured: known.to_vec(),
            target: target::ENGINES as f64,
            at_target: Ok(at_target),
            budget: Some(budget_ms),
        },
    ];
    let more = json!({
        "fields": fields(ask)?,
        "away": away(ask)?,
        "bursts": bursts,
        "routers_that_died": died,
        // What a hand has for one machine, where all are to have it in time, and where the day is to have room.
        "ms_a_machine_within_17_s": tidy_ms(target::CONFIGURATION_S / routers),
        "ms_a_machine_at_1600_a_day": tidy_ms(86_400.0 / 1_600.0 / routers),
    });
    Ok(report("configuration", ask, &rows, more))
}

fn tidy_ms(seconds: f64) -> f64 {
    (seconds * 1e4).round() / 10.0
}

//! The real program as a process, between stand-ins.

use crate::discovery::Discovery;
use crate::recorded_lines::{RecordedLines, GENEROUS};
use rustix::process::{kill_process, Pid, Signal};
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::os::fd::AsFd;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant};

static VACANT: AtomicU64 = AtomicU64::new(0);
static ROUTERS: AtomicU64 = AtomicU64::new(0);

/// An address where nothing listens, and that no other listener here can come by.
pub fn vacant() -> SocketAddr {
    let host = (VACANT.fetch_add(1, Ordering::Relaxed) % 250) as u8 + 1;
    TcpListener::bind(SocketAddr::from(([127, 0, 1, host], 0))).unwrap().local_addr().unwrap()
}

/// The real program.
pub struct Router {
    pub address: SocketAddr,
    pub log: RecordedLines,
    /// While this is held, nobody reads the log.
    pub reading: Arc<Mutex<()>>,
    sockets: u32,
    file: PathBuf,
    child: Child,
}

pub fn configuration(listen: SocketAddr, discovery: SocketAddr, known: &str, sockets: u32) -> String {
    let class = |name: &str, kind: &str| {
        format!(
            r#"{{"name":"{name}","idempotency":"{kind}","group":"all","window-us":12000000,"objective-us":1000000,
            "hard-limit-us":20000000,"gain":1.0}}"#
        )
    };
    let classes = [class("look", "safe"), class("load", "keyed"), class("once", "unsafe")].join(",");
    format!(
        r#"{{"name":"n1","listen":"{listen}","seed":"8c1f30d27a5be964","board":"{discovery}","known":{known},
        "limits":{{"cores":1.0,"memory_mb":192,"sockets":{sockets}}},
        "settings":{{"balancers":1,"tenants":[{{"name":"town"}}],"categories":[{classes}],"shapes":["std"],"zones":["east"],
        "family-info":{{"cores-by-kind":[8],"ram-of-kind-mb":[8192.0],"parallelism":[1,1,1],"largest-share":0.5,
        "grants-count":true,"takes-priority":true}},
        "limits":{{"cancel":true,"max-attempts":3,"retry-after":true,"max-retry-after-us":500000,
        "connect-timeout-us":250000,"conn-idle-us":30000000,"multiplex":100}}}}}}"#
    )
}

/// Waits until whoever started it has ended, however, and kills those of the routers it was told of that still run; twice,
/// as one may just have been about to become the program.
const REAPS: &str = r#"while read -r router; do routers="$routers $router"; done
for pause in 0 0.3; do
    sleep $pause
    for router in $routers; do
        [ "$(cat /proc/$router/comm 2> /dev/null)" = cleatgw ] && kill -KILL $router
    done
done"#;

/// No router outlives this process, also where it is killed: a shell of its own group holds the other end of this pipe. What
/// is to become a router writes its own id there before it does, so that there is none that the shell does not know of.
fn reaper() -> Stdio {
    static REAPER: OnceLock<Child> = OnceLock::new();
    let start = || {
        let mut reaper = Command::new("sh");
        reaper.args(["-c", REAPS]).stdin(Stdio::piped()).stdout(Stdio::null()).stderr(Stdio::null());
        reaper.process_group(0).spawn().unwrap()
    };
    let pipe = REAPER.get_or_init(start).stdin.as_ref().unwrap();
    pipe.as_fd().try_clone_to_owned().unwrap().into()
}

impl Router {
    /// The program between stand-ins, with so many descriptors and more arguments behind `serve`.
    pub fn with(program: &str, discovery: &Discovery, sockets: u32, more: &[&str]) -> Router {
        Router::changed(program, discovery, sockets, more, |text| text)
    }

    /// The same with the configuration's text changed.
    pub fn changed(
        program: &str,
        discovery: &Discovery,
        sockets: u32,
        more: &[&str],
        change: impl Fn(String) -> String,
    ) -> Router {
        Router::at(vacant(), Path::new(program), discovery, sockets, more, change)
    }

    /// The same at an address that it may have had before.
    pub fn at(
        address: SocketAddr,
        program: &Path,
        discovery: &Discovery,
        sockets: u32,
        more: &[&str],
        change: impl Fn(String) -> String,
    ) -> Router {
        let router =
            Router::spawned(address, program, (discovery.address, discovery), sockets, more, &[], change);
        router.log.wait("listens on", 1);
        router
    }

    /// The same without waiting until it listens, with its discovery service at another address (a relay's) and variables of its
    /// environment.
    pub fn spawned(
        address: SocketAddr,
        program: &Path,
        (discovery_at, discovery): (SocketAddr, &Discovery),
        sockets: u32,
        more: &[&str],
        environment: &[(String, String)],
        change: impl Fn(String) -> String,
    ) -> Router {
        let program = program.display();
        let number = ROUTERS.fetch_add(1, Ordering::Relaxed);
        let file = std::env::temp_dir().join(format!("cleatgw-{}-{number}.json", std::process::id()));
        let text = change(configuration(address, discovery_at, &discovery.known(), sockets));
        std::fs::write(&file, text).unwrap();
        let arguments = if more.is_empty() { String::new() } else { format!("serve {}", more.join(" ")) };
        let limited = format!("echo $$ >&0; ulimit -n {sockets}; exec {program} {arguments} < /dev/null");
        // Where many requests are expected, a line for each would be most of the work.
        let busy = ["--teams", "--cluster", "text"].iter().any(|word| more.contains(word));
        let mut child = Command::new("sh")
            .args(["-c", &limited])
            .env("BALANCER_CONFIG", &file)
            .env("RUST_LOG", if busy { "info" } else { "debug" })
            .envs(environment.iter().map(|(name, value)| (name, value)))
            .stdin(reaper())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let log = RecordedLines::default();
        let (lines, seen) = (BufReader::new(child.stderr.take().unwrap()).lines(), log.clone());
        let reading = Arc::new(Mutex::new(()));
        let held = reading.clone();
        std::thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                let _reads = held.lock();
                seen.add(&line);
            }
        });
        Router { address, log, reading, sockets, file, child }
    }

    /// Stops the process, does this once it stands still, and lets it go on after a while.
    pub fn stop_for(&self, time: Duration, meanwhile: impl FnOnce()) {
        self.signal(Signal::STOP);
        let stat = format!("/proc/{}/stat", self.process());
        let stopped = || std::fs::read_to_string(&stat).is_ok_and(|text| text.contains(") T "));
        let begun = Instant::now();
        while !stopped() {
            assert!(begun.elapsed() < GENEROUS, "it does not stop");
            std::thread::yield_now();
        }
        meanwhile();
        std::thread::sleep(time);
        self.signal(Signal::CONT);
    }

    /// Has this in place of the configuration, and is told so.
    pub fn reload(&self, text: &str) {
        std::fs::write(&self.file, text).unwrap();
        self.signal(Signal::HUP);
    }

    /// The configuration with this discovery service.
    pub fn configuration(&self, discovery: &Discovery, known: &str) -> String {
        configuration(self.address, discovery.address, known, self.sockets)
    }

    pub fn fail(&self) {
        self.signal(Signal::TERM);
    }

    pub fn process(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, signal: Signal) {
        kill_process(Pid::from_raw(self.child.id() as i32).unwrap(), signal).unwrap();
    }

    /// It has ended; its exit code.
    pub fn over(&mut self) -> Option<Option<i32>> {
        self.child.try_wait().unwrap().map(|status| status.code())
    }

    /// Waits for its end; its exit code and its last counters.
    pub fn ended(&mut self) -> (Option<i32>, String) {
        let code = self.child.wait().unwrap().code();
        (code, self.log.wait("counters:", 1).pop().unwrap())
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.file);
    }
}

/// The counter's value in a line of them.
pub fn counter(line: &str, name: &str) -> u64 {
    let line = if line.contains('=') { line.to_string() } else { line.replace(": ", "=") };
    let mut words = line.split(' ').filter_map(|word| word.split_once('='));
    words.find(|(key, _)| *key == name).map_or(u64::MAX, |(_, value)| value.parse().unwrap())
}

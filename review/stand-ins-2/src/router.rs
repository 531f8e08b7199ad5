//! Routers as processes of the real program, started as the deploy file starts them, with an operator's files.

use std::fs::File;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// An address on which nobody listens.
pub fn free_tcp() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

pub fn free_udp() -> SocketAddr {
    UdpSocket::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

/// The command behind `run` in deploy/balancer.toml.
pub fn run_command() -> Option<String> {
    let text = std::fs::read_to_string("deploy/balancer.toml").ok()?;
    let line = text.lines().find(|line| line.starts_with("run"))?;
    Some(line.split('"').nth(1)?.to_string())
}

pub struct Router {
    pub name: String,
    pub listen: SocketAddr,
    pub folder: PathBuf,
    files: Vec<String>,
    child: Option<Child>,
    former: Vec<Arc<Mutex<Child>>>,
}

impl Router {
    /// A router whose configuration is written to `folder`. `files` are the operator's files on the command line.
    pub fn new(folder: &Path, name: &str, listen: SocketAddr, config: &str, files: &[String]) -> Router {
        std::fs::write(folder.join(format!("{name}.json")), config).unwrap();
        Router {
            name: name.to_string(),
            listen,
            folder: folder.to_path_buf(),
            files: files.to_vec(),
            child: None,
            former: Vec::new(),
        }
    }

    pub fn log_path(&self) -> PathBuf {
        self.folder.join(format!("{}.log", self.name))
    }

    pub fn start(&mut self) {
        let run = run_command().unwrap_or("exec target/release/cleatgw".to_string());
        let arguments =
            if self.files.is_empty() { String::new() } else { format!(" serve {}", self.files.join(" ")) };
        let log = File::options().create(true).append(true).open(self.log_path()).unwrap();
        let child = Command::new("/bin/sh")
            .args(["-c", &format!("{run}{arguments}")])
            .env("BALANCER_NAME", &self.name)
            .env("BALANCER_LISTEN", self.listen.to_string())
            .env("BALANCER_CONFIG", self.folder.join(format!("{}.json", self.name)))
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn();
        self.child = child.ok();
        if let Some(child) = &self.child {
            // The script ends what is listed here and still runs.
            let pids = File::options().create(true).append(true).open(self.folder.join("pids"));
            let _ = pids.and_then(|mut pids| writeln!(pids, "{}", child.id()));
        }
    }

    /// Waits until the router answers COM_PING with OK.
    pub fn wait_ready(&self) -> bool {
        let began = Instant::now();
        while began.elapsed() < Duration::from_secs(10) {
            let ready = crate::client::Client::connect(self.listen).and_then(|mut client| client.ping());
            if matches!(ready, Ok(true)) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        false
    }

    /// Sends a signal by its name.
    pub fn signal(&self, signal: &str) {
        if let Some(child) = &self.child {
            let _ = Command::new("/bin/sh").args(["-c", &format!("kill -{signal} {}", child.id())]).status();
        }
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_none_or(|child| child.try_wait().is_ok_and(|end| end.is_some()))
    }

    /// How the process ended.
    pub fn exit_text(&mut self) -> String {
        let ended = self.child.as_mut().and_then(|child| child.try_wait().ok().flatten());
        ended.map_or(String::new(), |status| status.to_string())
    }

    /// Gives up the running process, so that another one can be started; it is killed at the end all the same.
    pub fn leave_running(&mut self) -> Option<Arc<Mutex<Child>>> {
        let former = Arc::new(Mutex::new(self.child.take()?));
        self.former.push(former.clone());
        Some(former)
    }

    /// Kills the router outright.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        self.kill();
        for former in &self.former {
            let mut former = former.lock().unwrap();
            let _ = former.kill();
            let _ = former.wait();
        }
    }
}

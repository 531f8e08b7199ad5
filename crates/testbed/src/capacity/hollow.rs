//! What scale tests share to start real processes, none of which outlives the test bed, whatever ends that; and an
//! engine that answers the protocol and does no work.

use crate::stand_ins::{configuration, Discovery, Engine, RecordedLines};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, ChildStdin, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// A process is up within this, or has failed.
const STARTS: Duration = Duration::from_secs(20);
/// Waits on the pipe that the test bed holds: it ends with the test bed, also where that is killed, and then the
/// process is killed. The first line of its output is the process's id. The shell survives that nobody reads the line.
const SUPERVISES: &str = r#"ulimit -n "$0" || exit 2
trap : PIPE
"$@" > /dev/null &
echo $!
read -r end
kill -KILL $! 2> /dev/null
wait
rm -f "$BALANCER_CONFIG""#;

/// A process that ends with this, or with the test bed.
pub struct Guarded {
    supervisor: Child,
    held: Option<ChildStdin>,
    /// The process's own id.
    pub process: u32,
    pub log: RecordedLines,
}

impl Guarded {
    /// Starts a program with so many descriptors and this configuration, in a file that goes with it.
    pub fn start(
        program: &Path,
        arguments: &[&str],
        descriptors: u64,
        configuration: &str,
    ) -> Result<Guarded, String> {
        static FILES: AtomicU64 = AtomicU64::new(0);
        let number = FILES.fetch_add(1, Ordering::Relaxed);
        let file =
            std::env::temp_dir().join(format!("cleatgw-capacity-{}-{number}.json", std::process::id()));
        if !program.is_file() {
            return Err(format!("{}: there is no such program", program.display()));
        }
        std::fs::write(&file, configuration).map_err(|error| format!("{}: {error}", file.display()))?;
        let failed = |error: std::io::Error| format!("{}: {error}", program.display());
        let mut command = Command::new("sh");
        command.args(["-c", SUPERVISES, &descriptors.to_string()]).arg(program).args(arguments);
        command.env("BALANCER_CONFIG", file).env("RUST_LOG", "info");
        command.stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::piped());
        // Out of the terminal's reach: Ctrl-C ends the test bed, and the pipe's end tells of it.
        std::os::unix::process::CommandExt::process_group(&mut command, 0);
        let mut supervisor = command.spawn().map_err(failed)?;
        let held = supervisor.stdin.take();
        let (output, errors) = (supervisor.stdout.take(), supervisor.stderr.take());
        let mut guarded = Guarded { supervisor, held, process: 0, log: RecordedLines::default() };
        let mut line = String::new();
        output
            .into_iter()
            .try_for_each(|out| BufReader::new(out).read_line(&mut line).map(|_| ()))
            .map_err(failed)?;
        let seen = guarded.log.clone();
        std::thread::spawn(move || {
            let lines = errors.into_iter().flat_map(|errors| BufReader::new(errors).lines());
            lines.map_while(Result::ok).for_each(|line| seen.add(&line));
        });
        guarded.process = line.trim().parse().map_err(|_| guarded.says("was not started"))?;
        Ok(guarded)
    }

    fn says(&self, what: &str) -> String {
        let last = self.log.all().into_iter().rev().take(5).collect::<Vec<_>>();
        format!("process {} {what}; it said last, newest first: {last:?}", self.process)
    }

    /// A line of /proc/PID/FILE that begins with this, or all of it.
    fn told(&self, file: &str, line: &str) -> Option<String> {
        let text = std::fs::read_to_string(format!("/proc/{}/{file}", self.process)).ok()?;
        text.lines().find_map(|one| one.strip_prefix(line)).map(|rest| rest.trim().to_string())
    }

    /// An error names the process that is no more.
    pub fn lives(&self) -> Result<(), String> {
        let state = self.told("status", "State:").unwrap_or_default();
        if state.is_empty() || state.starts_with(['Z', 'X']) {
            return Err(self.says("has ended"));
        }
        Ok(())
    }

    fn megabytes(&self, line: &str) -> f64 {
        let kilobytes =
            self.told("status", line).and_then(|rest| rest.split(' ').next()?.parse::<f64>().ok());
        kilobytes.unwrap_or(f64::NAN) / 1024.0
    }

    /// Resident memory in MB (2^20 bytes): now, and at its peak.
    pub fn resident(&self) -> f64 {
        self.megabytes("VmRSS:")
    }

    pub fn peak(&self) -> f64 {
        self.megabytes("VmHWM:")
    }

    /// Processor seconds of its first thread so far: the same as in `stat`, in nanoseconds rather than ticks of 10 ms.
    pub fn cpu(&self) -> f64 {
        let spent = self.told("schedstat", "").and_then(|text| text.split(' ').next()?.parse::<f64>().ok());
        spent.unwrap_or(f64::NAN) / 1e9
    }

    /// Waits for a line of its log with these words.
    pub fn wait(&self, words: &str) -> Result<(), String> {
        let begun = Instant::now();
        while !self.log.all().iter().any(|line| line.contains(words)) {
            self.lives()?;
            if begun.elapsed() > STARTS {
                return Err(self.says(&format!("never said {words:?}")));
            }
            std::thread::sleep(Duration::from_millis(2));
        }
        Ok(())
    }
}

impl Drop for Guarded {
    fn drop(&mut self) {
        self.held = None;
        let _ = self.supervisor.wait();
    }
}

/// The real router at this address, on this discovery service, with so many descriptors; it listens.
pub fn router(
    program: &Path,
    at: SocketAddr,
    discovery: &Discovery,
    descriptors: u64,
) -> Result<Guarded, String> {
    let known = r#"{"rev":0,"notices":[]}"#;
    let text = configuration(at, discovery.address, known, descriptors as u32);
    let router = Guarded::start(program, &["serve"], descriptors, &text)?;
    router.wait("listens on")?;
    Ok(router)
}

/// An engine that answers every request at once with one row.
pub fn engine(uid: &str) -> std::io::Result<Engine> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let engine = Engine::behind(&listener, uid);
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            std::thread::spawn(move || answers(stream));
        }
    });
    Ok(engine)
}

/// Until the connection ends, or what comes on it can't be read.
fn answers(stream: TcpStream) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let (mut out, mut lines) = (stream.try_clone().ok()?, BufReader::new(stream));
    let (mut line, mut body) = (String::new(), Vec::new());
    loop {
        line.clear();
        if lines.read_line(&mut line).ok()? == 0 {
            return Some(());
        }
        let answer = match line.trim_end().split(' ').collect::<Vec<_>>()[..] {
            ["GET", id, _, length] => {
                body.resize(length.parse::<usize>().ok()? + 2, 0);
                lines.read_exact(&mut body).ok()?;
                format!("{id} DONE work=5,peak=7,parts=1 10\r\n0\tone\ttwo\n\r\n")
            }
            ["PING", tag] => format!("{tag} FIT - 0\r\n\r\n"),
            _ => continue,
        };
        out.write_all(answer.as_bytes()).ok()?;
    }
}

#[cfg(test)]
#[path = "hollow/tests.rs"]
mod tests;

//! Writes log lines to standard error without blocking the event loop. A line is dropped if standard error is not ready to take
//! it, as with a slow reader, or if the limit of lines per second is reached, as in a flood of lines.

use log::kv::{Key, VisitSource};
use log::Record;
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use serde_json::{json, Map, Value};
use std::io::{self, Write};
use std::str::FromStr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The longest text that is written at once, in bytes. A pipe that is ready takes this much without blocking.
const MAX_WRITE: usize = 4096;
const MAX_LINES_PER_SECOND: u32 = 200;

/// Writes lines to standard error, or drops and counts them.
struct LineWriter {
    /// Lines that were dropped since the last one that was written.
    lost: u64,
    /// When the current period of one second began.
    second_began_at: Instant,
    /// Lines in the current period, dropped ones included.
    lines: u32,
}

impl LineWriter {
    /// Whether standard error takes bytes without blocking.
    fn is_ready() -> bool {
        let stderr = io::stderr();
        let mut polled = [PollFd::new(&stderr, PollFlags::OUT)];
        let no_wait = Timespec { tv_sec: 0, tv_nsec: 0 };
        poll(&mut polled, Some(&no_wait)).is_ok_and(|ready| ready > 0)
    }
}

impl Write for LineWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if self.second_began_at.elapsed() >= Duration::from_secs(1) {
            (self.second_began_at, self.lines) = (Instant::now(), 0);
        }
        self.lines += 1;
        if self.lines > MAX_LINES_PER_SECOND || !LineWriter::is_ready() {
            self.lost += 1;
            return Ok(line.len());
        }
        let mut text = Vec::new();
        if self.lost > 0 {
            text = format!("[{} log lines lost]\n", std::mem::take(&mut self.lost)).into_bytes();
        }
        text.extend(line);
        if text.len() > MAX_WRITE {
            text.truncate(MAX_WRITE - 1);
            text.push(b'\n');
        }
        // An error means that nobody reads the log, so there is nowhere to report it.
        let _ = io::stderr().write(&text);
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// The format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// For people: the level, the module, the message, and the key-value pairs after it.
    #[default]
    Text,
    /// One JSON object per line: `level`, `part` (the module), `message`, `unix` (the time, in seconds of Unix time), and the
    /// key-value pairs under `fields`.
    Json,
}

impl FromStr for LogFormat {
    type Err = String;

    fn from_str(text: &str) -> Result<LogFormat, String> {
        match text {
            "text" => Ok(LogFormat::Text),
            "json" => Ok(LogFormat::Json),
            _ => Err(format!("expected text or json, got {text:?}")),
        }
    }
}

/// The key-value pairs of a record, as JSON.
#[derive(Default)]
struct Pairs(Map<String, Value>);

impl<'kvs> VisitSource<'kvs> for Pairs {
    fn visit_pair(&mut self, key: Key<'kvs>, value: log::kv::Value<'kvs>) -> Result<(), log::kv::Error> {
        let json = match (value.to_u64(), value.to_i64(), value.to_f64(), value.to_bool()) {
            (Some(number), ..) => number.into(),
            (_, Some(number), ..) => number.into(),
            (_, _, Some(number), _) => number.into(),
            (_, _, _, Some(boolean)) => boolean.into(),
            _ => value.to_string().into(),
        };
        self.0.insert(key.to_string(), json);
        Ok(())
    }
}

/// The line for a record, with its line end.
fn format_line(format: LogFormat, record: &Record) -> String {
    let mut pairs = Pairs::default();
    // `Pairs::visit_pair` never fails.
    let _ = record.key_values().visit(&mut pairs);
    // Line breaks are replaced, so that text from clients or peers can't add lines to the log.
    let message = record.args().to_string().replace(['\n', '\r'], " ");
    match format {
        LogFormat::Text => {
            let unquoted = |value: &Value| value.as_str().map_or(value.to_string(), str::to_string);
            let suffix: String =
                pairs.0.iter().map(|(key, value)| format!(" {key}={}", unquoted(value))).collect();
            let suffix = suffix.replace(['\n', '\r'], " ");
            format!("[{:<5} {}] {message}{suffix}\n", record.level(), record.target())
        }
        LogFormat::Json => {
            let unix = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |since| since.as_secs_f64());
            let object = json!({
                "unix": unix, "level": record.level().as_str(), "part": record.target(), "message": message,
                "fields": pairs.0,
            });
            format!("{object}\n")
        }
    }
}

/// Starts logging in this format. `RUST_LOG` sets which levels are logged; the default is `info`.
pub fn init(format: LogFormat) {
    let filter = env_logger::Env::default().default_filter_or("info");
    let writer = LineWriter { lost: 0, second_began_at: Instant::now(), lines: 0 };
    let target = env_logger::Target::Pipe(Box::new(writer));
    env_logger::Builder::from_env(filter)
        .target(target)
        .format(move |out, record| out.write_all(format_line(format, record).as_bytes()))
        .init();
}

#[cfg(test)]
mod tests;

//! Log lines go to standard error as far as it takes them at once, and no more than so many a second: a slow reader
//! or a flood of one kind loses lines, and never holds up the loop.

use log::kv::{Key, VisitSource};
use log::Record;
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use serde_json::{json, Map, Value};
use std::io::{self, Write};
use std::str::FromStr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A pipe that is ready takes this much without waiting.
const LONGEST: usize = 4096;
const MOST_A_SECOND: u32 = 200;

struct Lines {
    lost: u64,
    second: Instant,
    lines: u32,
}

impl Lines {
    fn ready() -> bool {
        let stderr = io::stderr();
        let mut wanted = [PollFd::new(&stderr, PollFlags::OUT)];
        let at_once = Timespec { tv_sec: 0, tv_nsec: 0 };
        poll(&mut wanted, Some(&at_once)).is_ok_and(|ready| ready > 0)
    }
}

impl Write for Lines {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if self.second.elapsed() >= Duration::from_secs(1) {
            (self.second, self.lines) = (Instant::now(), 0);
        }
        self.lines += 1;
        if self.lines > MOST_A_SECOND || !Lines::ready() {
            self.lost += 1;
            return Ok(line.len());
        }
        let mut text = Vec::new();
        if self.lost > 0 {
            text = format!("[{} log lines lost]\n", std::mem::take(&mut self.lost)).into_bytes();
        }
        text.extend(line);
        if text.len() > LONGEST {
            text.truncate(LONGEST - 1);
            text.push(b'\n');
        }
        // Without a reader there is nobody to tell.
        let _ = io::stderr().write(&text);
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// How a line is written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Form {
    /// For people: the level, the part of the program, the words, and pairs behind them.
    #[default]
    Text,
    /// One JSON object a line: `level`, `part`, `message`, `unix`, and the pairs under `fields`.
    Json,
}

impl FromStr for Form {
    type Err = String;

    fn from_str(text: &str) -> Result<Form, String> {
        match text {
            "text" => Ok(Form::Text),
            "json" => Ok(Form::Json),
            _ => Err(format!("expected text or json, got {text:?}")),
        }
    }
}

/// The pairs of a record, as JSON.
#[derive(Default)]
struct Pairs(Map<String, Value>);

impl<'kvs> VisitSource<'kvs> for Pairs {
    fn visit_pair(&mut self, key: Key<'kvs>, value: log::kv::Value<'kvs>) -> Result<(), log::kv::Error> {
        let json = match (value.to_u64(), value.to_i64(), value.to_f64(), value.to_bool()) {
            (Some(number), ..) => number.into(),
            (_, Some(number), ..) => number.into(),
            (_, _, Some(number), _) => number.into(),
            (_, _, _, Some(truth)) => truth.into(),
            _ => value.to_string().into(),
        };
        self.0.insert(key.to_string(), json);
        Ok(())
    }
}

fn line(form: Form, record: &Record) -> String {
    let mut pairs = Pairs::default();
    // Ours never fails.
    let _ = record.key_values().visit(&mut pairs);
    // A line stays one, whatever strangers have put into its words.
    let words = record.args().to_string().replace(['\n', '\r'], " ");
    match form {
        Form::Text => {
            let plain = |value: &Value| value.as_str().map_or(value.to_string(), str::to_string);
            let behind: String =
                pairs.0.iter().map(|(key, value)| format!(" {key}={}", plain(value))).collect();
            let behind = behind.replace(['\n', '\r'], " ");
            format!("[{:<5} {}] {words}{behind}\n", record.level(), record.target())
        }
        Form::Json => {
            let unix = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |since| since.as_secs_f64());
            let whole = json!({
                "unix": unix, "level": record.level().as_str(), "part": record.target(), "message": words,
                "fields": pairs.0,
            });
            format!("{whole}\n")
        }
    }
}

pub fn start(form: Form) {
    let filter = env_logger::Env::default().default_filter_or("info");
    let lines = env_logger::Target::Pipe(Box::new(Lines { lost: 0, second: Instant::now(), lines: 0 }));
    env_logger::Builder::from_env(filter)
        .target(lines)
        .format(move |to, record| to.write_all(line(form, record).as_bytes()))
        .init();
}

#[cfg(test)]
mod tests;

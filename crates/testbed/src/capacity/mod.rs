//! How what the program needs grows with the size of a fleet. Each file asks one question: it measures at five sizes or
//! more, fits a form, foretells what the target needs, and runs at the target where this machine bears it. Loopback and
//! virtual time only, every loop bounded.

pub mod clients;
pub mod configuration;
pub mod decisions;
pub mod fleet;
pub mod hollow;
pub mod links;
pub mod lists;
pub mod members;
pub mod primary;
pub mod whole;

use serde_json::{json, Value};
use std::path::PathBuf;

/// The size that is planned for.
pub mod target {
    pub const ROUTERS: usize = 550;
    pub const ENGINES: usize = 690;
    pub const REGIONS: usize = 3;
    pub const ZONES: usize = 10;
    pub const CLIENTS: f64 = 2.8e6;
    /// Statements a second, all routers together.
    pub const STATEMENTS: f64 = 1.7e6;
    /// For control, each router: a share of a core, MB, and bytes a second.
    pub const CONTROL_CPU: f64 = 0.048;
    pub const CONTROL_MB: f64 = 128.0;
    pub const CONTROL_BYTES: f64 = 4096.0;
    /// Seconds from a change of configuration to in force everywhere, and for a change of primary.
    pub const CONFIGURATION_S: f64 = 17.0;
    pub const PRIMARY_S: f64 = 6.0;
}

/// How an ask is to be played.
pub struct Ask {
    pub seed: u64,
    /// In place of the usual ones.
    pub sizes: Option<Vec<f64>>,
    pub plays: usize,
    pub program: PathBuf,
}

impl Ask {
    pub fn sizes(&self, usual: &[f64]) -> Vec<f64> {
        self.sizes.clone().unwrap_or_else(|| usual.to_vec())
    }
}

/// What a play takes of this machine.
#[derive(Clone, Copy, Debug, Default)]
pub struct Need {
    /// Of this process; those of others have their own.
    pub descriptors: u64,
    pub memory_mb: u64,
    pub processes: u64,
}

/// The most that a scale test may take, whatever the machine has.
pub const MOST_MB: u64 = 11 * 1024;
pub const MOST_PROCESSES: u64 = 200;

impl Need {
    /// Refuses what this machine or the limits of scale tests do not bear: what is lacking, and how much.
    pub fn borne(&self) -> Result<(), String> {
        let descriptors =
            rustix::process::getrlimit(rustix::process::Resource::Nofile).current.unwrap_or(u64::MAX);
        let free = std::fs::read_to_string("/proc/meminfo").ok().and_then(|text| {
            let line = text.lines().find(|line| line.starts_with("MemAvailable:"))?.to_string();
            line.split_whitespace().nth(1)?.parse::<u64>().ok()
        });
        let most_mb = free.map_or(MOST_MB, |kb| MOST_MB.min(kb / 1024));
        let lacks = [
            ("descriptors", self.descriptors, descriptors),
            ("MB of memory", self.memory_mb, most_mb),
            ("processes", self.processes, MOST_PROCESSES),
        ];
        let lacks = lacks.into_iter().filter(|(_, need, most)| need > most);
        let lacks: Vec<String> = lacks
            .map(|(what, need, most)| {
                format!("{} {what} are lacking: {need} needed, {most} there", need - most)
            })
            .collect();
        if lacks.is_empty() {
            Ok(())
        } else {
            Err(lacks.join("; "))
        }
    }
}

/// What several plays at one size gave.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Range {
    pub least: f64,
    pub median: f64,
    pub most: f64,
}

impl Range {
    /// None where nothing was measured.
    pub fn of(plays: &[f64]) -> Option<Range> {
        let mut sorted = plays.to_vec();
        sorted.sort_by(f64::total_cmp);
        let (least, most) = (*sorted.first()?, *sorted.last()?);
        Some(Range { least, median: sorted[sorted.len() / 2], most })
    }

    fn json(&self) -> Value {
        json!([tidy(self.least), tidy(self.median), tidy(self.most)])
    }
}

/// Four digits that count.
fn tidy(value: f64) -> f64 {
    format!("{value:.3e}").parse().unwrap_or(value)
}

/// How a need grows with the size.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Form {
    Log,
    Root,
    Linear,
    NLogN,
}

impl Form {
    const ALL: [Form; 4] = [Form::Log, Form::Root, Form::Linear, Form::NLogN];

    pub fn of(self, size: f64) -> f64 {
        match self {
            Form::Log => size.max(1.0).ln(),
            Form::Root => size.sqrt(),
            Form::Linear => size,
            Form::NLogN => size * size.max(1.0).ln(),
        }
    }
}

/// `intercept + slope * form(size)`, and the largest share by which it misses a measured size.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    pub form: Form,
    pub slope: f64,
    pub intercept: f64,
    pub misses_by: f64,
}

impl Fit {
    /// By least squares of the shares missed, in the form that misses by least. None for fewer than two sizes.
    pub fn of(points: &[(f64, f64)]) -> Option<Fit> {
        let fits = Form::ALL.into_iter().filter_map(|form| Fit::in_form(form, points));
        fits.min_by(|one, other| one.misses_by.total_cmp(&other.misses_by))
    }

    fn in_form(form: Form, points: &[(f64, f64)]) -> Option<Fit> {
        let weight = |y: f64| 1.0 / y.abs().max(1e-12).powi(2);
        let mut sums = [0.0; 5];
        for &(size, y) in points {
            let (x, weight) = (form.of(size), weight(y));
            for (sum, value) in sums.iter_mut().zip([1.0, x, y, x * x, x * y]) {
                *sum += weight * value;
            }
        }
        let [count, x, y, xx, xy] = sums;
        let spread = xx * count - x * x;
        if points.len() < 2 || spread <= 1e-9 * xx * count {
            return None;
        }
        let slope = (xy * count - x * y) / spread;
        let intercept = (y - slope * x) / count;
        let misses =
            |&(size, y): &(f64, f64)| (intercept + slope * form.of(size) - y).abs() / y.abs().max(1e-12);
        let misses_by = points.iter().map(misses).fold(0.0, f64::max);
        Some(Fit { form, slope, intercept, misses_by })
    }

    pub fn at(&self, size: f64) -> f64 {
        self.intercept + self.slope * self.form.of(size)
    }
}

/// One need, measured by size.
#[derive(Clone, Debug)]
pub struct Row {
    /// What grows and with what, in words: `CPU a request, by engines`.
    pub name: String,
    /// Of the need.
    pub unit: &'static str,
    /// By size, in growing order; the plays at each. The target's own size stays out of it.
    pub measured: Vec<(f64, Vec<f64>)>,
    pub target: f64,
    /// Plays at the target, or why there are none.
    pub at_target: Result<Vec<f64>, String>,
    /// The most that may be needed there, where that is stated.
    pub budget: Option<f64>,
}

impl Row {
    pub fn fit(&self) -> Option<Fit> {
        let points = self.measured.iter();
        let points = points.filter_map(|(size, plays)| Range::of(plays).map(|range| (*size, range.median)));
        Fit::of(&points.collect::<Vec<_>>())
    }

    /// Budget over need, as measured at the target, or else as foretold.
    pub fn headroom(&self) -> Option<f64> {
        let measured = self.at_target.as_ref().ok().and_then(|plays| Range::of(plays));
        let need =
            measured.map(|range| range.median).or_else(|| self.fit().map(|fit| fit.at(self.target)))?;
        Some(self.budget? / need.max(1e-12))
    }

    pub fn json(&self) -> Value {
        let fit = self.fit();
        let measured: Vec<Value> = self
            .measured
            .iter()
            .map(|(_, plays)| json!(Range::of(plays).map(|range| range.json())))
            .collect();
        let mut row = json!({
            "name": self.name,
            "unit": self.unit,
            "sizes": self.measured.iter().map(|(size, _)| *size).collect::<Vec<_>>(),
            "measured": measured,
            "form": fit.map(|fit| format!("{:?}", fit.form)),
            "slope": fit.map(|fit| tidy(fit.slope)),
            "intercept": fit.map(|fit| tidy(fit.intercept)),
            "misses_by": fit.map(|fit| tidy(fit.misses_by)),
            "target": self.target,
            "foretold_at_target": fit.map(|fit| tidy(fit.at(self.target))),
            "measured_at_target": self.at_target.as_ref().ok().map(|plays| Range::of(plays).map(|range| range.json())),
            "budget": self.budget,
            "headroom": self.headroom().map(tidy),
        });
        if let Err(why) = &self.at_target {
            row["not_measured_at_target"] = json!(why);
        }
        row
    }
}

/// The last line: the leading row's fields, and the other rows under `rows`.
pub fn report(what: &str, ask: &Ask, rows: &[Row], more: Value) -> Value {
    let mut report = rows.first().map_or_else(|| json!({}), Row::json);
    report["what"] = json!(what);
    report["seed"] = json!(ask.seed);
    report["plays"] = json!(ask.plays);
    report["rows"] = rows.iter().skip(1).map(Row::json).collect();
    report["more"] = more;
    report
}

/// Plays one of the asks by its name; an error says what the machine lacks, before anything is started.
pub fn measure(what: &str, ask: &Ask) -> Result<Value, String> {
    match what {
        "decisions" => decisions::measure(ask),
        "clients" => clients::measure(ask),
        "links" => links::measure(ask),
        "lists" => lists::measure(ask),
        "members" => members::measure(ask),
        "configuration" => configuration::measure(ask),
        "primary" => primary::measure(ask),
        "whole" => whole::measure(ask),
        _ => Err(format!(
            "`--what {what}`: decisions, clients, links, lists, members, configuration, primary or whole were expected"
        )),
    }
}

#[cfg(test)]
mod tests;

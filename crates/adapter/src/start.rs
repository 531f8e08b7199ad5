//! The first message's path=value pairs, read into what the decisions are told at the start.

use crate::wire::Complaint;
use cleatgw::{Category, ColdStart, Deployment, Effect, Kind, PushBudget, Reach};
use std::collections::HashMap;

/// The names behind the small indices, and the columns of load reports.
#[derive(Default)]
pub struct Names {
    pub categories: Vec<String>,
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
    pub columns: Vec<String>,
}

struct Pairs<'a>(HashMap<&'a str, &'a str>);

impl<'a> Pairs<'a> {
    fn text(&self, path: &str) -> Option<&'a str> {
        self.0.get(path).copied().filter(|text| !text.is_empty() && *text != "-")
    }

    fn maybe(&self, path: &str) -> Result<Option<f64>, Complaint> {
        let Some(text) = self.text(path) else { return Ok(None) };
        match text.parse::<f64>() {
            Ok(number) if number.is_finite() => Ok(Some(number)),
            _ => Err(Complaint(format!("BEGIN: setting {path}: expected a number, got \"{text}\""))),
        }
    }

    fn number(&self, path: &str, absent: f64) -> Result<f64, Complaint> {
        Ok(self.maybe(path)?.unwrap_or(absent))
    }

    fn time(&self, path: &str, absent: f64) -> Result<f64, Complaint> {
        Ok(self.maybe(path)?.map_or(absent, |us| us / 1e6))
    }

    fn flag(&self, path: &str) -> bool {
        matches!(self.text(path), Some("true" | "1"))
    }

    fn list(&self, path: &str) -> Vec<&'a str> {
        self.text(path).map_or(Vec::new(), |text| text.split(',').collect())
    }

    fn count(&self, path: &str) -> Result<usize, Complaint> {
        let count = self.number(&format!("{path}.count"), 0.0)?;
        if (0.0..=10_000.0).contains(&count) {
            return Ok(count as usize);
        }
        Err(Complaint(format!("BEGIN: setting {path}.count: expected 0 to 10000, got {count}")))
    }

    /// Numbers of a list; one that does not parse is named.
    fn numbers(&self, path: &str) -> Result<Vec<f64>, Complaint> {
        self.list(path)
            .into_iter()
            .map(|text| {
                text.parse().map_err(|_| {
                    Complaint(format!("BEGIN: setting {path}: expected numbers, got \"{text}\""))
                })
            })
            .collect()
    }
}

fn owned(list: &[&str]) -> Vec<String> {
    list.iter().map(|text| text.to_string()).collect()
}

/// The index of a name, which joins the list if it is new.
pub fn index_of(names: &mut Vec<String>, name: &str) -> usize {
    names.iter().position(|known| known == name).unwrap_or_else(|| {
        names.push(name.to_string());
        names.len() - 1
    })
}

pub fn read(text: &str) -> Result<(Deployment, Names), Complaint> {
    let pairs = Pairs(text.split(' ').filter_map(|pair| pair.split_once('=')).collect());
    let mut names = Names {
        zones: owned(&pairs.list("zones")),
        kinds: owned(&pairs.list("shapes")),
        columns: owned(&pairs.list("report.columns")),
        ..Names::default()
    };
    let threads = pairs.numbers("family-info.parallelism")?;
    let holds = pairs.list("family-info.is-load");
    let waits = pairs.list("family-info.yields-to-loads");
    let mut categories = Vec::new();
    for at in 0..pairs.count("categories")? {
        let path = |key: &str| format!("categories.{at}.{key}");
        names.categories.push(pairs.text(&path("name")).unwrap_or_default().to_string());
        let effect = match pairs.text(&path("idempotency")) {
            Some("safe") => Effect::Pure,
            Some("keyed") => Effect::Receipted {
                reach: match pairs.text(&path("group")) {
                    Some("all") => Reach::All,
                    Some("zone") => Reach::Zone,
                    _ => Reach::Cell,
                },
                window: pairs.time(&path("window-us"), 0.0)?,
            },
            _ => Effect::Effectful,
        };
        let bound = |key: &str, known: &mut Vec<String>| {
            let allowed = pairs.list(&path(key));
            (!allowed.is_empty()).then(|| allowed.iter().map(|name| index_of(known, name)).collect())
        };
        categories.push(Category {
            only_zones: bound("confined-to", &mut names.zones),
            only_kinds: bound("allowed-on", &mut names.kinds),
            credit: pairs.number(&path("gain"), 1.0)?,
            late_share: pairs.number(&path("late-worth"), 0.0)?,
            expected_time: pairs.time(&path("objective-us"), 1.0)?,
            stretch: pairs.number(&path("aim-stretch"), 0.0)?,
            threads: threads.get(at).copied().unwrap_or(1.0).max(1.0),
            effect,
            holds_tables: holds.get(at) == Some(&"true"),
            waits_for_holders: waits.get(at) == Some(&"true"),
            in_key_order: pairs.flag(&path("serial-by-key")),
        });
    }
    let cores = pairs.numbers("family-info.cores-by-kind")?;
    let memory = pairs.numbers("family-info.ram-of-kind-mb")?;
    let kinds = (0..names.kinds.len())
        .map(|at| Kind {
            cores: cores.get(at).copied().unwrap_or(1.0).max(1.0),
            memory_mb: memory.get(at).copied().unwrap_or(0.0),
        })
        .collect();
    let budget = match pairs.maybe("rules.look-back-us")? {
        None => None,
        Some(window) => Some(PushBudget {
            spare: pairs.number("rules.spare-attempts", 0.0)?,
            share: pairs.number("rules.budget-share", 0.0)?,
            window: window / 1e6,
        }),
    };
    let asks = pairs.text("discovery") == Some("subscribe");
    let deployment = Deployment {
        gateways: pairs.number("balancers", 1.0)?.max(1.0),
        categories,
        kinds,
        largest_share: pairs.number("family-info.largest-share", 1.0)?,
        grants: pairs.flag("family-info.grants-count"),
        trims: pairs.text("family-info.overbooked") == Some("trim"),
        pages: pairs.text("family-info.overbooked") == Some("swap"),
        lanes: pairs.flag("family-info.takes-priority"),
        call_off: pairs.flag("limits.cancel"),
        copies: pairs.flag("limits.second-copies"),
        most_pushes: pairs.number("limits.max-attempts", 1.0)? as u32,
        advice: match pairs.flag("limits.retry-after") {
            true => Some(pairs.time("limits.max-retry-after-us", 0.0)?),
            false => None,
        },
        ask_within: if asks { Some(pairs.time("rules.ask-within-us", 10.0)?) } else { None },
        cold: ColdStart {
            from: pairs.number("rules.cold-from", 1.0)?,
            warm_after: pairs.time("rules.warm-after-us", 0.0)?,
            multiple: pairs.number("rules.fall-multiple", 1.0)?,
            window: pairs.time("rules.overload-for-us", 0.0)?,
        },
        budget,
        key_rest: pairs.time("rules.key-quiet-us", 0.0)?,
    };
    Ok((deployment, names))
}

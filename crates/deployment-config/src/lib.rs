//! What a deployment states at the start: `path=value` pairs of the wire, or the same as nested JSON, read into
//! what the decisions are told, the names behind the small indices, and what connections need to know.

mod contradictions;
mod peers;

use cleatgw::{
    DeduplicationScope, Deployment, EngineKind, Idempotency, RequestClass, RetryBudget, SlowStart,
};
use serde_json::Value;
use std::collections::HashMap;

pub use peers::engine_incarnation;

/// What was wrong with the input, in words for a person.
#[derive(Debug, PartialEq)]
pub struct Complaint(pub String);

/// The names behind the small indices, and the columns of load reports.
#[derive(Default)]
pub struct Names {
    pub classes: Vec<String>,
    pub tenants: Vec<String>,
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
    pub columns: Vec<String>,
}

/// What is stated of connections to engines; times in seconds.
#[derive(Clone, Copy, Debug)]
pub struct LinkLimits {
    pub connect_time_out: f64,
    pub idle_after: f64,
    pub max_attempts_per_connection: usize,
}

/// What is stated, by the wire's paths.
pub struct Pairs(HashMap<String, String>);

/// A value as the wire writes it: without spaces and commas.
pub fn flat(text: &str) -> String {
    text.replace([' ', ','], "_")
}

impl Pairs {
    /// The wire's form: `path=value`, parted by spaces.
    pub fn from_words(text: &str) -> Pairs {
        let owned = |(path, value): (&str, &str)| (path.to_string(), value.to_string());
        Pairs(text.split(' ').filter_map(|pair| pair.split_once('=')).map(owned).collect())
    }

    pub fn from_json(value: &Value) -> Pairs {
        let mut pairs = Pairs(HashMap::new());
        pairs.flatten("", value);
        pairs
    }

    fn flatten(&mut self, path: &str, value: &Value) {
        let below = |key: &str| if path.is_empty() { key.to_string() } else { format!("{path}.{key}") };
        match value {
            Value::Object(members) => {
                members.iter().for_each(|(key, value)| self.flatten(&below(key), value))
            }
            Value::Array(items) if items.iter().any(|item| item.is_object() || item.is_array()) => {
                self.0.insert(below("count"), items.len().to_string());
                items.iter().enumerate().for_each(|(at, item)| self.flatten(&below(&at.to_string()), item));
            }
            Value::Array(items) => {
                self.0.insert(below("count"), items.len().to_string());
                let items: Vec<String> = items.iter().map(plain).collect();
                self.0.insert(path.to_string(), items.join(","));
            }
            _ => drop(self.0.insert(path.to_string(), plain(value))),
        }
    }

    fn text(&self, path: &str) -> Option<&str> {
        self.0.get(path).map(String::as_str).filter(|text| !text.is_empty() && *text != "-")
    }

    fn maybe(&self, path: &str) -> Result<Option<f64>, Complaint> {
        let Some(text) = self.text(path) else { return Ok(None) };
        match text.parse::<f64>() {
            Ok(number) if number.is_finite() => Ok(Some(number)),
            _ => Err(Complaint(format!("setting {path}: expected a number, got \"{text}\""))),
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

    fn list(&self, path: &str) -> Vec<&str> {
        self.text(path).map_or(Vec::new(), |text| text.split(',').collect())
    }

    fn count(&self, path: &str) -> Result<usize, Complaint> {
        let count = self.number(&format!("{path}.count"), 0.0)?;
        if (0.0..=10_000.0).contains(&count) {
            return Ok(count as usize);
        }
        Err(Complaint(format!("setting {path}.count: expected 0 to 10000, got {count}")))
    }

    /// Numbers of a list; one that does not parse is named.
    fn numbers(&self, path: &str) -> Result<Vec<f64>, Complaint> {
        self.list(path)
            .into_iter()
            .map(|text| {
                text.parse()
                    .map_err(|_| Complaint(format!("setting {path}: expected numbers, got \"{text}\"")))
            })
            .collect()
    }

    /// Which of how many instances this one is, where they may tell each other something.
    pub fn instances(&self) -> Result<Option<(u16, u64)>, Complaint> {
        let number = |path| self.number(path, 0.0).map(|number| number.clamp(0.0, 65_535.0));
        let (me, all) = (number("self-index")?, number("balancers")?);
        Ok(self.flag("limits.peers").then_some((me as u16, all as u64)))
    }

    /// How long a client waits for a request at most.
    pub fn longest_request(&self) -> Result<Option<f64>, Complaint> {
        let longest = |at| self.time(&format!("categories.{at}.hard-limit-us"), 0.0);
        let limits: Vec<f64> = (0..self.count("categories")?).map(longest).collect::<Result<_, _>>()?;
        Ok(limits.into_iter().reduce(f64::max).filter(|&longest| longest > 0.0))
    }

    pub fn link_limits(&self) -> Result<LinkLimits, Complaint> {
        Ok(LinkLimits {
            connect_time_out: self.time("limits.connect-timeout-us", 0.25)?,
            idle_after: self.time("limits.conn-idle-us", 15.0)?,
            max_attempts_per_connection: self.number("limits.multiplex", 1.0)?.max(1.0) as usize,
        })
    }
}

fn plain(value: &Value) -> String {
    match value {
        Value::String(text) => flat(text),
        Value::Null => String::new(),
        other => other.to_string(),
    }
}

/// The same at every gateway and in every build: FNV-1a.
pub fn name_hash(text: &str) -> u64 {
    text.bytes()
        .fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3))
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

pub fn read(pairs: &Pairs) -> Result<(Deployment, Names), Complaint> {
    let mut names = Names {
        zones: owned(&pairs.list("zones")),
        kinds: owned(&pairs.list("shapes")),
        columns: owned(&pairs.list("report.columns")),
        ..Names::default()
    };
    let threads = pairs.numbers("family-info.parallelism")?;
    let holds = pairs.list("family-info.is-load");
    let waits = pairs.list("family-info.yields-to-loads");
    for at in 0..pairs.count("tenants")? {
        names.tenants.extend(pairs.text(&format!("tenants.{at}.name")).map(str::to_string));
    }
    let mut classes = Vec::new();
    for at in 0..pairs.count("categories")? {
        let path = |key: &str| format!("categories.{at}.{key}");
        names.classes.push(pairs.text(&path("name")).unwrap_or_default().to_string());
        let idempotency = match pairs.text(&path("idempotency")) {
            Some("safe") => Idempotency::Idempotent,
            Some("keyed") => Idempotency::Deduplicated {
                scope: match pairs.text(&path("group")) {
                    Some("all") => DeduplicationScope::All,
                    Some("zone") => DeduplicationScope::Zone,
                    _ => DeduplicationScope::Cell,
                },
                window: pairs.time(&path("window-us"), 0.0)?,
            },
            _ => Idempotency::NonIdempotent,
        };
        let bound = |key: &str, known: &mut Vec<String>| {
            let allowed = pairs.list(&path(key));
            (!allowed.is_empty()).then(|| allowed.iter().map(|name| index_of(known, name)).collect())
        };
        classes.push(RequestClass {
            allowed_zones: bound("confined-to", &mut names.zones),
            allowed_kinds: bound("allowed-on", &mut names.kinds),
            value: pairs.number(&path("gain"), 1.0)?,
            late_value_share: pairs.number(&path("late-worth"), 0.0)?,
            latency_objective: pairs.time(&path("objective-us"), 1.0)?,
            max_wait: pairs.time(&path("hard-limit-us"), f64::INFINITY)?,
            objective_stretch: pairs.number(&path("aim-stretch"), 0.0)?,
            threads: threads.get(at).copied().unwrap_or(1.0).max(1.0),
            idempotency,
            locks_tables: holds.get(at) == Some(&"true"),
            waits_for_table_locks: waits.get(at) == Some(&"true"),
            in_key_order: pairs.flag(&path("serial-by-key")),
        });
    }
    let cores = pairs.numbers("family-info.cores-by-kind")?;
    let memory = pairs.numbers("family-info.ram-of-kind-mb")?;
    let kinds = (0..names.kinds.len())
        .map(|at| EngineKind {
            cores: cores.get(at).copied().unwrap_or(1.0).max(1.0),
            memory_mb: memory.get(at).copied().unwrap_or(0.0),
        })
        .collect();
    let budget = match pairs.maybe("rules.look-back-us")? {
        None => None,
        Some(window) => Some(RetryBudget {
            base: pairs.number("rules.spare-attempts", 0.0)?,
            per_request: pairs.number("rules.budget-share", 0.0)?,
            window: window / 1e6,
        }),
    };
    let asks = pairs.text("discovery") == Some("subscribe");
    let deployment = Deployment {
        gateways: pairs.number("balancers", 1.0)?.max(1.0),
        classes,
        engine_kinds: kinds,
        max_memory_share: pairs.number("family-info.largest-share", 1.0)?,
        honours_grants: pairs.flag("family-info.grants-count"),
        trims_grants: pairs.text("family-info.overbooked") == Some("trim"),
        pages_memory: pairs.text("family-info.overbooked") == Some("swap"),
        has_priority_lanes: pairs.flag("family-info.takes-priority"),
        can_cancel: pairs.flag("limits.cancel"),
        allows_hedging: pairs.flag("limits.second-copies"),
        max_attempts: pairs.number("limits.max-attempts", 1.0)? as u32,
        max_retry_after: match pairs.flag("limits.retry-after") {
            true => Some(pairs.time("limits.max-retry-after-us", 0.0)?),
            false => None,
        },
        max_list_age: if asks { Some(pairs.time("rules.ask-within-us", 10.0)?) } else { None },
        slow_start: SlowStart {
            initial_share: pairs.number("rules.cold-from", 1.0)?,
            duration: pairs.time("rules.warm-after-us", 0.0)?,
            overload_multiple: pairs.number("rules.fall-multiple", 1.0)?,
            window: pairs.time("rules.overload-for-us", 0.0)?,
        },
        retry_budget: budget,
        key_rest: pairs.time("rules.key-quiet-us", 0.0)?,
    };
    Ok((deployment, names))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn nested_json_and_the_wires_pairs_state_the_same() {
        let json = serde_json::json!({
            "balancers": 3,
            "categories": [
                {"name": "look up", "idempotency": "safe", "objective-us": 750000, "hard-limit-us": 4000000},
                {"name": "load", "idempotency": "keyed", "group": "zone", "window-us": 12000000,
                 "confined-to": ["room a"], "hard-limit-us": 20000000},
            ],
            "zones": ["room a", "room,b"],
            "shapes": ["std"],
            "family-info": {"parallelism": [1, 2], "is-load": [false, true], "cores-by-kind": [8],
                            "grants-count": true},
            "limits": {"max-attempts": 3, "conn-idle-us": 30000000, "multiplex": 100},
            "tenants": [{"name": "town hall", "quota-per-s": 3.5}],
        });
        let words = "balancers=3 categories.count=2 categories.0.name=look_up categories.0.idempotency=safe \
            categories.0.objective-us=750000 categories.0.hard-limit-us=4000000 categories.1.name=load \
            categories.1.idempotency=keyed categories.1.group=zone categories.1.window-us=12000000 \
            categories.1.confined-to=room_a categories.1.hard-limit-us=20000000 zones=room_a,room_b shapes=std \
            family-info.parallelism=1,2 family-info.is-load=false,true family-info.cores-by-kind=8 \
            family-info.grants-count=true limits.max-attempts=3 limits.conn-idle-us=30000000 \
            limits.multiplex=100 tenants.count=1 tenants.0.name=town_hall";
        let both = [Pairs::from_json(&json), Pairs::from_words(words)].map(|pairs| {
            let (deployment, names) = read(&pairs).unwrap();
            assert_eq!(names.classes, ["look_up", "load"]);
            assert_eq!(names.tenants, ["town_hall"]);
            assert_eq!(names.zones, ["room_a", "room_b"]);
            assert_eq!(pairs.longest_request().unwrap(), Some(20.0));
            format!("{deployment:?} {:?}", pairs.link_limits().unwrap())
        });
        assert_eq!(both[0], both[1]);
        assert!(both[0].contains("only_zones: Some([0])") && both[0].contains("idle_after: 30.0"));
    }

    #[test]
    fn what_is_wrong_is_named_by_its_path() {
        let wrong = |json: serde_json::Value| match read(&Pairs::from_json(&json)) {
            Err(Complaint(words)) => words,
            Ok(_) => panic!("{json} was taken"),
        };
        let words = wrong(serde_json::json!({"rules": {"cold-from": "soon"}}));
        assert_eq!(words, "setting rules.cold-from: expected a number, got \"soon\"");
        let words = wrong(serde_json::json!({"family-info": {"parallelism": ["x"]}}));
        assert_eq!(words, "setting family-info.parallelism: expected numbers, got \"x\"");
    }
}

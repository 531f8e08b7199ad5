//! Reading what a router is told at its start.

use crate::protocol::discovery::{self, Event};
use crate::transport::Place;
use cleatgw::Deployment;
use cleatgw_deployment_config::{Complaint, Names, Pairs};
use serde_json::Value;
use std::hash::{BuildHasher, RandomState};
use std::net::SocketAddr;

/// All of a configuration.
pub struct Told {
    pub name: String,
    pub seed: u64,
    pub place: Place,
    pub known: Vec<Event>,
    pub deployment: Deployment,
    pub names: Names,
    /// Settings that contradict each other, by their fields.
    pub contradictions: Vec<String>,
    /// What stands for as long as the router runs, by its names.
    pub fixed: [(&'static str, Value); 4],
}

fn wrong<T>(field: &str, expected: &str, got: &Value) -> Result<T, Complaint> {
    let got: String = got.to_string().chars().take(40).collect();
    Err(Complaint(format!("field {field}: expected {expected}, got {got}")))
}

fn address(value: &Value, field: &str) -> Result<SocketAddr, Complaint> {
    match value.as_str().and_then(|text| text.parse().ok()) {
        Some(address) => Ok(address),
        None => wrong(field, "an address and a port", value),
    }
}

fn count(value: &Value, field: &str, absent: f64) -> Result<usize, Complaint> {
    match value {
        Value::Null => Ok(absent as usize),
        _ => match value.as_f64().filter(|number| (1.0..1e9).contains(number)) {
            Some(number) => Ok(number as usize),
            None => wrong(field, "a number above 0", value),
        },
    }
}

pub fn read(text: &str) -> Result<Told, Complaint> {
    let value: Value =
        serde_json::from_str(text).map_err(|error| Complaint(format!("expected JSON: {error}")))?;
    if !value.is_object() {
        return wrong("(all)", "an object", &value);
    }
    let limits = &value["limits"];
    let listen = address(&value["listen"], "listen")?;
    let discovery = match &value["board"] {
        Value::Null => None,
        given => Some(address(given, "board")?),
    };
    if !value["settings"].is_object() {
        return wrong("settings", "an object", &value["settings"]);
    }
    let pairs = Pairs::from_json(&value["settings"]);
    let within = |Complaint(words): Complaint| Complaint(format!("field settings: {words}"));
    let (deployment, names) = cleatgw_deployment_config::read(&pairs).map_err(within)?;
    let contradictions = pairs.contradictions().map_err(within)?;
    if deployment.classes.is_empty() {
        return wrong("settings.categories", "at least one", &value["settings"]["categories"]);
    }
    let known = &value["known"];
    let none = Vec::new();
    let notices = match &known["notices"] {
        Value::Null => &none,
        Value::Array(notices) => notices,
        other => return wrong("known.notices", "a list of events", other),
    };
    let read = |(at, notice)| {
        discovery::event(notice)
            .map_err(|discovery::Malformed(words)| Complaint(format!("field known.notices.{at}.{words}")))
    };
    let events: Vec<Event> = notices.iter().enumerate().map(read).collect::<Result<_, _>>()?;
    let told = events.iter().map(|event| event.number).max().unwrap_or(0);
    let seed = match &value["seed"] {
        Value::Null => RandomState::new().hash_one(0),
        Value::String(text) => cleatgw_deployment_config::name_hash(text),
        other => other.as_u64().map_or_else(|| wrong("seed", "a text", other), Ok)?,
    };
    Ok(Told {
        name: value["name"].as_str().unwrap_or("cleatgw").to_string(),
        seed,
        place: Place {
            listen,
            discovery,
            last_event: known["rev"].as_u64().unwrap_or(told).max(told),
            descriptors: count(&limits["sockets"], "limits.sockets", 65536.0)?,
            memory: count(&limits["memory_mb"], "limits.memory_mb", 256.0)? << 20,
            links: pairs.link_limits().map_err(within)?,
            longest_request: pairs.longest_request().map_err(within)?,
        },
        known: events,
        deployment,
        names,
        contradictions,
        fixed: ["name", "listen", "limits", "settings"].map(|field| (field, value[field].clone())),
    })
}

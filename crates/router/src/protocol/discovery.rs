//! The discovery service's lines: numbered events, and each second the last number alone.

use cleatgw::EngineStage;
use serde_json::Value;
use std::net::SocketAddr;

/// What the list says of one engine.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineEntry {
    pub uid: String,
    pub address: SocketAddr,
    pub zone: String,
    pub kind: String,
    pub cell: u64,
    pub stage: EngineStage,
    /// When it started late, in seconds of Unix time.
    pub started_at: Option<f64>,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Event {
    pub number: u64,
    /// The engine list, or what has changed of it; an event may tell of something else.
    pub list: Option<EngineList>,
}

/// The engine list, or what has changed of it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineList {
    /// It names all engines there are.
    pub is_complete: bool,
    pub entries: Vec<EngineEntry>,
}

impl Event {
    /// It holds a complete list, with which a watch may begin.
    pub fn is_complete_list(&self) -> bool {
        self.list.as_ref().is_some_and(|list| list.is_complete)
    }
}

#[derive(Debug, PartialEq)]
pub enum Line {
    Last(u64),
    Event(Event),
}

/// The field that was wrong, and what was expected.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{0}")]
pub struct Malformed(pub String);

fn expected<T>(value: Option<T>, field: &str, what: &str) -> Result<T, Malformed> {
    value.ok_or_else(|| Malformed(format!("{field}: expected {what}")))
}

pub fn watch(out: &mut Vec<u8>, last: u64) {
    out.extend(format!("watch {last}\n").bytes());
}

pub fn line(text: &[u8]) -> Result<Line, Malformed> {
    let value: Value = serde_json::from_slice(text).map_err(|error| Malformed(format!("line: {error}")))?;
    match value.as_u64() {
        Some(last) => Ok(Line::Last(last)),
        None => event(&value).map(Line::Event),
    }
}

pub fn event(value: &Value) -> Result<Event, Malformed> {
    let number = expected(value["rev"].as_u64(), "rev", "a whole number")?;
    let pool = &value["pool"];
    if pool.is_null() {
        return Ok(Event { number, list: None });
    }
    let is_complete = expected(pool["all"].as_bool(), "pool.all", "true or false")?;
    let targets = expected(pool["targets"].as_array(), "pool.targets", "a list")?;
    let entries = targets.iter().enumerate().map(|(at, target)| {
        entry(target).map_err(|Malformed(words)| Malformed(format!("pool.targets.{at}.{words}")))
    });
    Ok(Event { number, list: Some(EngineList { is_complete, entries: entries.collect::<Result<_, _>>()? }) })
}

fn entry(value: &Value) -> Result<EngineEntry, Malformed> {
    let uid = expected(value["uid"].as_str().filter(|uid| !uid.is_empty()), "uid", "a name")?;
    let address = value["endpoint"].as_str().and_then(|text| text.parse().ok());
    let stage = match value["state"].as_str() {
        Some("ready") => Some(EngineStage::Ready),
        Some("draining") => Some(EngineStage::Draining),
        Some("gone") => Some(EngineStage::Gone),
        _ => None,
    };
    let name = |field: &str| value[field].as_str().map_or(String::new(), cleatgw_deployment_config::flat);
    let boot = match &value["boot_ms"] {
        Value::Null => 0.0,
        boot => expected(boot.as_f64(), "boot_ms", "a number of milliseconds")?,
    };
    Ok(EngineEntry {
        uid: uid.to_string(),
        address: expected(address, "endpoint", "an address and a port")?,
        zone: name("az"),
        kind: name("model"),
        cell: value["pod_group"].as_u64().unwrap_or(0),
        stage: expected(stage, "state", "ready, draining or gone")?,
        started_at: Some(boot / 1e3).filter(|&at| at > 0.0),
    })
}

#[cfg(test)]
mod tests;

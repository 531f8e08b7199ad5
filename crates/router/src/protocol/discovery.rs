//! The line protocol of the discovery service. The service sends numbered events, and each second a line with only the
//! number of the last event.

use cleatgw::EngineStage;
use serde_json::Value;
use std::net::SocketAddr;

/// One engine in the engine list.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineEntry {
    pub uid: String,
    pub address: SocketAddr,
    pub zone: String,
    /// The kind of machine that the engine runs on.
    pub kind: String,
    /// The group of engines that may recognise repeats of each other's requests.
    pub cell: u64,
    pub stage: EngineStage,
    /// When the engine started, in seconds of Unix time. None if the list omits it or has 0, as it does for
    /// engines that started so long ago that it no longer matters.
    pub started_at: Option<f64>,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Event {
    pub number: u64,
    /// The engine list or the changes to it. None if the event is about something else.
    pub list: Option<EngineList>,
}

/// The whole engine list or the changes to it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineList {
    /// Whether `entries` holds all engines, and not only those that changed.
    pub is_complete: bool,
    pub entries: Vec<EngineEntry>,
}

impl Event {
    /// Whether the event holds a complete engine list, from which a watch may begin.
    pub fn is_complete_list(&self) -> bool {
        self.list.as_ref().is_some_and(|list| list.is_complete)
    }
}

/// A line from the discovery service.
#[derive(Debug, PartialEq)]
pub enum Line {
    /// The number of the last event, sent each second.
    LastNumber(u64),
    Event(Event),
}

/// A malformed line or event: the field, and what was expected there.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{0}")]
pub struct Malformed(pub String);

fn require<T>(value: Option<T>, field: &str, expected: &str) -> Result<T, Malformed> {
    value.ok_or_else(|| Malformed(format!("{field}: expected {expected}")))
}

/// Asks for the events after number `last`.
pub fn write_watch(out: &mut Vec<u8>, last: u64) {
    out.extend(format!("watch {last}\n").bytes());
}

/// Parses a line from the discovery service.
///
/// # Errors
/// The line is not JSON, or a field of its event is missing or invalid.
pub fn parse_line(text: &[u8]) -> Result<Line, Malformed> {
    let value: Value = serde_json::from_slice(text).map_err(|error| Malformed(format!("line: {error}")))?;
    match value.as_u64() {
        Some(last) => Ok(Line::LastNumber(last)),
        None => parse_event(&value).map(Line::Event),
    }
}

/// Parses an event.
///
/// # Errors
/// A field is missing or invalid.
pub fn parse_event(value: &Value) -> Result<Event, Malformed> {
    let number = require(value["rev"].as_u64(), "rev", "a whole number")?;
    let pool = &value["pool"];
    if pool.is_null() {
        return Ok(Event { number, list: None });
    }
    let is_complete = require(pool["all"].as_bool(), "pool.all", "true or false")?;
    let targets = require(pool["targets"].as_array(), "pool.targets", "a list")?;
    let entries = targets.iter().enumerate().map(|(index, target)| {
        parse_entry(target).map_err(|Malformed(message)| Malformed(format!("pool.targets.{index}.{message}")))
    });
    Ok(Event { number, list: Some(EngineList { is_complete, entries: entries.collect::<Result<_, _>>()? }) })
}

fn parse_entry(value: &Value) -> Result<EngineEntry, Malformed> {
    let uid = require(value["uid"].as_str().filter(|uid| !uid.is_empty()), "uid", "a name")?;
    let address = value["endpoint"].as_str().and_then(|text| text.parse().ok());
    let stage = match value["state"].as_str() {
        Some("ready") => Some(EngineStage::Ready),
        Some("draining") => Some(EngineStage::Draining),
        Some("gone") => Some(EngineStage::Gone),
        _ => None,
    };
    // Normalised as the names in the settings are, with which they are compared.
    let normalized_or_empty =
        |field: &str| value[field].as_str().map_or(String::new(), cleatgw_deployment_config::normalize_name);
    let boot_ms = match &value["boot_ms"] {
        Value::Null => 0.0,
        given => require(given.as_f64(), "boot_ms", "a number of milliseconds")?,
    };
    Ok(EngineEntry {
        uid: uid.to_string(),
        address: require(address, "endpoint", "an address and a port")?,
        zone: normalized_or_empty("az"),
        kind: normalized_or_empty("model"),
        cell: value["pod_group"].as_u64().unwrap_or(0),
        stage: require(stage, "state", "ready, draining or gone")?,
        started_at: Some(boot_ms / 1e3).filter(|&seconds| seconds > 0.0),
    })
}

#[cfg(test)]
mod tests;

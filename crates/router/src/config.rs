//! Reading the configuration that a router is given at its start.

use crate::protocol::discovery::{self, Event, Malformed};
use crate::transport::RouterSettings;
use cleatgw::Deployment;
use cleatgw_deployment_config::{
    name_hash, read_deployment, Contradiction, NamedDeployment, Names, SettingError, Settings,
};
use serde_json::Value;
use std::hash::{BuildHasher, RandomState};
use std::net::SocketAddr;

/// Of a value that is wrong, so many characters are told.
const MAX_SHOWN: usize = 40;
const DEFAULT_NAME: &str = "cleatgw";
const DEFAULT_DESCRIPTORS: f64 = 65_536.0;
const DEFAULT_MEMORY_MB: f64 = 256.0;
const BYTES_PER_MB_BITS: u32 = 20;
/// The fields that stand for as long as the router runs.
const FIXED_FIELDS: [&str; 4] = ["name", "listen", "limits", "settings"];

/// A configuration that can't be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    #[error("expected JSON: {0}")]
    Json(#[from] serde_json::Error),
    #[error("field {field}: expected {expected}, got {got}")]
    Field { field: &'static str, expected: &'static str, got: String },
    #[error("field settings: {0}")]
    Setting(#[from] SettingError),
    #[error("field known.notices.{index}.{source}")]
    Notice { index: usize, source: Malformed },
}

fn wrong(field: &'static str, expected: &'static str, got: &Value) -> ConfigError {
    let got = got.to_string().chars().take(MAX_SHOWN).collect();
    ConfigError::Field { field, expected, got }
}

/// All of a configuration.
pub struct LoadedConfig {
    /// The name of this router.
    pub name: String,
    /// What its chance is drawn from.
    pub seed: u64,
    pub router: RouterSettings,
    /// The events of discovery that are known at the start.
    pub known: Vec<Event>,
    pub deployment: Deployment,
    pub names: Names,
    pub contradictions: Vec<Contradiction>,
    pub fixed: FixedFields,
}

/// The fields that can't change while the router runs, as they stand in a configuration.
#[derive(Clone)]
pub struct FixedFields([Value; FIXED_FIELDS.len()]);

impl FixedFields {
    fn of(config: &Value) -> FixedFields {
        FixedFields(FIXED_FIELDS.map(|field| config[field].clone()))
    }

    /// The names of those that another configuration changes.
    pub fn changed_in(&self, new: &FixedFields) -> Vec<&'static str> {
        let fields = FIXED_FIELDS.into_iter().zip(self.0.iter().zip(&new.0));
        fields.filter(|(_, (was, is))| was != is).map(|(field, _)| field).collect()
    }
}

fn address(value: &Value, field: &'static str) -> Result<SocketAddr, ConfigError> {
    let address = value.as_str().and_then(|text| text.parse().ok());
    address.ok_or_else(|| wrong(field, "an address and a port", value))
}

/// A number above 0, or `absent`.
fn count(value: &Value, field: &'static str, absent: f64) -> Result<usize, ConfigError> {
    if value.is_null() {
        return Ok(absent as usize);
    }
    let number = value.as_f64().filter(|number| (1.0..1e9).contains(number));
    number.map(|number| number as usize).ok_or_else(|| wrong(field, "a number above 0", value))
}

/// Reads a configuration.
///
/// # Errors
/// The first thing that is wrong, by its field.
pub fn read(text: &str) -> Result<LoadedConfig, ConfigError> {
    let value: Value = serde_json::from_str(text)?;
    if !value.is_object() {
        return Err(wrong("(all)", "an object", &value));
    }
    let listen = address(&value["listen"], "listen")?;
    let discovery = match &value["board"] {
        Value::Null => None,
        given => Some(address(given, "board")?),
    };
    if !value["settings"].is_object() {
        return Err(wrong("settings", "an object", &value["settings"]));
    }
    let settings = Settings::from_json(&value["settings"]);
    let NamedDeployment { deployment, names } = read_deployment(&settings)?;
    let contradictions = settings.contradictions()?;
    if deployment.classes.is_empty() {
        return Err(wrong("settings.categories", "at least one", &value["settings"]["categories"]));
    }
    let known = known_events(&value["known"]["notices"])?;
    let last_known = known.iter().map(|event| event.number).max().unwrap_or(0);
    let limits = &value["limits"];
    Ok(LoadedConfig {
        name: value["name"].as_str().unwrap_or(DEFAULT_NAME).to_string(),
        seed: seed(&value["seed"])?,
        router: RouterSettings {
            listen,
            discovery,
            last_event: value["known"]["rev"].as_u64().unwrap_or(last_known).max(last_known),
            descriptors: count(&limits["sockets"], "limits.sockets", DEFAULT_DESCRIPTORS)?,
            memory: count(&limits["memory_mb"], "limits.memory_mb", DEFAULT_MEMORY_MB)? << BYTES_PER_MB_BITS,
            connections: settings.connection_limits()?,
            longest_request: settings.longest_request()?,
        },
        known,
        deployment,
        names,
        contradictions,
        fixed: FixedFields::of(&value),
    })
}

/// The events of discovery that the configuration holds.
fn known_events(notices: &Value) -> Result<Vec<Event>, ConfigError> {
    let notices = match notices {
        Value::Null => return Ok(Vec::new()),
        Value::Array(notices) => notices,
        other => return Err(wrong("known.notices", "a list of events", other)),
    };
    let read = |(index, notice)| {
        discovery::parse_event(notice).map_err(|source| ConfigError::Notice { index, source })
    };
    notices.iter().enumerate().map(read).collect()
}

fn seed(value: &Value) -> Result<u64, ConfigError> {
    match value {
        Value::Null => Ok(RandomState::new().hash_one(0)),
        Value::String(text) => Ok(name_hash(text)),
        other => other.as_u64().ok_or_else(|| wrong("seed", "a text", other)),
    }
}

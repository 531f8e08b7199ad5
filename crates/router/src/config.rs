//! Reads the configuration file of a router.

use crate::protocol::discovery::{self, Event, Malformed};
use crate::transport::RouterSettings;
use cleatgw::Deployment;
use cleatgw_deployment_config::{
    name_hash, read_deployment, Contradiction, NamedDeployment, Names, SettingError, Settings,
};
use serde_json::Value;
use std::hash::{BuildHasher, RandomState};
use std::net::SocketAddr;

/// How many characters of an invalid value an error message shows.
const MAX_SHOWN_CHARS: usize = 40;
const DEFAULT_NAME: &str = "cleatgw";
const DEFAULT_DESCRIPTORS: f64 = 65_536.0;
const DEFAULT_MEMORY_MB: f64 = 256.0;
const BYTES_PER_MB: usize = 1 << 20;
/// The fields that can't change while the router runs.
const FIXED_FIELDS: [&str; 4] = ["name", "listen", "limits", "settings"];

/// Why a configuration can't be used.
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

fn field_error(field: &'static str, expected: &'static str, got: &Value) -> ConfigError {
    let got = got.to_string().chars().take(MAX_SHOWN_CHARS).collect();
    ConfigError::Field { field, expected, got }
}

/// A configuration that has been read.
pub struct LoadedConfig {
    /// The name of this router.
    pub name: String,
    /// The seed of the router's random choices.
    pub seed: u64,
    /// The settings of the sockets and connections.
    pub router: RouterSettings,
    /// The events of the discovery service that the configuration lists.
    pub known_events: Vec<Event>,
    /// The deployment as the decision core sees it, with indices in place of names.
    pub deployment: Deployment,
    /// The names of classes, tenants, zones, engine kinds and columns of load reports, by their indices.
    pub names: Names,
    /// Settings that contradict each other. The router warns of them and runs.
    pub contradictions: Vec<Contradiction>,
    pub fixed: FixedFields,
}

/// The values that a configuration has in the fields that can't change while the router runs.
#[derive(Clone)]
pub struct FixedFields([Value; FIXED_FIELDS.len()]);

impl FixedFields {
    fn of(config: &Value) -> FixedFields {
        FixedFields(FIXED_FIELDS.map(|field| config[field].clone()))
    }

    /// The names of the fields that have other values in `new`.
    pub fn changed_in(&self, new: &FixedFields) -> Vec<&'static str> {
        let fields = FIXED_FIELDS.into_iter().zip(self.0.iter().zip(&new.0));
        fields.filter(|(_, (old, new))| old != new).map(|(field, _)| field).collect()
    }
}

fn address(value: &Value, field: &'static str) -> Result<SocketAddr, ConfigError> {
    let address = value.as_str().and_then(|text| text.parse().ok());
    address.ok_or_else(|| field_error(field, "an address and a port", value))
}

/// A number of at least 1 and below 1e9, rounded down, or `default` if the field is absent.
fn count(value: &Value, field: &'static str, default: f64) -> Result<usize, ConfigError> {
    if value.is_null() {
        return Ok(default as usize);
    }
    let number = value.as_f64().filter(|number| (1.0..1e9).contains(number));
    number
        .map(|number| number as usize)
        .ok_or_else(|| field_error(field, "a number above 0, at least 1 and below 1e9", value))
}

/// Reads a configuration from the text of its file.
///
/// # Errors
/// The text is not JSON, or a field is missing or invalid. The first such field is named.
pub fn read(text: &str) -> Result<LoadedConfig, ConfigError> {
    let value: Value = serde_json::from_str(text)?;
    if !value.is_object() {
        return Err(field_error("(top level)", "an object", &value));
    }
    let listen = address(&value["listen"], "listen")?;
    let discovery = match &value["board"] {
        Value::Null => None,
        given => Some(address(given, "board")?),
    };
    if !value["settings"].is_object() {
        return Err(field_error("settings", "an object", &value["settings"]));
    }
    let settings = Settings::from_json(&value["settings"]);
    let NamedDeployment { deployment, names } = read_deployment(&settings)?;
    let contradictions = settings.contradictions()?;
    if deployment.classes.is_empty() {
        return Err(field_error("settings.categories", "at least one", &value["settings"]["categories"]));
    }
    let known_events = read_known_events(&value["known"]["notices"])?;
    let last_known = known_events.iter().map(|event| event.number).max().unwrap_or(0);
    let limits = &value["limits"];
    Ok(LoadedConfig {
        name: value["name"].as_str().unwrap_or(DEFAULT_NAME).to_string(),
        seed: seed(&value["seed"])?,
        router: RouterSettings {
            listen,
            discovery,
            // The event number that is stated, but at least that of the last event that is listed.
            last_event: value["known"]["rev"].as_u64().unwrap_or(last_known).max(last_known),
            descriptors: count(&limits["sockets"], "limits.sockets", DEFAULT_DESCRIPTORS)?,
            memory: count(&limits["memory_mb"], "limits.memory_mb", DEFAULT_MEMORY_MB)? * BYTES_PER_MB,
            connections: settings.connection_limits()?,
            longest_request: settings.longest_request()?,
        },
        known_events,
        deployment,
        names,
        contradictions,
        fixed: FixedFields::of(&value),
    })
}

/// The events of the discovery service that the configuration lists.
fn read_known_events(notices: &Value) -> Result<Vec<Event>, ConfigError> {
    let notices = match notices {
        Value::Null => return Ok(Vec::new()),
        Value::Array(notices) => notices,
        other => return Err(field_error("known.notices", "a list of events", other)),
    };
    let read_event = |(index, notice)| {
        discovery::parse_event(notice).map_err(|source| ConfigError::Notice { index, source })
    };
    notices.iter().enumerate().map(read_event).collect()
}

/// The seed: a number, the hash of a text, or a random number if the field is absent.
fn seed(value: &Value) -> Result<u64, ConfigError> {
    match value {
        Value::Null => Ok(RandomState::new().hash_one(0)),
        Value::String(text) => Ok(name_hash(text)),
        other => {
            other.as_u64().ok_or_else(|| field_error("seed", "a text or a whole number of at least 0", other))
        }
    }
}

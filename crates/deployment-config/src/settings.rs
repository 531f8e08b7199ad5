//! The settings of a deployment by path, such as `limits.max-attempts`.

use crate::SettingError;
use serde_json::Value;
use std::collections::HashMap;

/// The largest length of a list of objects.
const MAX_COUNT: f64 = 10_000.0;
const MICROSECONDS_PER_SECOND: f64 = 1e6;

/// The settings of a deployment, by the paths that the simulator uses.
pub struct Settings(HashMap<String, String>);

/// Normalizes a name to the form that the simulator sends: spaces and commas, which separate values there, become `_`.
pub fn normalize_name(text: &str) -> String {
    text.replace([' ', ','], "_")
}

/// The text of a JSON value that is not a list or an object.
fn scalar_text(value: &Value) -> String {
    match value {
        Value::String(text) => normalize_name(text),
        Value::Null => String::new(),
        other => other.to_string(),
    }
}

impl Settings {
    /// Reads the settings that the simulator sends: `path=value` pairs, separated by spaces.
    pub fn from_pairs(text: &str) -> Settings {
        let pairs = text.split(' ').filter_map(|pair| pair.split_once('='));
        Settings(pairs.map(|(path, value)| (path.to_string(), value.to_string())).collect())
    }

    /// Reads the settings from nested JSON.
    pub fn from_json(value: &Value) -> Settings {
        let mut settings = Settings(HashMap::new());
        settings.flatten("", value);
        settings
    }

    /// Adds a JSON value and everything in it, each by its path.
    fn flatten(&mut self, path: &str, value: &Value) {
        let child_path = |key: &str| if path.is_empty() { key.to_string() } else { format!("{path}.{key}") };
        match value {
            Value::Object(members) => {
                for (key, value) in members {
                    self.flatten(&child_path(key), value);
                }
            }
            Value::Array(items) => {
                self.0.insert(child_path("count"), items.len().to_string());
                if items.iter().any(|item| item.is_object() || item.is_array()) {
                    for (index, item) in items.iter().enumerate() {
                        self.flatten(&child_path(&index.to_string()), item);
                    }
                } else {
                    let items: Vec<String> = items.iter().map(scalar_text).collect();
                    self.0.insert(path.to_string(), items.join(","));
                }
            }
            Value::Null | Value::Bool(_) | Value::Number(_) | Value::String(_) => {
                self.0.insert(path.to_string(), scalar_text(value));
            }
        }
    }

    /// The text of a setting. An empty text or `-` means that the setting is absent.
    pub(crate) fn text(&self, path: &str) -> Option<&str> {
        self.0.get(path).map(String::as_str).filter(|text| !text.is_empty() && *text != "-")
    }

    /// A number; `None` if it is absent.
    pub(crate) fn optional_number(&self, path: &str) -> Result<Option<f64>, SettingError> {
        let Some(text) = self.text(path) else { return Ok(None) };
        match text.parse::<f64>() {
            Ok(number) if number.is_finite() => Ok(Some(number)),
            _ => Err(SettingError::malformed(path, "a number", text)),
        }
    }

    /// A number, or `default` if it is absent.
    pub(crate) fn number(&self, path: &str, default: f64) -> Result<f64, SettingError> {
        Ok(self.optional_number(path)?.unwrap_or(default))
    }

    /// A time in seconds, read from a setting in microseconds, or `default` seconds if it is absent.
    pub(crate) fn time(&self, path: &str, default: f64) -> Result<f64, SettingError> {
        Ok(self.optional_number(path)?.map_or(default, |us| us / MICROSECONDS_PER_SECOND))
    }

    /// Whether the setting is `true` or `1`.
    pub(crate) fn flag(&self, path: &str) -> bool {
        matches!(self.text(path), Some("true" | "1"))
    }

    /// A list of texts; empty if it is absent.
    pub(crate) fn list(&self, path: &str) -> Vec<&str> {
        self.text(path).map_or(Vec::new(), |text| text.split(',').collect())
    }

    /// The length of a list of objects.
    pub(crate) fn count(&self, path: &str) -> Result<usize, SettingError> {
        let setting = format!("{path}.count");
        let count = self.number(&setting, 0.0)?;
        if (0.0..=MAX_COUNT).contains(&count) {
            return Ok(count as usize);
        }
        Err(SettingError { setting, expected: "0 to 10000", got: count.to_string() })
    }

    /// A list of numbers.
    pub(crate) fn numbers(&self, path: &str) -> Result<Vec<f64>, SettingError> {
        let number = |text: &str| text.parse().map_err(|_| SettingError::malformed(path, "numbers", text));
        self.list(path).into_iter().map(number).collect()
    }

    /// The index of this gateway and the number of gateways, each 0 if it is absent and at most 65535; `None` if
    /// gateways may not send messages to each other.
    ///
    /// # Errors
    /// One of the two numbers is malformed.
    pub fn peer_instance(&self) -> Result<Option<PeerInstance>, SettingError> {
        let number = |path| Ok::<f64, SettingError>(self.number(path, 0.0)?.clamp(0.0, f64::from(u16::MAX)));
        let index = number("self-index")?;
        let instances = number("balancers")?;
        let instance = PeerInstance { index: index as u16, instances: instances as u64 };
        Ok(self.flag("limits.peers").then_some(instance))
    }

    /// The largest hard limit, in seconds, of the request classes that have one; `None` if no class has one.
    ///
    /// # Errors
    /// A number is malformed, or the number of classes is out of range.
    pub fn longest_request(&self) -> Result<Option<f64>, SettingError> {
        let mut longest = 0.0f64;
        for index in 0..self.count("categories")? {
            longest = longest.max(self.time(&format!("categories.{index}.hard-limit-us"), 0.0)?);
        }
        Ok((longest > 0.0).then_some(longest))
    }

    /// The limits of connections to engines.
    ///
    /// # Errors
    /// One of the limits is malformed.
    pub fn connection_limits(&self) -> Result<ConnectionLimits, SettingError> {
        Ok(ConnectionLimits {
            connect_timeout: self.time("limits.connect-timeout-us", 0.25)?,
            idle_after: self.time("limits.conn-idle-us", 15.0)?,
            max_attempts_per_connection: self.number("limits.multiplex", 1.0)?.max(1.0) as usize,
        })
    }
}

/// One of several gateways that may send messages to each other.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PeerInstance {
    /// The index of this gateway, from 0.
    pub index: u16,
    /// The number of gateways.
    pub instances: u64,
}

/// The limits of connections to engines; times are in seconds.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// The longest time for establishing a connection.
    pub connect_timeout: f64,
    /// The time after which an engine closes an idle connection.
    pub idle_after: f64,
    /// The largest number of attempts on one connection at the same time.
    pub max_attempts_per_connection: usize,
}

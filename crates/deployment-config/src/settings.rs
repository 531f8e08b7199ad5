//! The settings of a deployment, by their paths.

use crate::SettingError;
use serde_json::Value;
use std::collections::HashMap;

/// The longest list of objects.
const MAX_COUNT: f64 = 10_000.0;
const MICROSECONDS: f64 = 1e6;

/// What is stated, by the paths of the simulator's wire.
pub struct Settings(HashMap<String, String>);

/// A value as the simulator's wire writes it: without spaces and commas.
pub fn normalize_name(text: &str) -> String {
    text.replace([' ', ','], "_")
}

fn plain(value: &Value) -> String {
    match value {
        Value::String(text) => normalize_name(text),
        Value::Null => String::new(),
        other => other.to_string(),
    }
}

impl Settings {
    /// Reads the form of the simulator's wire: `path=value`, parted by spaces.
    pub fn from_pairs(text: &str) -> Settings {
        let pairs = text.split(' ').filter_map(|pair| pair.split_once('='));
        Settings(pairs.map(|(path, value)| (path.to_string(), value.to_string())).collect())
    }

    /// Reads nested JSON.
    pub fn from_json(value: &Value) -> Settings {
        let mut settings = Settings(HashMap::new());
        settings.flatten("", value);
        settings
    }

    fn flatten(&mut self, path: &str, value: &Value) {
        let below = |key: &str| if path.is_empty() { key.to_string() } else { format!("{path}.{key}") };
        match value {
            Value::Object(members) => {
                for (key, value) in members {
                    self.flatten(&below(key), value);
                }
            }
            Value::Array(items) => {
                self.0.insert(below("count"), items.len().to_string());
                if items.iter().any(|item| item.is_object() || item.is_array()) {
                    for (index, item) in items.iter().enumerate() {
                        self.flatten(&below(&index.to_string()), item);
                    }
                } else {
                    let items: Vec<String> = items.iter().map(plain).collect();
                    self.0.insert(path.to_string(), items.join(","));
                }
            }
            Value::Null | Value::Bool(_) | Value::Number(_) | Value::String(_) => {
                self.0.insert(path.to_string(), plain(value));
            }
        }
    }

    /// A text; absent ones are empty or `-`.
    pub(crate) fn text(&self, path: &str) -> Option<&str> {
        self.0.get(path).map(String::as_str).filter(|text| !text.is_empty() && *text != "-")
    }

    /// A number, if it is there.
    pub(crate) fn optional_number(&self, path: &str) -> Result<Option<f64>, SettingError> {
        let Some(text) = self.text(path) else { return Ok(None) };
        match text.parse::<f64>() {
            Ok(number) if number.is_finite() => Ok(Some(number)),
            _ => Err(SettingError::text(path, "a number", text)),
        }
    }

    /// A number, or `absent`.
    pub(crate) fn number(&self, path: &str, absent: f64) -> Result<f64, SettingError> {
        Ok(self.optional_number(path)?.unwrap_or(absent))
    }

    /// A time in seconds, which is stated in microseconds, or `absent`.
    pub(crate) fn time(&self, path: &str, absent: f64) -> Result<f64, SettingError> {
        Ok(self.optional_number(path)?.map_or(absent, |us| us / MICROSECONDS))
    }

    /// Whether something is stated to be so.
    pub(crate) fn flag(&self, path: &str) -> bool {
        matches!(self.text(path), Some("true" | "1"))
    }

    /// A list of texts; empty where it is absent.
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
        let number = |text: &str| text.parse().map_err(|_| SettingError::text(path, "numbers", text));
        self.list(path).into_iter().map(number).collect()
    }

    /// Which of how many instances this one is, where they may send each other something.
    ///
    /// # Errors
    /// A number that can't be read.
    pub fn peer_instance(&self) -> Result<Option<PeerInstance>, SettingError> {
        let number = |path| Ok::<f64, SettingError>(self.number(path, 0.0)?.clamp(0.0, f64::from(u16::MAX)));
        let index = number("self-index")?;
        let instances = number("balancers")?;
        let instance = PeerInstance { index: index as u16, instances: instances as u64 };
        Ok(self.flag("limits.peers").then_some(instance))
    }

    /// How long a client waits for a request at most.
    ///
    /// # Errors
    /// A number that can't be read.
    pub fn longest_request(&self) -> Result<Option<f64>, SettingError> {
        let mut longest = 0.0f64;
        for index in 0..self.count("categories")? {
            longest = longest.max(self.time(&format!("categories.{index}.hard-limit-us"), 0.0)?);
        }
        Ok((longest > 0.0).then_some(longest))
    }

    /// What is stated of connections to engines.
    ///
    /// # Errors
    /// A number that can't be read.
    pub fn connection_limits(&self) -> Result<ConnectionLimits, SettingError> {
        Ok(ConnectionLimits {
            connect_timeout: self.time("limits.connect-timeout-us", 0.25)?,
            idle_after: self.time("limits.conn-idle-us", 15.0)?,
            max_attempts_per_connection: self.number("limits.multiplex", 1.0)?.max(1.0) as usize,
        })
    }
}

/// One of several instances that may send each other something.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PeerInstance {
    /// Its index.
    pub index: u16,
    /// How many there are.
    pub instances: u64,
}

/// What is stated of connections to engines; times in seconds.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// How long a connection may take to come up.
    pub connect_timeout: f64,
    /// After how long an engine closes a connection that carries nothing.
    pub idle_after: f64,
    /// Attempts that one connection may carry at once.
    pub max_attempts_per_connection: usize,
}

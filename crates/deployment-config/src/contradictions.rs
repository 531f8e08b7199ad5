//! Finds settings that are valid on their own but contradict each other.

use crate::{SettingError, Settings};
use std::fmt;

/// A setting that contradicts another one.
#[derive(Clone, Debug, PartialEq)]
pub struct Contradiction {
    /// The path of the setting.
    pub setting: String,
    /// The values that the other setting allows.
    pub expected: String,
    /// The value of the setting.
    pub got: String,
}

impl fmt::Display for Contradiction {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        write!(formatter, "setting {}: expected {}, got {}", self.setting, self.expected, self.got)
    }
}

impl Settings {
    /// All settings that contradict another one. A gateway starts in spite of them: of two equal names the first one
    /// counts, a missing value of a list takes its default, and a superfluous one is ignored. Undeclared zones and
    /// engine kinds are added to the names, and the other values are used as they are.
    ///
    /// # Errors
    /// A number among the settings is malformed, or a count is out of range.
    pub fn contradictions(&self) -> Result<Vec<Contradiction>, SettingError> {
        let mut found = self.unequal_lengths()?;
        for path in ["categories", "tenants"] {
            found.extend(self.duplicate_names(path)?);
        }
        for index in 0..self.count("categories")? {
            found.extend(self.unknown_names(&format!("categories.{index}.confined-to"), "zones"));
            found.extend(self.unknown_names(&format!("categories.{index}.allowed-on"), "shapes"));
            found.extend(self.objective_over_limit(index)?);
        }
        found.extend(self.index_out_of_range()?);
        Ok(found)
    }

    /// Finds a `self-index` that is not less than the number of gateways.
    fn index_out_of_range(&self) -> Result<Option<Contradiction>, SettingError> {
        let index = self.number("self-index", 0.0)?;
        let instances = self.number("balancers", 1.0)?;
        Ok((index >= instances.max(1.0)).then(|| Contradiction {
            setting: "self-index".to_string(),
            expected: format!("less than balancers ({instances})"),
            got: index.to_string(),
        }))
    }

    /// Finds lists that need one value for each request class or engine kind and have another number of values.
    fn unequal_lengths(&self) -> Result<Vec<Contradiction>, SettingError> {
        let classes = self.count("categories")?;
        let kinds = self.list("shapes").len();
        let lists = [
            ("parallelism", classes, "categories"),
            ("is-load", classes, "categories"),
            ("yields-to-loads", classes, "categories"),
            ("cores-by-kind", kinds, "shapes"),
            ("ram-of-kind-mb", kinds, "shapes"),
        ];
        let mut found = Vec::new();
        for (name, expected, counted) in lists {
            let setting = format!("family-info.{name}");
            let got = self.list(&setting).len();
            if got > 0 && got != expected {
                let expected = format!("{expected} values, one for each of {counted}");
                found.push(Contradiction { setting, expected, got: got.to_string() });
            }
        }
        Ok(found)
    }

    /// Finds names in a list of objects that repeat an earlier one.
    fn duplicate_names(&self, path: &str) -> Result<Vec<Contradiction>, SettingError> {
        let field = |index: usize| format!("{path}.{index}.name");
        let names: Vec<Option<&str>> = (0..self.count(path)?).map(|index| self.text(&field(index))).collect();
        let mut found = Vec::new();
        for (index, name) in names.iter().enumerate() {
            let first = names[..index].iter().position(|other| name.is_some() && other == name);
            if let Some(first) = first {
                found.push(Contradiction {
                    setting: field(index),
                    expected: "a unique name".to_string(),
                    got: format!("the name of {path}.{first}"),
                });
            }
        }
        Ok(found)
    }

    /// Finds names in the list `setting` that the list `declared_in` does not contain.
    fn unknown_names(&self, setting: &str, declared_in: &str) -> Vec<Contradiction> {
        let known = self.list(declared_in);
        let unknown = self.list(setting).into_iter().filter(|name| !known.contains(name));
        let contradiction = |name: &str| Contradiction {
            setting: setting.to_string(),
            expected: format!("names of {declared_in}"),
            got: format!("\"{name}\""),
        };
        unknown.map(contradiction).collect()
    }

    /// Finds a latency objective that exceeds the longest wait of the request class.
    fn objective_over_limit(&self, index: usize) -> Result<Option<Contradiction>, SettingError> {
        let setting = format!("categories.{index}.objective-us");
        let limit_setting = format!("categories.{index}.hard-limit-us");
        let (Some(objective), Some(limit)) =
            (self.optional_number(&setting)?, self.optional_number(&limit_setting)?)
        else {
            return Ok(None);
        };
        Ok((objective > limit).then(|| Contradiction {
            setting,
            expected: format!("at most {limit_setting} ({limit})"),
            got: objective.to_string(),
        }))
    }
}

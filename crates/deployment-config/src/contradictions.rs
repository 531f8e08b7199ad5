//! Settings that can be read one by one and do not agree with each other.

use crate::{SettingError, Settings};
use std::fmt;

/// A setting that contradicts another one.
#[derive(Clone, Debug, PartialEq)]
pub struct Contradiction {
    /// Its path.
    pub setting: String,
    /// What the other setting lets expect.
    pub expected: String,
    /// What stood there.
    pub got: String,
}

impl fmt::Display for Contradiction {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        write!(to, "setting {}: expected {}, got {}", self.setting, self.expected, self.got)
    }
}

impl Settings {
    /// What contradicts another setting. A gateway starts with them all the same: the first of two equal names counts, a
    /// value that is missing is taken as absent, and one too many is passed over.
    ///
    /// # Errors
    /// A number that can't be read.
    pub fn contradictions(&self) -> Result<Vec<Contradiction>, SettingError> {
        let mut found = self.unequal_lengths()?;
        for path in ["categories", "tenants"] {
            found.extend(self.equal_names(path)?);
        }
        for index in 0..self.count("categories")? {
            found.extend(self.unknown_names(&format!("categories.{index}.confined-to"), "zones"));
            found.extend(self.unknown_names(&format!("categories.{index}.allowed-on"), "shapes"));
            found.extend(self.late_objective(index)?);
        }
        found.extend(self.index_out_of_range()?);
        Ok(found)
    }

    fn index_out_of_range(&self) -> Result<Option<Contradiction>, SettingError> {
        let index = self.number("self-index", 0.0)?;
        let instances = self.number("balancers", 1.0)?;
        Ok((index >= instances.max(1.0)).then(|| Contradiction {
            setting: "self-index".to_string(),
            expected: format!("less than balancers ({instances})"),
            got: index.to_string(),
        }))
    }

    /// Lists that have a value for each of something else.
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
        for (name, expected, of) in lists {
            let setting = format!("family-info.{name}");
            let got = self.list(&setting).len();
            if got > 0 && got != expected {
                let expected = format!("{expected} values, one for each of {of}");
                found.push(Contradiction { setting, expected, got: got.to_string() });
            }
        }
        Ok(found)
    }

    fn equal_names(&self, path: &str) -> Result<Vec<Contradiction>, SettingError> {
        let field = |index: usize| format!("{path}.{index}.name");
        let names: Vec<Option<&str>> = (0..self.count(path)?).map(|index| self.text(&field(index))).collect();
        let mut found = Vec::new();
        for (index, name) in names.iter().enumerate() {
            let first = names[..index].iter().position(|other| name.is_some() && other == name);
            if let Some(first) = first {
                found.push(Contradiction {
                    setting: field(index),
                    expected: "a name of its own".to_string(),
                    got: format!("that of {path}.{first}"),
                });
            }
        }
        Ok(found)
    }

    fn unknown_names(&self, setting: &str, of: &str) -> Vec<Contradiction> {
        let known = self.list(of);
        let unknown = self.list(setting).into_iter().filter(|name| !known.contains(name));
        let contradiction = |name: &str| Contradiction {
            setting: setting.to_string(),
            expected: format!("names of {of}"),
            got: format!("\"{name}\""),
        };
        unknown.map(contradiction).collect()
    }

    fn late_objective(&self, index: usize) -> Result<Option<Contradiction>, SettingError> {
        let setting = format!("categories.{index}.objective-us");
        let bound = format!("categories.{index}.hard-limit-us");
        let (Some(objective), Some(longest)) =
            (self.optional_number(&setting)?, self.optional_number(&bound)?)
        else {
            return Ok(None);
        };
        Ok((objective > longest).then(|| Contradiction {
            setting,
            expected: format!("at most {bound} ({longest})"),
            got: objective.to_string(),
        }))
    }
}

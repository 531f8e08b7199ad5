//! Settings that can be read one by one and do not agree with each other.

use crate::{Complaint, Pairs};

impl Pairs {
    /// What contradicts another setting, each by its field. A gateway starts with them all the same: the first of two equal
    /// names counts, a value that is missing is taken as absent, and one too many is passed over.
    ///
    /// # Errors
    /// A number that can't be read.
    pub fn contradictions(&self) -> Result<Vec<String>, Complaint> {
        let mut found = self.unequal_lengths()?;
        for path in ["categories", "tenants"] {
            found.extend(self.equal_names(path)?);
        }
        for at in 0..self.count("categories")? {
            found.extend(self.unknown_names(&format!("categories.{at}.confined-to"), "zones"));
            found.extend(self.unknown_names(&format!("categories.{at}.allowed-on"), "shapes"));
            found.extend(self.late_objective(at)?);
        }
        let (me, all) = (self.number("self-index", 0.0)?, self.number("balancers", 1.0)?);
        if me >= all.max(1.0) {
            found.push(format!("setting self-index: expected less than balancers ({all}), got {me}"));
        }
        Ok(found)
    }

    /// Lists that have a value for each of something else.
    fn unequal_lengths(&self) -> Result<Vec<String>, Complaint> {
        let (classes, shapes) = (self.count("categories")?, self.list("shapes").len());
        let lists = [
            ("parallelism", classes, "categories"),
            ("is-load", classes, "categories"),
            ("yields-to-loads", classes, "categories"),
            ("cores-by-kind", shapes, "shapes"),
            ("ram-of-kind-mb", shapes, "shapes"),
        ];
        let unequal = lists.into_iter().filter_map(|(name, expected, of)| {
            let path = format!("family-info.{name}");
            let got = self.list(&path).len();
            let wrong = got > 0 && got != expected;
            wrong.then(|| {
                format!("setting {path}: expected {expected} values, one for each of {of}, got {got}")
            })
        });
        Ok(unequal.collect())
    }

    fn equal_names(&self, path: &str) -> Result<Vec<String>, Complaint> {
        let field = |at: usize| format!("{path}.{at}.name");
        let names: Vec<Option<&str>> = (0..self.count(path)?).map(|at| self.text(&field(at))).collect();
        let again = names.iter().enumerate().filter_map(|(at, name)| {
            let first = names[..at].iter().position(|other| name.is_some() && other == name)?;
            Some(format!("setting {}: expected a name of its own, got that of {path}.{first}", field(at)))
        });
        Ok(again.collect())
    }

    fn unknown_names(&self, path: &str, of: &str) -> Vec<String> {
        let known = self.list(of);
        let unknown = self.list(path).into_iter().filter(|name| !known.contains(name));
        unknown.map(|name| format!("setting {path}: expected names of {of}, got \"{name}\"")).collect()
    }

    fn late_objective(&self, at: usize) -> Result<Option<String>, Complaint> {
        let (field, bound) =
            (format!("categories.{at}.objective-us"), format!("categories.{at}.hard-limit-us"));
        let (Some(objective), Some(longest)) = (self.maybe(&field)?, self.maybe(&bound)?) else {
            return Ok(None);
        };
        let late = objective > longest;
        Ok(late.then(|| format!("setting {field}: expected at most {bound} ({longest}), got {objective}")))
    }
}

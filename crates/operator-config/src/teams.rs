//! The teams file: who shares the engines, and how.

#![allow(missing_docs, reason = "doc comments here are texts of the checked-in schema, which stays as it is")]

use crate::bgp::seconds;
use crate::{invalid, read_checked, schema_text, OperatorFile, OperatorFileError};
use cleatgw_tenant_queue::{Budget, TenantConfig, TenantQueue, ROOT};
use schemars::JsonSchema;
use serde::Deserialize;
use std::collections::{BTreeSet, HashMap};
use std::hash::{DefaultHasher, Hash, Hasher};

const MOST_TEAMS: usize = 10_000;
const DEEPEST: usize = 3;
/// Teams that no file names share so many lines, by their names' hashes (McKenney, "Stochastic Fairness Queueing",
/// 1990): made-up names cost no more than this.
const OTHERS: usize = 16;

/// `deploy/teams.json`: teams share the engines by weight. A team is what a statement's `org` names.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct TeamsFile {
    /// At most 10000 in all, nested at most three deep. One that holds teams itself is a group: its name is no `org`.
    pub teams: Vec<TenantPart>,
    /// All that no team of the file is named for, together.
    #[serde(default)]
    pub others: OthersPart,
    /// Jobs in line in all; beyond them the longest line for its weight loses its last. At least 1.
    #[serde(default = "most_queued")]
    pub most_queued: usize,
}

/// One team, or a group of them.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct TenantPart {
    /// As `org` has it.
    pub name: String,
    /// Its share against its siblings, more than 0.
    pub weight: f64,
    /// Work within which it goes ahead of teams that are over theirs. Absent: never over.
    #[serde(default)]
    pub budget: Option<BudgetPart>,
    /// Jobs, and seconds of work, that may be in line; absent: 10000, and any. Beyond them the last that never ran is
    /// turned back. This and what follows is a team's alone: a group has none of it.
    #[serde(default)]
    pub most_queued: Option<usize>,
    #[serde(default)]
    pub most_queued_work_s: Option<f64>,
    /// Jobs that it may have out at engines at once, at least 1.
    #[serde(default)]
    pub most_out: Option<usize>,
    /// How many seconds a job ages for each halving of its credit for work; absent: the most credit for work first.
    #[serde(default)]
    pub ageing_s: Option<f64>,
    /// Categories that go first, in this order, whatever their credit for work: each place counts as ten doublings of
    /// it. Those not named go last.
    #[serde(default)]
    pub order: Vec<String>,
    #[serde(default)]
    pub teams: Vec<TenantPart>,
}

/// A budget of engine work.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct BudgetPart {
    /// Seconds of work, on one core, a second.
    pub rate: f64,
    /// Seconds of work that may be saved up.
    pub burst_s: f64,
}

/// Teams that the file does not name.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct OthersPart {
    pub weight: f64,
    pub most_queued: usize,
}

impl Default for OthersPart {
    fn default() -> OthersPart {
        OthersPart { weight: 1.0, most_queued: most_queued() }
    }
}

fn most_queued() -> usize {
    10_000
}

/// Which line a name belongs to.
#[derive(Clone, Debug)]
pub struct TenantNames {
    by_name: HashMap<String, usize>,
    names: Vec<String>,
    others: usize,
}

impl TenantNames {
    /// The team of a job whose `org` says this.
    pub fn index_of(&self, org: Option<&str>) -> usize {
        let name = org.unwrap_or("");
        self.by_name.get(name).copied().unwrap_or_else(|| {
            let mut hasher = DefaultHasher::new();
            name.hash(&mut hasher);
            self.others + 1 + (hasher.finish() % OTHERS as u64) as usize
        })
    }

    /// Each line's name, by its index.
    pub fn names(&self) -> &[String] {
        &self.names
    }
}

/// Reads a teams file.
///
/// # Errors
/// The first thing that is wrong, by the field's path.
pub fn read_teams(text: &str) -> Result<TeamsFile, OperatorFileError> {
    read_checked(text)
}

/// The schema of the teams file.
pub fn teams_schema() -> String {
    schema_text::<TeamsFile>()
}

impl OperatorFile for TeamsFile {
    fn check(&self) -> Result<(), OperatorFileError> {
        let mut names = BTreeSet::new();
        check_all(&self.teams, "teams", 1, &mut names)?;
        if names.len() > MOST_TEAMS {
            return invalid("teams", "at most 10000 teams", names.len());
        }
        weight("others.weight", self.others.weight)?;
        if self.most_queued == 0 {
            return invalid("most_queued", "1 or more", 0);
        }
        Ok(())
    }
}

impl TeamsFile {
    /// The queue that the file describes, and which names stand for which of its tenants. Categories are known by their names.
    pub fn tenant_queue(&self, now: f64, categories: &[String]) -> (TenantQueue, TenantNames) {
        let (configs, names) = self.tree(categories);
        (TenantQueue::new(configs, now), names)
    }

    fn tree(&self, categories: &[String]) -> (Vec<TenantConfig>, TenantNames) {
        let mut configs = vec![TenantConfig { max_queued: self.most_queued, ..TenantConfig::default() }];
        let mut names = TenantNames { by_name: HashMap::new(), names: vec!["all".to_string()], others: 0 };
        add(&self.teams, ROOT, categories, &mut configs, &mut names);
        names.others = configs.len();
        names.names.push("others".to_string());
        configs.push(TenantConfig { weight: self.others.weight, ..TenantConfig::default() });
        for at in 0..OTHERS {
            names.names.push(format!("others-{at}"));
            let most_queued = self.others.most_queued;
            configs.push(TenantConfig {
                parent: names.others,
                max_queued: most_queued,
                ..TenantConfig::default()
            });
        }
        (configs, names)
    }
}

impl TenantPart {
    fn ahead(&self, category: &str) -> f64 {
        let place = self.order.iter().position(|name| name == category);
        place.map_or(0.0, |place| PLACE * (self.order.len() - place) as f64)
    }
}

fn weight(path: &str, value: f64) -> Result<(), OperatorFileError> {
    match (1e-6..=1e6).contains(&value) {
        true => Ok(()),
        false => invalid(path, "a weight from 0.000001 to 1000000", value),
    }
}

fn check_all(
    teams: &[TenantPart],
    path: &str,
    depth: usize,
    names: &mut BTreeSet<String>,
) -> Result<(), OperatorFileError> {
    if depth > DEEPEST && !teams.is_empty() {
        return invalid(path, "teams nested at most three deep", depth);
    }
    for (index, team) in teams.iter().enumerate() {
        let path = format!("{path}[{index}]");
        team.check_name(&path, names)?;
        team.check_shares(&path)?;
        team.check_has_no_limits_as_group(&path)?;
        team.check_queue(&path)?;
        check_all(&team.teams, &format!("{path}.teams"), depth + 1, names)?;
    }
    Ok(())
}

impl TenantPart {
    fn check_name(&self, path: &str, names: &mut BTreeSet<String>) -> Result<(), OperatorFileError> {
        let plain = |byte: u8| byte.is_ascii_graphic() && byte != b'=' && byte != b',';
        let field = format!("{path}.name");
        if !(1..=64).contains(&self.name.len()) || !self.name.bytes().all(plain) {
            return invalid(field, "1 to 64 letters without blanks", format!("{:?}", self.name));
        }
        if !names.insert(self.name.clone()) {
            return invalid(field, "a name of its own", &self.name);
        }
        Ok(())
    }

    fn check_shares(&self, path: &str) -> Result<(), OperatorFileError> {
        weight(&format!("{path}.weight"), self.weight)?;
        if let Some(budget) = &self.budget {
            seconds(&format!("{path}.budget.rate"), budget.rate, 0.0, 1e6)?;
            seconds(&format!("{path}.budget.burst_s"), budget.burst_s, 0.0, 1e6)?;
        }
        for (name, count) in [("most_queued", self.most_queued), ("most_out", self.most_out)] {
            if count == Some(0) {
                return invalid(format!("{path}.{name}"), "1 or more", 0);
            }
        }
        Ok(())
    }

    /// A group leaves its limits to the teams in it.
    fn check_has_no_limits_as_group(&self, path: &str) -> Result<(), OperatorFileError> {
        let limits = [
            ("most_queued", self.most_queued.is_some()),
            ("most_queued_work_s", self.most_queued_work_s.is_some()),
            ("most_out", self.most_out.is_some()),
            ("ageing_s", self.ageing_s.is_some()),
            ("order", !self.order.is_empty()),
        ];
        match limits.iter().find(|(_, is_set)| *is_set && !self.teams.is_empty()) {
            Some((name, _)) => invalid(format!("{path}.{name}"), "none, as it is a group", "one"),
            None => Ok(()),
        }
    }

    fn check_queue(&self, path: &str) -> Result<(), OperatorFileError> {
        if let Some(work) = self.most_queued_work_s {
            seconds(&format!("{path}.most_queued_work_s"), work, 0.001, 1e9)?;
        }
        if self.order.len() > 16 {
            return invalid(format!("{path}.order"), "at most 16 categories", self.order.len());
        }
        if let Some(ageing) = self.ageing_s {
            seconds(&format!("{path}.ageing_s"), ageing, 0.0, 3600.0)?;
        }
        Ok(())
    }
}

/// What each place in a team's order counts for, in doublings of credit for work.
const PLACE: f64 = 10.0;

fn add(
    teams: &[TenantPart],
    parent: usize,
    categories: &[String],
    configs: &mut Vec<TenantConfig>,
    names: &mut TenantNames,
) {
    for team in teams {
        let at = configs.len();
        configs.push(TenantConfig {
            parent,
            weight: team.weight,
            budget: team.budget.as_ref().map(|budget| Budget { rate: budget.rate, burst: budget.burst_s }),
            max_queued: team.most_queued.unwrap_or_else(most_queued),
            max_queued_work: team.most_queued_work_s.unwrap_or(f64::INFINITY),
            max_in_flight: team.most_out.unwrap_or(usize::MAX),
            ageing: team.ageing_s,
            class_boosts: categories.iter().map(|category| team.ahead(category)).collect(),
        });
        names.names.push(team.name.clone());
        if team.teams.is_empty() {
            names.by_name.insert(team.name.clone(), at);
        }
        add(&team.teams, at, categories, configs, names);
    }
}

#[cfg(test)]
mod tests;

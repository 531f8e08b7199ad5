//! The teams file: the tenants that share the engines, and how they share them.

#![allow(
    missing_docs,
    reason = "some fields need no description in the schema, which is derived from the doc comments"
)]

use crate::bgp::check_seconds;
use crate::{invalid, read_checked, schema_text, OperatorFile, OperatorFileError};
use cleatgw_tenant_queue::{Budget, TenantConfig, TenantQueue, ROOT};
use schemars::JsonSchema;
use serde::Deserialize;
use std::collections::{BTreeSet, HashMap};
use std::hash::{DefaultHasher, Hash, Hasher};

/// The largest number of tenants and groups in a file.
const MAX_TENANTS: usize = 10_000;
/// The largest depth of nesting.
const MAX_DEPTH: usize = 3;
/// The number of queues that tenants without an entry in the file share, by the hashes of their names (McKenney,
/// "Stochastic Fairness Queueing", 1990). It limits what clients can gain or use up by inventing names.
const OTHER_QUEUES: usize = 16;

/// `deploy/teams.json`: the tenants, which share the engines by weight. The `org` of a statement names its tenant.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct TeamsFile {
    /// Tenants and groups of tenants, at most 10000 in all, nested at most three deep. An entry with `teams` of its own
    /// is a group; its name is not the name of a tenant.
    pub teams: Vec<TenantPart>,
    /// All tenants without an entry in the file, together.
    #[serde(default)]
    pub others: OthersPart,
    /// The largest number of queued requests of all tenants, at least 1. Above it, the last request of the
    /// queue that is longest relative to its weight is rejected. Absent: 10000.
    #[serde(default = "most_queued")]
    pub most_queued: usize,
}

/// One tenant, or a group of tenants.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "TeamPart")]
pub struct TenantPart {
    /// The name of the tenant, as in `org`: 1 to 64 printable ASCII characters other than space, `=` and `,`.
    pub name: String,
    /// The share of the engines' work relative to the siblings, from 0.000001 to 1000000.
    pub weight: f64,
    /// The budget of work. A tenant or group within its budget goes before siblings that have exceeded theirs. Absent:
    /// it never exceeds a budget.
    #[serde(default)]
    pub budget: Option<BudgetPart>,
    /// The largest number of queued requests, at least 1. Above it, the last request in the queue that has never run is
    /// rejected. Absent: 10000. A group has neither this nor any of the following fields except `teams`.
    #[serde(default)]
    pub most_queued: Option<usize>,
    /// The largest queued work, in seconds; above it, requests are rejected in the same way. Absent: no limit.
    #[serde(default)]
    pub most_queued_work_s: Option<f64>,
    /// The largest number of requests in flight at engines, at least 1. Absent: no limit.
    #[serde(default)]
    pub most_out: Option<usize>,
    /// The head start in seconds that makes up for each halving of a request's value density (its value per work).
    /// Absent: requests are ordered by value density alone, however long they wait.
    #[serde(default)]
    pub ageing_s: Option<f64>,
    /// Request classes (categories) that go first, in this order: each place raises the value density of a request by
    /// ten doublings. Classes that are not in the list go last. At most 16.
    #[serde(default)]
    pub order: Vec<String>,
    /// The tenants and groups in this group; empty for a tenant.
    #[serde(default)]
    pub teams: Vec<TenantPart>,
}

/// A budget of work at the engines.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct BudgetPart {
    /// Seconds of work on one core that are earned each second.
    pub rate: f64,
    /// The largest number of seconds of work that can be saved up.
    pub burst_s: f64,
}

/// The tenants without an entry in the file, which share a few queues.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct OthersPart {
    /// The weight of all these tenants together.
    pub weight: f64,
    /// The largest number of requests in each of their queues.
    pub most_queued: usize,
}

impl Default for OthersPart {
    fn default() -> OthersPart {
        OthersPart { weight: 1.0, most_queued: most_queued() }
    }
}

/// The default of `most_queued`.
fn most_queued() -> usize {
    10_000
}

/// The queues of the tenants by name. A queue is identified by the index of its tenant in the configuration.
#[derive(Clone, Debug)]
pub struct TenantNames {
    /// The index of each tenant of the file.
    by_name: HashMap<String, usize>,
    /// The name of each index.
    names: Vec<String>,
    /// The index of the group of tenants without an entry; the indices of their queues follow it.
    others: usize,
}

impl TenantNames {
    /// The index of the tenant of a request with this `org`. A tenant without an entry gets one of the shared queues.
    pub fn index_of(&self, org: Option<&str>) -> usize {
        let name = org.unwrap_or("");
        self.by_name.get(name).copied().unwrap_or_else(|| {
            let mut hasher = DefaultHasher::new();
            name.hash(&mut hasher);
            self.others + 1 + (hasher.finish() % OTHER_QUEUES as u64) as usize
        })
    }

    /// The name of each index.
    pub fn names(&self) -> &[String] {
        &self.names
    }
}

/// Reads a teams file.
///
/// # Errors
/// The first error found: the file is too long, is not JSON, has an unknown, missing or malformed field, or a field
/// whose value is not allowed, by itself or together with another field. An error of a field names
/// the field by its path; a missing field of the top level only by its name.
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
        check_tenants(&self.teams, "teams", 1, &mut names)?;
        if names.len() > MAX_TENANTS {
            return invalid("teams", "at most 10000 tenants and groups", names.len());
        }
        check_weight("others.weight", self.others.weight)?;
        if self.most_queued == 0 {
            return invalid("most_queued", "1 or more", 0);
        }
        Ok(())
    }
}

impl TeamsFile {
    /// Builds the queue of requests that the file describes, and the names of its tenants. `categories` are the names
    /// of the request classes by index.
    pub fn tenant_queue(&self, now: f64, categories: &[String]) -> (TenantQueue, TenantNames) {
        let (configs, names) = self.tree(categories);
        (TenantQueue::new(configs, now), names)
    }

    /// Builds the configurations of all tenants and groups, each parent before its children, and their names.
    fn tree(&self, categories: &[String]) -> (Vec<TenantConfig>, TenantNames) {
        let mut configs = vec![TenantConfig { max_queued: self.most_queued, ..TenantConfig::default() }];
        let mut names = TenantNames { by_name: HashMap::new(), names: vec!["all".to_string()], others: 0 };
        add_tenants(&self.teams, ROOT, categories, &mut configs, &mut names);
        names.others = configs.len();
        names.names.push("others".to_string());
        configs.push(TenantConfig { weight: self.others.weight, ..TenantConfig::default() });
        for queue in 0..OTHER_QUEUES {
            names.names.push(format!("others-{queue}"));
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
    /// The number of doublings by which `order` raises the value density of a request class.
    fn class_boost(&self, category: &str) -> f64 {
        let place = self.order.iter().position(|name| name == category);
        place.map_or(0.0, |place| DOUBLINGS_PER_PLACE * (self.order.len() - place) as f64)
    }
}

fn check_weight(path: &str, value: f64) -> Result<(), OperatorFileError> {
    match (1e-6..=1e6).contains(&value) {
        true => Ok(()),
        false => invalid(path, "a weight from 0.000001 to 1000000", value),
    }
}

fn check_tenants(
    tenants: &[TenantPart],
    path: &str,
    depth: usize,
    names: &mut BTreeSet<String>,
) -> Result<(), OperatorFileError> {
    if depth > MAX_DEPTH && !tenants.is_empty() {
        return invalid(path, "tenants nested at most three deep", depth);
    }
    for (index, tenant) in tenants.iter().enumerate() {
        let path = format!("{path}[{index}]");
        tenant.check_name(&path, names)?;
        tenant.check_weight_budget_and_counts(&path)?;
        tenant.check_has_no_limits_as_group(&path)?;
        tenant.check_queue_limits(&path)?;
        check_tenants(&tenant.teams, &format!("{path}.teams"), depth + 1, names)?;
    }
    Ok(())
}

impl TenantPart {
    fn check_name(&self, path: &str, names: &mut BTreeSet<String>) -> Result<(), OperatorFileError> {
        let is_allowed = |byte: u8| byte.is_ascii_graphic() && byte != b'=' && byte != b',';
        let field = format!("{path}.name");
        if !(1..=64).contains(&self.name.len()) || !self.name.bytes().all(is_allowed) {
            return invalid(
                field,
                "1 to 64 printable ASCII characters other than space, `=` and `,`",
                format!("{:?}", self.name),
            );
        }
        if !names.insert(self.name.clone()) {
            return invalid(field, "a unique name", &self.name);
        }
        Ok(())
    }

    fn check_weight_budget_and_counts(&self, path: &str) -> Result<(), OperatorFileError> {
        check_weight(&format!("{path}.weight"), self.weight)?;
        if let Some(budget) = &self.budget {
            // The rate is in seconds of work per second.
            check_seconds(&format!("{path}.budget.rate"), budget.rate, 0.0, 1e6)?;
            check_seconds(&format!("{path}.budget.burst_s"), budget.burst_s, 0.0, 1e6)?;
        }
        for (name, count) in [("most_queued", self.most_queued), ("most_out", self.most_out)] {
            if count == Some(0) {
                return invalid(format!("{path}.{name}"), "1 or more", 0);
            }
        }
        Ok(())
    }

    /// Checks that a group has no limits: only the tenants in it have them.
    fn check_has_no_limits_as_group(&self, path: &str) -> Result<(), OperatorFileError> {
        let limits = [
            ("most_queued", self.most_queued.is_some()),
            ("most_queued_work_s", self.most_queued_work_s.is_some()),
            ("most_out", self.most_out.is_some()),
            ("ageing_s", self.ageing_s.is_some()),
            ("order", !self.order.is_empty()),
        ];
        match limits.iter().find(|(_, is_set)| *is_set && !self.teams.is_empty()) {
            Some((name, _)) => invalid(format!("{path}.{name}"), "none for a group of tenants", "one"),
            None => Ok(()),
        }
    }

    fn check_queue_limits(&self, path: &str) -> Result<(), OperatorFileError> {
        if let Some(work) = self.most_queued_work_s {
            check_seconds(&format!("{path}.most_queued_work_s"), work, 0.001, 1e9)?;
        }
        if self.order.len() > 16 {
            return invalid(format!("{path}.order"), "at most 16 categories", self.order.len());
        }
        if let Some(ageing) = self.ageing_s {
            check_seconds(&format!("{path}.ageing_s"), ageing, 0.0, 3600.0)?;
        }
        Ok(())
    }
}

/// The number of doublings of the value density for which each place in a tenant's `order` counts.
const DOUBLINGS_PER_PLACE: f64 = 10.0;

/// Appends the configurations and names of tenants and groups below `parent`.
fn add_tenants(
    tenants: &[TenantPart],
    parent: usize,
    categories: &[String],
    configs: &mut Vec<TenantConfig>,
    names: &mut TenantNames,
) {
    for tenant in tenants {
        let index = configs.len();
        configs.push(TenantConfig {
            parent,
            weight: tenant.weight,
            budget: tenant.budget.as_ref().map(|budget| Budget { rate: budget.rate, burst: budget.burst_s }),
            max_queued: tenant.most_queued.unwrap_or_else(most_queued),
            max_queued_work: tenant.most_queued_work_s.unwrap_or(f64::INFINITY),
            max_in_flight: tenant.most_out.unwrap_or(usize::MAX),
            ageing: tenant.ageing_s,
            class_boosts: categories.iter().map(|category| tenant.class_boost(category)).collect(),
        });
        names.names.push(tenant.name.clone());
        if tenant.teams.is_empty() {
            names.by_name.insert(tenant.name.clone(), index);
        }
        add_tenants(&tenant.teams, index, categories, configs, names);
    }
}

#[cfg(test)]
mod tests;

//! The cluster file: which routers know each other, and how they go about it.

#![allow(missing_docs, reason = "doc comments here are texts of the checked-in schema, which stays as it is")]

use crate::bgp::seconds;
use crate::{invalid, read_checked, schema_text, OperatorFile, OperatorFileError};
use cleatgw_membership::leader::{role_resource, MAX_ROLES};
use cleatgw_membership::swim::{Defences, DetectorSettings};
use cleatgw_membership::{cluster_hash, MAX_ROUTERS};
use ipnet::IpNet;
use schemars::JsonSchema;
use serde::Deserialize;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// `deploy/cluster.json`: the routers of one cluster. All of them have the same name and routers in the same order;
/// a router whose list is another is none of theirs. Times are seconds.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ClusterFile {
    /// The cluster's name: 1 to 64 letters without blanks.
    pub name: String,
    /// Every router that is expected, this one among them, at most 2000. A majority is one of these.
    #[schemars(length(min = 1, max = 2000))]
    pub routers: Vec<RouterPart>,
    /// Where this router hears the others; absent: its own address in `routers`. UDP.
    #[serde(default)]
    #[schemars(with = "Option<String>")]
    pub listen: Option<SocketAddr>,
    /// Datagrams are taken from these networks alone.
    #[schemars(with = "Vec<String>", length(min = 1, max = 64))]
    pub networks: Vec<IpNet>,
    /// Whether this router tells the others what it has seen of engines, and weighs what they tell.
    #[serde(default = "yes")]
    pub tell_of_engines: bool,
    /// What one router at a time does for all of them, each a name of 1 to 64 letters without blanks; at most 64. Which one
    /// it is, `cleatgw holds ADDRESS NAME` tells, and `cleatgw status ADDRESS duties`.
    #[serde(default)]
    #[schemars(length(max = 64))]
    pub duties: Vec<String>,
    #[serde(default)]
    pub pace: PacePart,
}

/// One router.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct RouterPart {
    /// As its configuration has it (`name`).
    pub name: String,
    /// Where it hears the others.
    #[schemars(with = "String")]
    pub address: SocketAddr,
}

/// How fast failures are found, against how much is said for it.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct PacePart {
    /// Each router probes another so often, 0.05 to 60.
    pub probe_period_s: f64,
    /// An answer that has not come by then is asked for by way of others; under half of the period.
    pub round_trip_s: f64,
    /// One that is suspected has so long to say that it is there; more in clusters of more than ten. 0.1 to 600.
    pub suspicion_s: f64,
}

impl Default for PacePart {
    fn default() -> PacePart {
        let DetectorSettings { probe_period, probe_timeout, suspicion_timeout, .. } =
            DetectorSettings::default();
        PacePart { probe_period_s: probe_period, round_trip_s: probe_timeout, suspicion_s: suspicion_timeout }
    }
}

fn yes() -> bool {
    true
}

/// Reads a cluster file.
///
/// # Errors
/// The first thing that is wrong, by the field's path.
pub fn read_cluster(text: &str) -> Result<ClusterFile, OperatorFileError> {
    read_checked(text)
}

/// The schema of the cluster file.
pub fn cluster_schema() -> String {
    schema_text::<ClusterFile>()
}

fn name(path: &str, name: &str) -> Result<(), OperatorFileError> {
    match (1..=64).contains(&name.len()) && name.bytes().all(|byte| byte.is_ascii_graphic()) {
        true => Ok(()),
        false => invalid(path, "1 to 64 letters without blanks", format!("{name:?}")),
    }
}

impl OperatorFile for ClusterFile {
    fn check(&self) -> Result<(), OperatorFileError> {
        name("name", &self.name)?;
        if !(1..=MAX_ROUTERS).contains(&self.routers.len()) {
            return invalid("routers", "1 to 2000 routers", self.routers.len());
        }
        if !(1..=64).contains(&self.networks.len()) {
            return invalid("networks", "1 to 64 networks", self.networks.len());
        }
        let mut names = BTreeSet::new();
        let mut addresses = BTreeSet::new();
        for (at, router) in self.routers.iter().enumerate() {
            let field = |field: &str| format!("routers[{at}].{field}");
            name(&field("name"), &router.name)?;
            if !names.insert(&router.name) {
                return invalid(field("name"), "a name of its own", &router.name);
            }
            if !addresses.insert(router.address) {
                return invalid(field("address"), "an address of its own", router.address);
            }
            if router.address.port() == 0 || router.address.ip().is_unspecified() {
                return invalid(field("address"), "an address that others can send to", router.address);
            }
            if !self.networks.iter().any(|network| network.contains(&router.address.ip())) {
                return invalid(field("address"), "one in the `networks`", router.address);
            }
        }
        if self.duties.len() > MAX_ROLES {
            return invalid("duties", "at most 64", self.duties.len());
        }
        let mut resources = BTreeSet::new();
        for (at, duty) in self.duties.iter().enumerate() {
            name(&format!("duties[{at}]"), duty)?;
            if !resources.insert(role_resource(duty)) {
                return invalid(format!("duties[{at}]"), "a name of its own", duty);
            }
        }
        let PacePart { probe_period_s, round_trip_s, suspicion_s } = self.pace;
        seconds("pace.probe_period_s", probe_period_s, 0.05, 60.0)?;
        seconds("pace.round_trip_s", round_trip_s, 0.001, probe_period_s / 2.0)?;
        seconds("pace.suspicion_s", suspicion_s, 0.1, 600.0)
    }
}

impl ClusterFile {
    /// This router's place among those expected.
    ///
    /// # Errors
    /// The file does not have it.
    pub fn router_index(&self, name: &str) -> Result<usize, OperatorFileError> {
        match self.routers.iter().position(|router| router.name == name) {
            Some(place) => Ok(place),
            None => invalid("routers", &format!("one named {name}, as this router is"), "none"),
        }
    }

    /// What ties datagrams to this cluster. Addresses do not count: one router may be reached differently by others.
    pub fn hash(&self) -> u64 {
        cluster_hash(&self.name, self.routers.iter().map(|router| router.name.as_str()))
    }

    /// The pace of failure detection.
    pub fn detector_settings(&self) -> DetectorSettings {
        let PacePart { probe_period_s, round_trip_s, suspicion_s } = self.pace;
        DetectorSettings {
            probe_period: probe_period_s,
            probe_timeout: round_trip_s,
            suspicion_timeout: suspicion_s,
            defences: Defences::default(),
        }
    }
}

#[cfg(test)]
mod tests;

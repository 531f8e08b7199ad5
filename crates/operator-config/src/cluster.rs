//! The cluster file: which routers know each other, and how they detect failures.

#![allow(
    missing_docs,
    reason = "some fields need no description in the schema, which is derived from the doc comments"
)]

use crate::bgp::check_seconds;
use crate::{invalid, read_checked, schema_text, OperatorFile, OperatorFileError};
use cleatgw_membership::leader::{role_resource, MAX_ROLES};
use cleatgw_membership::swim::{Defences, DetectorSettings};
use cleatgw_membership::{cluster_hash, MAX_ROUTERS};
use ipnet::IpNet;
use schemars::JsonSchema;
use serde::Deserialize;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// `deploy/cluster.json`: the routers of one cluster. The files of all routers contain the same cluster name and the
/// same router names in the same order; a router whose file differs in these belongs to another cluster. Times are in
/// seconds.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ClusterFile {
    /// The cluster's name: 1 to 64 printable ASCII characters without spaces.
    pub name: String,
    /// All routers of the cluster, including this one, at most 2000. A majority, which is needed to
    /// grant a lease, is more than half of these routers, whether they are alive or not.
    #[schemars(length(min = 1, max = 2000))]
    pub routers: Vec<RouterPart>,
    /// The UDP address at which this router receives datagrams from the others. Absent: its own address in `routers`.
    #[serde(default)]
    #[schemars(with = "Option<String>")]
    pub listen: Option<SocketAddr>,
    /// Datagrams from addresses outside these networks are ignored.
    #[schemars(with = "Vec<String>", length(min = 1, max = 64))]
    pub networks: Vec<IpNet>,
    /// Whether this router sends its observations of engines to the other routers, and uses theirs.
    #[serde(default = "yes")]
    pub tell_of_engines: bool,
    /// Duties that one router at a time performs for all of them; at most 64. Each is a name of 1 to 64 printable ASCII
    /// characters without spaces. `cleatgw holds ADDRESS NAME` and `cleatgw status ADDRESS duties` show which router
    /// holds a duty.
    #[serde(default)]
    #[schemars(length(max = 64))]
    pub duties: Vec<String>,
    #[serde(default)]
    pub pace: PacePart,
}

/// One router of the cluster.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct RouterPart {
    /// The name of the router, as in `name` of its configuration.
    pub name: String,
    /// The UDP address to which the other routers send datagrams for it.
    #[schemars(with = "String")]
    pub address: SocketAddr,
}

/// The timing of failure detection: shorter times find failures sooner and cost more messages. Times are in seconds.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct PacePart {
    /// The time between two probes that a router sends, 0.05 to 60.
    pub probe_period_s: f64,
    /// How long a router waits for the answer to a probe before it asks others to probe the same router; at least 0.001
    /// and at most half of `probe_period_s`.
    pub round_trip_s: f64,
    /// How long a suspected router has to refute the suspicion before it counts as failed, 0.1 to 600. The time is
    /// longer in clusters of more than ten routers.
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
/// The first error found: the file is too long, is not JSON, has an unknown, missing or malformed field, or a field
/// whose value is not allowed, by itself or together with another field. An error of a field names
/// the field by its path; a missing field of the top level only by its name.
pub fn read_cluster(text: &str) -> Result<ClusterFile, OperatorFileError> {
    read_checked(text)
}

/// The schema of the cluster file.
pub fn cluster_schema() -> String {
    schema_text::<ClusterFile>()
}

/// Checks a name of a cluster, a router or a duty.
fn check_name(path: &str, name: &str) -> Result<(), OperatorFileError> {
    match (1..=64).contains(&name.len()) && name.bytes().all(|byte| byte.is_ascii_graphic()) {
        true => Ok(()),
        false => invalid(path, "1 to 64 printable ASCII characters without spaces", format!("{name:?}")),
    }
}

impl OperatorFile for ClusterFile {
    fn check(&self) -> Result<(), OperatorFileError> {
        check_name("name", &self.name)?;
        if !(1..=MAX_ROUTERS).contains(&self.routers.len()) {
            return invalid("routers", "1 to 2000 routers", self.routers.len());
        }
        if !(1..=64).contains(&self.networks.len()) {
            return invalid("networks", "1 to 64 networks", self.networks.len());
        }
        let mut names = BTreeSet::new();
        let mut addresses = BTreeSet::new();
        for (index, router) in self.routers.iter().enumerate() {
            let field = |field: &str| format!("routers[{index}].{field}");
            check_name(&field("name"), &router.name)?;
            if !names.insert(&router.name) {
                return invalid(field("name"), "a unique name", &router.name);
            }
            if !addresses.insert(router.address) {
                return invalid(field("address"), "a unique address", router.address);
            }
            if router.address.port() == 0 || router.address.ip().is_unspecified() {
                return invalid(
                    field("address"),
                    "an address that other routers can send to",
                    router.address,
                );
            }
            if !self.networks.iter().any(|network| network.contains(&router.address.ip())) {
                return invalid(field("address"), "an address in one of the `networks`", router.address);
            }
        }
        if self.duties.len() > MAX_ROLES {
            return invalid("duties", "at most 64", self.duties.len());
        }
        // A duty (a role in `membership`) is leased by a hash of its name, so the hashes must differ as well.
        let mut resources = BTreeSet::new();
        for (index, duty) in self.duties.iter().enumerate() {
            check_name(&format!("duties[{index}]"), duty)?;
            if !resources.insert(role_resource(duty)) {
                return invalid(format!("duties[{index}]"), "a unique name", duty);
            }
        }
        let PacePart { probe_period_s, round_trip_s, suspicion_s } = self.pace;
        check_seconds("pace.probe_period_s", probe_period_s, 0.05, 60.0)?;
        check_seconds("pace.round_trip_s", round_trip_s, 0.001, probe_period_s / 2.0)?;
        check_seconds("pace.suspicion_s", suspicion_s, 0.1, 600.0)
    }
}

impl ClusterFile {
    /// The index of a router in `routers`, by its name.
    ///
    /// # Errors
    /// No router of the file has the name.
    pub fn router_index(&self, name: &str) -> Result<usize, OperatorFileError> {
        match self.routers.iter().position(|router| router.name == name) {
            Some(index) => Ok(index),
            None => invalid(
                "routers",
                &format!("a router named {name}, which is the name of this router"),
                "none",
            ),
        }
    }

    /// The hash that identifies the cluster in datagrams. Addresses are not part of it, because routers may reach
    /// another router at different addresses.
    pub fn hash(&self) -> u64 {
        cluster_hash(&self.name, self.routers.iter().map(|router| router.name.as_str()))
    }

    /// The settings of failure detection.
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

//! The cluster file: which routers know each other, and how they go about it.

use crate::bgp::seconds;
use crate::{parse, wrong, Wrong, LONGEST};
use cleatgw_membership::leader::{role_resource, MAX_ROLES};
use cleatgw_membership::swim::{Defences, Pace};
use cleatgw_membership::{cluster_hash, MOST_ROUTERS};
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
        let Pace { probe_period, round_trip, suspicion, .. } = Pace::default();
        PacePart { probe_period_s: probe_period, round_trip_s: round_trip, suspicion_s: suspicion }
    }
}

fn yes() -> bool {
    true
}

/// # Errors
/// As for the service file.
pub fn read_cluster(text: &str) -> Result<ClusterFile, Wrong> {
    if text.len() > LONGEST {
        return Err(Wrong(format!("expected at most {LONGEST} bytes, got {}", text.len())));
    }
    let file: ClusterFile = parse(text)?;
    file.check()?;
    Ok(file)
}

/// The schema of the cluster file.
pub fn cluster_schema() -> String {
    let schema = schemars::schema_for!(ClusterFile);
    serde_json::to_string_pretty(&schema).expect("a schema is plain JSON") + "\n"
}

fn name(path: &str, name: &str) -> Result<(), Wrong> {
    match (1..=64).contains(&name.len()) && name.bytes().all(|byte| byte.is_ascii_graphic()) {
        true => Ok(()),
        false => wrong(path, "1 to 64 letters without blanks", format!("{name:?}")),
    }
}

impl ClusterFile {
    fn check(&self) -> Result<(), Wrong> {
        name("name", &self.name)?;
        if !(1..=MOST_ROUTERS).contains(&self.routers.len()) {
            return wrong("routers", "1 to 2000 routers", self.routers.len());
        }
        if !(1..=64).contains(&self.networks.len()) {
            return wrong("networks", "1 to 64 networks", self.networks.len());
        }
        let (mut names, mut addresses) = (BTreeSet::new(), BTreeSet::new());
        for (at, router) in self.routers.iter().enumerate() {
            let field = |field: &str| format!("routers[{at}].{field}");
            name(&field("name"), &router.name)?;
            if !names.insert(&router.name) {
                return wrong(field("name"), "a name of its own", &router.name);
            }
            if !addresses.insert(router.address) {
                return wrong(field("address"), "an address of its own", router.address);
            }
            if router.address.port() == 0 || router.address.ip().is_unspecified() {
                return wrong(field("address"), "an address that others can send to", router.address);
            }
            if !self.networks.iter().any(|network| network.contains(&router.address.ip())) {
                return wrong(field("address"), "one in the `networks`", router.address);
            }
        }
        if self.duties.len() > MAX_ROLES {
            return wrong("duties", "at most 64", self.duties.len());
        }
        let mut things = BTreeSet::new();
        for (at, duty) in self.duties.iter().enumerate() {
            name(&format!("duties[{at}]"), duty)?;
            if !things.insert(role_resource(duty)) {
                return wrong(format!("duties[{at}]"), "a name of its own", duty);
            }
        }
        let PacePart { probe_period_s, round_trip_s, suspicion_s } = self.pace;
        seconds("pace.probe_period_s", probe_period_s, 0.05, 60.0)?;
        seconds("pace.round_trip_s", round_trip_s, 0.001, probe_period_s / 2.0)?;
        seconds("pace.suspicion_s", suspicion_s, 0.1, 600.0)
    }

    /// This router's place among those expected.
    ///
    /// # Errors
    /// The file does not have it.
    pub fn place(&self, name: &str) -> Result<usize, Wrong> {
        match self.routers.iter().position(|router| router.name == name) {
            Some(place) => Ok(place),
            None => wrong("routers", &format!("one named {name}, as this router is"), "none"),
        }
    }

    /// What ties datagrams to this cluster. Addresses do not count: one router may be reached differently by others.
    pub fn hash(&self) -> u64 {
        cluster_hash(&self.name, self.routers.iter().map(|router| router.name.as_str()))
    }

    pub fn pace(&self) -> Pace {
        let PacePart { probe_period_s, round_trip_s, suspicion_s } = self.pace;
        Pace {
            probe_period: probe_period_s,
            round_trip: round_trip_s,
            suspicion: suspicion_s,
            defences: Defences::default(),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::path::Path;

    const GOOD: &str = include_str!("../../../deploy/cluster.json");

    #[test]
    fn the_example_is_read_and_the_schema_is_the_one_checked_in() {
        let file = read_cluster(GOOD).unwrap();
        assert_eq!((file.routers.len(), file.place("n2")), (3, Ok(1)));
        assert_eq!(file.pace(), Pace::default());
        let checked_in = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/cluster.schema.json");
        let text = std::fs::read_to_string(checked_in).unwrap();
        assert!(
            text == cluster_schema(),
            "stale: write `cleatgw schema cluster` to deploy/cluster.schema.json"
        );
    }

    #[test]
    fn every_error_names_its_field_what_was_expected_and_what_stood_there() {
        for (was, is, words) in [
            ("\"name\": \"coimbra\"", "\"name\": \"two words\"", "field name: expected 1 to 64 letters"),
            ("\"n2\"", "\"n1\"", "field routers[1].name: expected a name of its own, got n1"),
            ("127.0.0.2:7400", "127.0.0.1:7400", "field routers[1].address: expected an address of its own"),
            (
                "127.0.0.2:7400",
                "127.0.0.2:0",
                "field routers[1].address: expected an address that others can",
            ),
            ("127.0.0.2:7400", "127.0.0.2", "field routers[1].address: invalid socket address"),
            ("127.0.0.2:7400", "10.0.0.2:7400", "field routers[1].address: expected one in the `networks`"),
            ("[\"127.0.0.0/8\"]", "[]", "field networks: expected 1 to 64 networks, got 0"),
            ("[\"127.0.0.0/8\"]", "[\"loopback\"]", "field networks[0]: invalid IP address syntax"),
            ("0.12", "0.3", "field pace.round_trip_s: expected seconds from 0.001 to 0.2, got 0.3"),
            ("[\"nightly\"]", "[\"a\", \"a\"]", "field duties[1]: expected a name of its own, got a"),
            ("[\"nightly\"]", "[\"two words\"]", "field duties[0]: expected 1 to 64 letters"),
            ("\"suspicion_s\": 1", "\"suspicion\": 1", "field pace.suspicion: unknown field"),
        ] {
            assert!(GOOD.contains(was), "{was}");
            let said = read_cluster(&GOOD.replacen(was, is, 1)).unwrap_err().0;
            assert!(said.contains(words), "{is}: {said}");
        }
        let file = read_cluster(GOOD).unwrap();
        assert!(file.place("n9").unwrap_err().0.contains("field routers: expected one named n9"));
    }

    #[test]
    fn a_list_that_differs_is_another_cluster_and_an_address_is_not() {
        let file = read_cluster(GOOD).unwrap();
        let hash = |was: &str, is: &str| read_cluster(&GOOD.replacen(was, is, 1)).unwrap().hash();
        assert_eq!(file.hash(), hash("127.0.0.2:7400", "127.0.0.2:7401"));
        assert_ne!(file.hash(), hash("\"n3\"", "\"n4\""));
        assert_ne!(file.hash(), hash("\"name\": \"coimbra\"", "\"name\": \"other\""));
    }
}

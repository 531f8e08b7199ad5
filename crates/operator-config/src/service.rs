//! The service addresses, and when they are announced.

#![allow(missing_docs, reason = "doc comments here are texts of the checked-in schema, which stays as it is")]

mod checks;

use crate::bgp::BgpPart;
use crate::{read_checked, schema_text, OperatorFileError};
use cleatgw_announce::{
    AnnouncerConfig, Damping, Effect, HealthCheckConfig, Hold, InstanceCommunity, PathPreference,
};
use ipnet::IpNet;
use schemars::JsonSchema;
use serde::Deserialize;

/// `deploy/service.json`: service addresses that follow this router. Times are seconds.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ServiceFile {
    pub bgp: BgpPart,
    /// The prefixes to announce, at most 256, without host bits.
    #[schemars(with = "Vec<String>", length(min = 1, max = 256))]
    pub addresses: Vec<IpNet>,
    #[serde(default)]
    pub signs: HealthChecksPart,
    /// What a path carries on each level.
    #[serde(default)]
    pub announced: PathPreferencePart,
    #[serde(default = "depreferred")]
    pub depreferred: PathPreferencePart,
    #[serde(default = "last_resort")]
    pub last_resort: PathPreferencePart,
    /// The function numbers of the large community that marks our paths: sound, and last resort.
    #[serde(default = "mark_functions")]
    pub mark_functions: (u32, u32),
    /// How long all must be well before the first announcement, and before a return.
    #[serde(default = "start_after")]
    pub start_after_s: f64,
    #[serde(default = "return_after")]
    pub return_after_s: f64,
    /// How long a return stays depreferred first.
    #[serde(default = "stage")]
    pub stage_s: f64,
    /// A move waits up to so long more, by lot.
    #[serde(default = "jitter_down")]
    pub jitter_down_s: f64,
    #[serde(default = "jitter_up")]
    pub jitter_up_s: f64,
    /// A sick instance stays as last resort where it sees no sound path of another one.
    #[serde(default = "yes")]
    pub guard: bool,
    /// How long a sick instance shows itself as last resort before it may go. Longer than a change takes to be seen by
    /// all instances, or the guard guards nothing.
    #[serde(default = "settle")]
    pub settle_s: f64,
    #[serde(default)]
    pub damping: DampingPart,
    /// Changes of one address a minute, 2 to 60; moves up keep to half of them.
    #[serde(default = "most_changes")]
    pub most_changes_a_minute: u32,
    /// How long a drain shows GRACEFUL_SHUTDOWN (RFC 8326) before it withdraws, 0 to 0.8.
    #[serde(default)]
    pub shutdown_lead_s: f64,
    /// Holds all addresses at a level until it is taken out of the file again.
    #[serde(default)]
    pub hold: Option<HoldPart>,
}

/// What makes a path dearer.
#[derive(Clone, Debug, Default, Deserialize, JsonSchema, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct PathPreferencePart {
    pub med: Option<u32>,
    /// Our AS so many times more, at most 16; nothing within one AS.
    #[schemars(range(max = 16))]
    pub prepend: u8,
    /// Within one AS only.
    pub local_pref: Option<u32>,
    /// RFC 1997, each as `64512:666`.
    pub communities: Vec<String>,
}

/// What is watched.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct HealthChecksPart {
    /// Clients can connect.
    pub listening: HealthCheckPart,
    /// The decisions run; `bound` is how long a failure of theirs counts.
    pub deciding: HealthCheckPart,
    /// The notice board is heard; `bound` is how long it may be silent.
    pub board: HealthCheckPart,
    /// Engines that are ready and not doubted; `bound` is how many there must be.
    pub engines: HealthCheckPart,
    /// Jobs answered in time of late; `bound` is their share.
    pub in_time: HealthCheckPart,
}

/// When a sign is bad, and how fast that is believed.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct HealthCheckPart {
    pub effect: EffectPart,
    #[serde(default)]
    pub bound: f64,
    /// Readings in a row, four a second, that make it good, and bad: 1 to 1000.
    #[serde(default = "rise")]
    pub rise: u32,
    #[serde(default = "fall")]
    pub fall: u32,
    /// It stays good, and bad, for so long at least.
    #[serde(default)]
    pub least_good_s: f64,
    #[serde(default = "least_bad")]
    pub least_bad_s: f64,
}

#[derive(Clone, Copy, Debug, Deserialize, JsonSchema, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum EffectPart {
    Ignore,
    Deprefer,
    Withdraw,
}

#[derive(Clone, Copy, Debug, Deserialize, JsonSchema, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum HoldPart {
    Depreferred,
    Withdrawn,
}

/// Damping after RFC 2439, in units of one fall.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct DampingPart {
    pub half_life_s: f64,
    pub suppress: f64,
    pub reuse: f64,
    pub longest_s: f64,
}

impl Default for DampingPart {
    fn default() -> DampingPart {
        DampingPart { half_life_s: 60.0, suppress: 3.0, reuse: 1.0, longest_s: 300.0 }
    }
}

impl Default for HealthChecksPart {
    fn default() -> HealthChecksPart {
        let sign = |effect, bound| HealthCheckPart {
            effect,
            bound,
            rise: rise(),
            fall: fall(),
            least_good_s: 0.0,
            least_bad_s: least_bad(),
        };
        HealthChecksPart {
            listening: sign(EffectPart::Withdraw, 0.0),
            deciding: sign(EffectPart::Deprefer, 10.0),
            board: sign(EffectPart::Deprefer, 10.0),
            engines: sign(EffectPart::Withdraw, 1.0),
            in_time: sign(EffectPart::Deprefer, 0.5),
        }
    }
}

fn depreferred() -> PathPreferencePart {
    PathPreferencePart { med: Some(200), prepend: 1, local_pref: Some(50), communities: Vec::new() }
}

fn last_resort() -> PathPreferencePart {
    PathPreferencePart { med: Some(400), prepend: 3, local_pref: Some(10), communities: Vec::new() }
}

fn mark_functions() -> (u32, u32) {
    (1, 2)
}

fn start_after() -> f64 {
    1.0
}

fn return_after() -> f64 {
    5.0
}

fn stage() -> f64 {
    5.0
}

fn jitter_down() -> f64 {
    1.0
}

fn jitter_up() -> f64 {
    5.0
}

fn yes() -> bool {
    true
}

fn settle() -> f64 {
    5.0
}

fn most_changes() -> u32 {
    6
}

fn rise() -> u32 {
    4
}

fn fall() -> u32 {
    4
}

fn least_bad() -> f64 {
    3.0
}

fn community(text: &str) -> Option<u32> {
    let (high, low) = text.split_once(':')?;
    Some(u32::from(high.parse::<u16>().ok()?) << 16 | u32::from(low.parse::<u16>().ok()?))
}

impl PathPreferencePart {
    fn path_preference(&self) -> PathPreference {
        PathPreference {
            med: self.med,
            prepend: self.prepend,
            local_pref: self.local_pref,
            communities: self.communities.iter().filter_map(|text| community(text)).collect(),
        }
    }
}

impl HealthCheckPart {
    fn health_check_config(&self) -> HealthCheckConfig {
        HealthCheckConfig {
            effect: match self.effect {
                EffectPart::Ignore => Effect::Ignore,
                EffectPart::Deprefer => Effect::Deprefer,
                EffectPart::Withdraw => Effect::Withdraw,
            },
            threshold: self.bound,
            rise: self.rise,
            fall: self.fall,
            min_good_time: self.least_good_s,
            min_bad_time: self.least_bad_s,
        }
    }
}

/// Reads a service file.
///
/// # Errors
/// The first thing that is wrong, by the field's path. An unknown field is one.
pub fn read_service(text: &str) -> Result<ServiceFile, OperatorFileError> {
    read_checked(text)
}

/// The schema of the service file.
pub fn service_schema() -> String {
    schema_text::<ServiceFile>()
}

impl ServiceFile {
    /// What is settled for the announcing decisions.
    pub fn announcer_config(&self) -> AnnouncerConfig {
        let HealthChecksPart { listening, deciding, board, engines, in_time } = &self.signs;
        AnnouncerConfig {
            addresses: self.addresses.clone(),
            instance_community: InstanceCommunity {
                asn: self.bgp.asn,
                healthy: self.mark_functions.0,
                last_resort: self.mark_functions.1,
                instance: self.bgp.identifier.into(),
            },
            checks: [listening, deciding, board, engines, in_time].map(HealthCheckPart::health_check_config),
            announced: self.announced.path_preference(),
            depreferred: self.depreferred.path_preference(),
            last_resort: self.last_resort.path_preference(),
            check_interval: 0.25,
            start_delay: self.start_after_s,
            return_delay: self.return_after_s,
            depreferred_time: self.stage_s,
            jitter_down: self.jitter_down_s,
            jitter_up: self.jitter_up_s,
            guard: self.guard,
            settle_time: self.settle_s,
            damping: Damping {
                half_life: self.damping.half_life_s,
                suppress_threshold: self.damping.suppress,
                reuse_threshold: self.damping.reuse,
                max_suppress_time: self.damping.longest_s,
            },
            max_changes: self.most_changes_a_minute,
            shutdown_lead: self.shutdown_lead_s,
            hold: self.hold.map(|hold| match hold {
                HoldPart::Depreferred => Hold::Depreferred,
                HoldPart::Withdrawn => Hold::Withdrawn,
            }),
        }
    }

    /// What can't change while the router runs, and did: the names of the fields.
    pub fn changed_fixed_fields(&self, new: &ServiceFile) -> Vec<&'static str> {
        let fields = [
            ("bgp.asn", self.bgp.asn != new.bgp.asn),
            ("bgp.identifier", self.bgp.identifier != new.bgp.identifier),
            ("bgp.listen", self.bgp.listen != new.bgp.listen),
        ];
        fields.into_iter().filter(|(_, changed)| *changed).map(|(field, _)| field).collect()
    }
}

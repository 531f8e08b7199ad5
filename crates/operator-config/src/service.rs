//! The service file: the service addresses, and when and how they are announced.

#![allow(
    missing_docs,
    reason = "some fields need no description in the schema, which is derived from the doc comments"
)]

mod checks;

use crate::bgp::BgpPart;
use crate::{read_checked, schema_text, OperatorFileError};
use cleatgw_announce::{
    AnnouncerConfig, Damping, Effect, HealthCheckConfig, Hold, InstanceCommunity, PathPreference,
};
use ipnet::IpNet;
use schemars::JsonSchema;
use serde::Deserialize;

/// Seconds between two readings of the health checks: the four readings a second that the description of `rise`
/// mentions.
const CHECK_INTERVAL: f64 = 0.25;

/// `deploy/service.json`: the service addresses of this router, and when and how they are announced. Times are in
/// seconds.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ServiceFile {
    pub bgp: BgpPart,
    /// The prefixes to announce, at most 256, without host bits.
    #[schemars(with = "Vec<String>", length(min = 1, max = 256))]
    pub addresses: Vec<IpNet>,
    /// The health checks that decide how the addresses are announced.
    #[serde(default)]
    pub signs: HealthChecksPart,
    /// The path attributes of an address that is announced normally.
    #[serde(default)]
    pub announced: PathPreferencePart,
    /// The path attributes of an address to which other instances are preferred.
    #[serde(default = "depreferred")]
    pub depreferred: PathPreferencePart,
    /// The path attributes of an address that an unhealthy instance announces.
    #[serde(default = "last_resort")]
    pub last_resort: PathPreferencePart,
    /// The function numbers of the large community that marks our paths: that of healthy paths, and that of paths of
    /// last resort. They must differ.
    #[serde(default = "mark_functions")]
    pub mark_functions: (u32, u32),
    /// How long all checks whose effect is `withdraw` must pass before the first announcement.
    #[serde(default = "start_after")]
    pub start_after_s: f64,
    /// How long all checks whose effect is `withdraw` must pass before a withdrawn address is announced again.
    #[serde(default = "return_after")]
    pub return_after_s: f64,
    /// How long an address stays depreferred when it is announced for the first time or again.
    #[serde(default = "stage")]
    pub stage_s: f64,
    /// The longest random delay of a move to a worse level.
    #[serde(default = "jitter_down")]
    pub jitter_down_s: f64,
    /// The longest random delay of a move to a better level.
    #[serde(default = "jitter_up")]
    pub jitter_up_s: f64,
    /// Whether an unhealthy instance keeps its path as last resort while it sees no healthy path of another instance.
    #[serde(default = "yes")]
    pub guard: bool,
    /// How long an unhealthy instance announces its path as last resort before it may withdraw it. It must be longer
    /// than a change takes to become visible to all instances; otherwise the guard has no effect.
    #[serde(default = "settle")]
    pub settle_s: f64,
    /// Damping of addresses that fail often.
    #[serde(default)]
    pub damping: DampingPart,
    /// The largest number of level changes of one address within a minute, 2 to 60. Moves to a better level may use
    /// half of them. With `guard`, an address is withdrawn for a failure that other instances may share only while it
    /// could still return within this limit.
    #[serde(default = "most_changes")]
    pub most_changes_a_minute: u32,
    /// How long a drain announces GRACEFUL_SHUTDOWN (RFC 8326) before it withdraws, 0 to 0.8.
    #[serde(default)]
    pub shutdown_lead_s: f64,
    /// Holds all addresses at this level until the field is removed from the file. With `depreferred`, a failing check
    /// whose effect is `withdraw` still leads to a worse level.
    #[serde(default)]
    pub hold: Option<HoldPart>,
}

/// The attributes of a path, by which peers prefer one path to another.
#[derive(Clone, Debug, Default, Deserialize, JsonSchema, PartialEq)]
#[serde(deny_unknown_fields, default)]
#[schemars(rename = "DearPart")]
pub struct PathPreferencePart {
    /// MULTI_EXIT_DISC; a lower one is preferred.
    pub med: Option<u32>,
    /// How many more times our AS is prepended to the path, at most 16. Has no effect within one AS.
    #[schemars(range(max = 16))]
    pub prepend: u8,
    /// LOCAL_PREF, used only within one AS; a higher one is preferred.
    pub local_pref: Option<u32>,
    /// Communities (RFC 1997), each in the form `64512:666`; at most 16.
    pub communities: Vec<String>,
}

/// The health checks.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq)]
#[serde(deny_unknown_fields, default)]
#[schemars(rename = "SignsPart")]
pub struct HealthChecksPart {
    /// Whether clients can connect. `bound` has no meaning and must be 0.
    pub listening: HealthCheckPart,
    /// Whether the decision module works. The check fails for `bound` seconds after a failure of it.
    pub deciding: HealthCheckPart,
    /// Whether the discovery service is heard from. `bound` is how many seconds it may be silent.
    pub board: HealthCheckPart,
    /// Whether enough engines are ready and not suspected of having failed. `bound` is the least number of them.
    pub engines: HealthCheckPart,
    /// Whether enough recent requests were answered in time. `bound` is the least share of them, 0 to 1.
    pub in_time: HealthCheckPart,
}

/// When a health check fails, how fast its state follows the readings, and its effect.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "SignPart")]
pub struct HealthCheckPart {
    /// What happens to the addresses while the check fails. `ignore`: nothing. `deprefer`: they are announced with the
    /// attributes of `depreferred`. `withdraw`: they are announced with those of `last_resort` and then withdrawn,
    /// unless `guard` keeps them; failures that other instances can't share, or all if `guard` is off, withdraw them
    /// directly.
    pub effect: EffectPart,
    /// The threshold of the check; its meaning depends on the check.
    #[serde(default)]
    pub bound: f64,
    /// The number of consecutive good readings after which a failing check passes, 1 to 1000. There are four readings a
    /// second.
    #[serde(default = "rise")]
    pub rise: u32,
    /// The number of consecutive bad readings after which a passing check fails, 1 to 1000.
    #[serde(default = "fall")]
    pub fall: u32,
    /// The least time for which the check stays passing.
    #[serde(default)]
    pub least_good_s: f64,
    /// The least time for which the check stays failing.
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

/// Route flap damping (RFC 2439). A penalty is in units of one fall.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct DampingPart {
    /// The time in which a penalty halves.
    pub half_life_s: f64,
    /// The penalty from which on an address is held back; more than `reuse`.
    pub suppress: f64,
    /// The penalty at which an address is no longer held back.
    pub reuse: f64,
    /// The longest time for which an address is held back after its last fall.
    pub longest_s: f64,
}

impl Default for DampingPart {
    fn default() -> DampingPart {
        DampingPart { half_life_s: 60.0, suppress: 3.0, reuse: 1.0, longest_s: 300.0 }
    }
}

impl Default for HealthChecksPart {
    fn default() -> HealthChecksPart {
        let check = |effect, bound| HealthCheckPart {
            effect,
            bound,
            rise: rise(),
            fall: fall(),
            least_good_s: 0.0,
            least_bad_s: least_bad(),
        };
        HealthChecksPart {
            listening: check(EffectPart::Withdraw, 0.0),
            deciding: check(EffectPart::Deprefer, 10.0),
            board: check(EffectPart::Deprefer, 10.0),
            engines: check(EffectPart::Withdraw, 1.0),
            in_time: check(EffectPart::Deprefer, 0.5),
        }
    }
}

// The defaults of the fields, as their `serde` attributes name them.

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

/// Parses a community in the form `64512:666`.
fn parse_community(text: &str) -> Option<u32> {
    let (high, low) = text.split_once(':')?;
    Some(u32::from(high.parse::<u16>().ok()?) << 16 | u32::from(low.parse::<u16>().ok()?))
}

impl PathPreferencePart {
    fn path_preference(&self) -> PathPreference {
        PathPreference {
            med: self.med,
            prepend: self.prepend,
            local_pref: self.local_pref,
            communities: self.communities.iter().filter_map(|text| parse_community(text)).collect(),
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
/// The first error found: the file is too long, is not JSON, has an unknown, missing or malformed field, or a field
/// whose value is not allowed, by itself or together with another field. An error of a field names
/// the field by its path; a missing field of the top level only by its name.
pub fn read_service(text: &str) -> Result<ServiceFile, OperatorFileError> {
    read_checked(text)
}

/// The schema of the service file.
pub fn service_schema() -> String {
    schema_text::<ServiceFile>()
}

impl ServiceFile {
    /// The configuration of the announcing decisions.
    pub fn announcer_config(&self) -> AnnouncerConfig {
        let HealthChecksPart { listening, deciding, board, engines, in_time } = &self.signs;
        AnnouncerConfig {
            addresses: self.addresses.clone(),
            instance_community: InstanceCommunity {
                asn: self.bgp.asn,
                healthy_function: self.mark_functions.0,
                last_resort_function: self.mark_functions.1,
                instance: self.bgp.identifier.into(),
            },
            checks: [listening, deciding, board, engines, in_time].map(HealthCheckPart::health_check_config),
            announced: self.announced.path_preference(),
            depreferred: self.depreferred.path_preference(),
            last_resort: self.last_resort.path_preference(),
            check_interval: CHECK_INTERVAL,
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

    /// The names of the fields that differ in `new` although they can't change while the router runs.
    pub fn changed_fixed_fields(&self, new: &ServiceFile) -> Vec<&'static str> {
        let fields = [
            ("bgp.asn", self.bgp.asn != new.bgp.asn),
            ("bgp.identifier", self.bgp.identifier != new.bgp.identifier),
            ("bgp.listen", self.bgp.listen != new.bgp.listen),
        ];
        fields.into_iter().filter(|(_, changed)| *changed).map(|(field, _)| field).collect()
    }
}

//! The settings of the failure detector: its timing, and which of its defences are on.

use crate::wire::MAX_BODY;
use foca::PeriodicParams;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// Routers that are asked to probe one that has not answered.
const INDIRECT_PROBES: usize = 3;
/// A router asks one other for all members so often, in seconds: repairs what gossip has lost.
const ANNOUNCE_INTERVAL: f64 = 5.0;
/// How often routers that are down are asked whether they are back, in seconds, and how many of them at once.
const ANNOUNCE_TO_DOWN_INTERVAL: f64 = 0.5;
const ANNOUNCE_TO_DOWN: usize = 2;
/// How often news is gossiped apart from probes, in seconds, and to how many.
const GOSSIP_INTERVAL: f64 = 0.1;
const GOSSIP_FANOUT: usize = 3;
/// Transmissions of one piece of news, for each power of ten of routers, and the bounds of their number.
const TRANSMISSIONS_PER_DECADE: f64 = 8.0;
const MIN_TRANSMISSIONS: f64 = 8.0;
const MAX_TRANSMISSIONS: f64 = 24.0;
/// By which part a suspicion lasts longer for ten times as many routers, and from how many on.
const SUSPICION_PER_DECADE: f64 = 0.35;
const SUSPICION_GROWS_FROM: usize = 10;
/// In place of a suspicion where that defence is off, in seconds.
const NO_SUSPICION: f64 = 0.001;

/// Which of the defences against false failures are on. All are, but for measurements of what each is worth.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Defences {
    /// A router that finds itself slow stretches its timers (Lifeguard's local health).
    pub local_health: bool,
    /// What a router hears directly outweighs the word of others that its sender is down.
    pub trust_direct_contact: bool,
    /// A router that a probe did not reach is suspected first. Without, it is down at once.
    pub suspicion: bool,
    /// A router that others know in a younger incarnation than its own takes one that is younger still.
    pub adopt_later_incarnation: bool,
}

impl Default for Defences {
    fn default() -> Defences {
        Defences {
            local_health: true,
            trust_direct_contact: true,
            suspicion: true,
            adopt_later_incarnation: true,
        }
    }
}

/// The timing of the failure detector, in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DetectorSettings {
    /// Between two probes of the detector.
    pub probe_period: f64,
    /// How long an answer to a probe may take before others are asked to probe.
    pub probe_timeout: f64,
    /// How long a suspicion lasts before its router is held failed; more among many routers.
    pub suspicion_timeout: f64,
    /// Which defences are on.
    pub defences: Defences,
}

impl Default for DetectorSettings {
    fn default() -> DetectorSettings {
        DetectorSettings {
            probe_period: 0.4,
            probe_timeout: 0.12,
            suspicion_timeout: 1.0,
            defences: Defences::default(),
        }
    }
}

impl DetectorSettings {
    /// News reaches all in a number of rounds that grows with the logarithm of the number of routers.
    pub(super) fn suspicion_timeout_for(&self, routers: usize) -> f64 {
        if !self.defences.suspicion {
            return NO_SUSPICION;
        }
        let from = SUSPICION_GROWS_FROM;
        let decades = (routers.max(from) as f64 / from as f64).log10();
        self.suspicion_timeout * (1.0 + SUSPICION_PER_DECADE * decades)
    }

    pub(super) fn foca_config(&self, routers: usize) -> foca::Config {
        // So many that it is unlikely that one router is never told: each goes to a few drawn by chance.
        let transmissions = (TRANSMISSIONS_PER_DECADE * (routers as f64 + 1.0).log10()).ceil();
        let transmissions = transmissions.clamp(MIN_TRANSMISSIONS, MAX_TRANSMISSIONS) as u8;
        foca::Config {
            probe_period: Duration::from_secs_f64(self.probe_period),
            probe_rtt: Duration::from_secs_f64(self.probe_timeout),
            num_indirect_probes: count(INDIRECT_PROBES),
            max_transmissions: NonZeroU8::new(transmissions).expect("at least eight"),
            suspect_to_down_after: Duration::from_secs_f64(self.suspicion_timeout_for(routers)),
            remove_down_after: None,
            max_packet_size: count(MAX_BODY),
            notify_down_members: true,
            periodic_announce: every(ANNOUNCE_INTERVAL, 1),
            periodic_announce_to_down_members: every(ANNOUNCE_TO_DOWN_INTERVAL, ANNOUNCE_TO_DOWN),
            periodic_gossip: every(GOSSIP_INTERVAL, GOSSIP_FANOUT),
        }
    }
}

fn count(number: usize) -> NonZeroUsize {
    NonZeroUsize::new(number).expect("a constant above zero")
}

fn every(seconds: f64, members: usize) -> Option<PeriodicParams> {
    Some(PeriodicParams { frequency: Duration::from_secs_f64(seconds), num_members: count(members) })
}

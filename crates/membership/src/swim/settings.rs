//! The settings of the failure detector: its timing, and which of its defences are on.

use crate::wire::MAX_BODY;
use foca::PeriodicParams;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// The number of routers that the library asks to probe a router that has not answered a direct probe.
const INDIRECT_PROBES: usize = 3;
/// How often a router asks one other for its full member list, in seconds: this repairs what gossip has lost.
const ANNOUNCE_INTERVAL: f64 = 5.0;
/// How often routers that are down are contacted to find out whether they are back, in seconds, and how many at a time.
const ANNOUNCE_TO_DOWN_INTERVAL: f64 = 0.5;
const ANNOUNCE_TO_DOWN: usize = 2;
/// How often updates are gossiped in addition to those carried by probes, in seconds, and to how many routers.
const GOSSIP_INTERVAL: f64 = 0.1;
const GOSSIP_FANOUT: usize = 3;
/// How often one update is transmitted for each power of ten of the cluster size, and the bounds of that number.
const TRANSMISSIONS_PER_DECADE: f64 = 8.0;
const MIN_TRANSMISSIONS: f64 = 8.0;
const MAX_TRANSMISSIONS: f64 = 24.0;
/// By which fraction the suspicion timeout grows for each factor of ten in cluster size, and above which size it grows.
const SUSPICION_PER_DECADE: f64 = 0.35;
const SUSPICION_GROWS_FROM: usize = 10;
/// The suspicion timeout while the suspicion defence is off, in seconds.
const NO_SUSPICION: f64 = 0.001;

/// Which of the defences against false failures are on. All are on by default; measurements turn off one at a time to
/// show its effect.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Defences {
    /// A router with evidence that it is slow itself stretches its timers (Lifeguard's local health).
    pub local_health: bool,
    /// Recent direct contact with a router overrules reports from others that it is down.
    pub trust_direct_contact: bool,
    /// A router that did not answer a probe is suspected first. Without this defence it is declared down at once.
    pub suspicion: bool,
    /// A router that learns that others know a later incarnation of it than its own begins one that is later still.
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

/// The settings of the failure detector. Times are in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DetectorSettings {
    /// The time between two probes.
    pub probe_period: f64,
    /// How long an answer to a probe may take before other routers are asked to probe the target.
    pub probe_timeout: f64,
    /// How long a suspected router has to refute the suspicion before it is declared failed. In clusters of more than
    /// ten routers the effective timeout is longer.
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
    /// The suspicion timeout for a cluster of this size, in seconds. Gossip reaches all routers in a number of rounds
    /// that grows with the logarithm of their number, and so does the timeout.
    pub(super) fn suspicion_timeout_for(&self, routers: usize) -> f64 {
        if !self.defences.suspicion {
            return NO_SUSPICION;
        }
        let from = SUSPICION_GROWS_FROM;
        let decades = (routers.max(from) as f64 / from as f64).log10();
        self.suspicion_timeout * (1.0 + SUSPICION_PER_DECADE * decades)
    }

    pub(super) fn foca_config(&self, routers: usize) -> foca::Config {
        // Each transmission goes to a few routers chosen at random: with this many, it is unlikely that a router is
        // missed.
        let transmissions = (TRANSMISSIONS_PER_DECADE * (routers as f64 + 1.0).log10()).ceil();
        let transmissions = transmissions.clamp(MIN_TRANSMISSIONS, MAX_TRANSMISSIONS) as u8;
        foca::Config {
            probe_period: Duration::from_secs_f64(self.probe_period),
            probe_rtt: Duration::from_secs_f64(self.probe_timeout),
            num_indirect_probes: non_zero(INDIRECT_PROBES),
            max_transmissions: NonZeroU8::new(transmissions).expect("MIN_TRANSMISSIONS is above zero"),
            suspect_to_down_after: Duration::from_secs_f64(self.suspicion_timeout_for(routers)),
            remove_down_after: None,
            max_packet_size: non_zero(MAX_BODY),
            notify_down_members: true,
            periodic_announce: every(ANNOUNCE_INTERVAL, 1),
            periodic_announce_to_down_members: every(ANNOUNCE_TO_DOWN_INTERVAL, ANNOUNCE_TO_DOWN),
            periodic_gossip: every(GOSSIP_INTERVAL, GOSSIP_FANOUT),
        }
    }
}

fn non_zero(number: usize) -> NonZeroUsize {
    NonZeroUsize::new(number).expect("counts in the settings are constants above zero")
}

fn every(seconds: f64, members: usize) -> Option<PeriodicParams> {
    Some(PeriodicParams { frequency: Duration::from_secs_f64(seconds), num_members: non_zero(members) })
}

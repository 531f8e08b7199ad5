//! The settings of the failure detector: its timing, and which of its defences are on.

use foca::PeriodicParams;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// Which of the defences are on; all, but for measurements of what each is worth.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Defences {
    pub local_health: bool,
    pub own_ears: bool,
    /// Without, a router that a probe did not reach is down at once.
    pub suspicion: bool,
    /// Who is known in a younger life than it says takes one that is younger still.
    pub told_lives: bool,
}

impl Default for Defences {
    fn default() -> Defences {
        Defences { local_health: true, own_ears: true, suspicion: true, told_lives: true }
    }
}

/// How the detector goes about it, in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace {
    pub probe_period: f64,
    pub round_trip: f64,
    /// A suspicion ripens after this, or more where that many take longer to hear of it.
    pub suspicion: f64,
    pub defences: Defences,
}

impl Default for Pace {
    fn default() -> Pace {
        Pace { probe_period: 0.4, round_trip: 0.12, suspicion: 1.0, defences: Defences::default() }
    }
}

impl Pace {
    /// News reaches all in a number of rounds that grows with the logarithm of how many they are.
    pub(super) fn suspicion_for(&self, routers: usize) -> f64 {
        let rounds = (routers.max(10) as f64 / 10.0).log10();
        if self.defences.suspicion {
            self.suspicion * (1.0 + 0.35 * rounds)
        } else {
            0.001
        }
    }

    pub(super) fn foca(&self, routers: usize) -> foca::Config {
        let every = |seconds: f64, members: usize| {
            let num_members = NonZeroUsize::new(members).expect("a few");
            Some(PeriodicParams { frequency: Duration::from_secs_f64(seconds), num_members })
        };
        // So many that it is unlikely that one router is never told: each goes to three drawn by chance.
        let transmissions = (8.0 * (routers as f64 + 1.0).log10()).ceil().clamp(8.0, 24.0) as u8;
        foca::Config {
            probe_period: Duration::from_secs_f64(self.probe_period),
            probe_rtt: Duration::from_secs_f64(self.round_trip),
            num_indirect_probes: NonZeroUsize::new(3).expect("three"),
            max_transmissions: NonZeroU8::new(transmissions).expect("some"),
            suspect_to_down_after: Duration::from_secs_f64(self.suspicion_for(routers)),
            remove_down_after: None,
            max_packet_size: NonZeroUsize::new(crate::wire::LONGEST_BODY).expect("a size"),
            notify_down_members: true,
            periodic_announce: every(5.0, 1),
            periodic_announce_to_down_members: every(0.5, 2),
            periodic_gossip: every(0.1, 3),
        }
    }
}

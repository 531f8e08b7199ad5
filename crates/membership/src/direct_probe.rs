//! Direct probes of many silent routers at once. The failure detector probes one router per period, which is enough
//! while few routers fail. If many failed together, it would find them one after another, and much of its gossip
//! would go to dead routers.
//!
//! A router is probed directly when it has not been heard for long, or after a shorter silence while many others are
//! being suspected. Some of the other routers are also asked whether they hear it (SWIM's indirect probe, for many
//! routers at a time). If there is no answer although this router hears others, the silent router is suspected, which
//! it may refute like any suspicion. A broken link between two routers therefore makes neither of them suspected, as
//! others still hear both.

use std::collections::BTreeMap;

/// The time between two probes of the same router, in seconds.
const PROBE_INTERVAL: f64 = 0.25;
/// The next probe is due after this fraction of the interval, so that a turn that comes slightly early is not wasted.
const INTERVAL_TOLERANCE: f64 = 0.9;
/// How many probes must go unanswered before a router is suspected: a bad link may lose one or two.
const PROBES_BEFORE_SUSPICION: u32 = 3;
/// The most routers that are probed in one turn, so that many silent routers do not cause a burst of datagrams.
const MAX_PROBES: usize = 32;
/// While many routers are being suspected, a router that was not heard for this long is probed, in seconds.
const MAX_SILENCE_DURING_FAILURES: f64 = 0.5;
/// How long a suspicion counts as recent, in seconds.
const SUSPICION_WINDOW: f64 = 2.0;
/// Recent suspicions indicate a common fault if there is one for each `ROUTERS_PER_SUSPICION` present routers, and at
/// least `MIN_RECENT_SUSPICIONS`.
const ROUTERS_PER_SUSPICION: usize = 50;
const MIN_RECENT_SUSPICIONS: usize = 2;
/// A router that others have heard within this time is alive, even if this router does not hear it. Seconds.
const RECENT_CONTACT: f64 = 1.0;

/// The most routers that one indirect probe, or the answer to it, may name.
pub const MAX_NAMED: usize = MAX_PROBES;

/// The input about one router that counts as present.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Peer {
    /// Its index in the cluster file.
    pub router: u16,
    /// When it was last heard directly, in seconds.
    pub heard_at: f64,
    /// Whether it is suspected already. A suspected router is still probed, so that a live one is heard before the
    /// suspicion times out.
    pub suspected: bool,
}

/// The unanswered probes of one router.
#[derive(Clone, Copy, Debug)]
struct Probed {
    probes: u32,
    first_at: f64,
    last_at: f64,
}

impl Probed {
    fn none(now: f64) -> Probed {
        Probed { probes: 0, first_at: now, last_at: f64::NEG_INFINITY }
    }
}

/// Which silent routers have been probed, and how often.
#[derive(Clone, Debug, Default)]
pub struct DirectProbes {
    probed: BTreeMap<u16, Probed>,
    /// When routers were recently suspected, or failed without a suspicion.
    suspicions: Vec<f64>,
    /// When the next turn is due, in seconds.
    next_turn: f64,
}

/// What the caller is to do now.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ProbeActions {
    /// Routers to probe, directly and through other routers.
    pub probe: Vec<u16>,
    /// Routers to suspect, as they have not answered.
    pub suspect: Vec<u16>,
}

impl DirectProbes {
    /// Records that a router was newly suspected, or failed without a suspicion.
    pub fn note_suspicion(&mut self, now: f64) {
        self.suspicions.retain(|at| now < at + SUSPICION_WINDOW);
        self.suspicions.push(now);
    }

    /// Forgets all probes and suspicions after a pause of this process: missing answers during a pause are no evidence.
    pub fn paused(&mut self) {
        self.probed.clear();
        self.suspicions.clear();
    }

    /// When [`DirectProbes::turn`] is to be called next, in seconds.
    pub fn due(&self) -> f64 {
        self.next_turn
    }

    /// Handles the answer to an indirect probe: another router heard `router` so many seconds ago.
    pub fn heard_by_other(&mut self, router: u16, ago: f64) {
        if ago < RECENT_CONTACT {
            self.probed.remove(&router);
        }
    }

    /// Decides which of the routers that count as present to probe and which to suspect. `max_silence` is the longest
    /// time for which a live router is usually not heard, in seconds; `heard_any_at` is when any router was last
    /// heard.
    pub fn turn(&mut self, peers: &[Peer], max_silence: f64, heard_any_at: f64, now: f64) -> ProbeActions {
        self.next_turn = now + PROBE_INTERVAL;
        self.suspicions.retain(|at| now < at + SUSPICION_WINDOW);
        let silence =
            if self.many_suspected(peers.len()) { MAX_SILENCE_DURING_FAILURES } else { max_silence };
        let mut actions = ProbeActions::default();
        let mut still_probed = BTreeMap::new();
        for peer in peers {
            let Some(mut probed) = self.probes_of(peer, silence, now) else { continue };
            let due = now >= probed.last_at + PROBE_INTERVAL * INTERVAL_TOLERANCE;
            if due && probed.probes >= PROBES_BEFORE_SUSPICION && !peer.suspected {
                // If no router has been heard since the first probe, this router may be the one that is cut off.
                if heard_any_at > probed.first_at {
                    actions.suspect.push(peer.router);
                }
                // Not kept in `still_probed`, so that probes of this router start anew.
                continue;
            }
            if due && actions.probe.len() < MAX_PROBES {
                probed.probes += 1;
                probed.last_at = now;
                actions.probe.push(peer.router);
            }
            still_probed.insert(peer.router, probed);
        }
        self.probed = still_probed;
        actions
    }

    /// Whether there are so many recent suspicions that a common fault is likely.
    fn many_suspected(&self, routers: usize) -> bool {
        let many = (routers / ROUTERS_PER_SUSPICION).max(MIN_RECENT_SUSPICIONS);
        self.suspicions.len() >= many
    }

    /// The unanswered probes of a router that is to be probed; `None` if the router needs no probe.
    fn probes_of(&self, peer: &Peer, silence: f64, now: f64) -> Option<Probed> {
        let unanswered = self.probed.get(&peer.router).filter(|probed| peer.heard_at < probed.first_at);
        if let Some(probed) = unanswered {
            return Some(*probed);
        }
        let silence = if peer.suspected { PROBE_INTERVAL } else { silence };
        (now - peer.heard_at > silence).then(|| Probed::none(now))
    }
}

#[cfg(test)]
mod tests;

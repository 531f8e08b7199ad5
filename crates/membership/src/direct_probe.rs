//! Direct probes of many silent routers at once. The failure detector probes one router a period, which is enough while few
//! fail; where many fail together, they would be found one after another, and the news of each would be gossiped to the dead.
//!
//! A router that was not heard for long, or for a moment while others are being suspected, is probed directly, and some of
//! the others are asked whether they hear it (SWIM's indirect probe, for many at a time). Where nobody answers, though this
//! router hears somebody, it is suspected, which it may refute like any suspicion. So a link that is cut between two
//! routers accuses neither of them.

use std::collections::BTreeMap;

/// Between two probes of the same router, in seconds.
const PROBE_INTERVAL: f64 = 0.25;
/// A probe is due again after this part of the interval, so that a turn that comes a little early is not lost.
const INTERVAL_TOLERANCE: f64 = 0.9;
/// So many probes go unanswered before a router is suspected: one or two may be lost by a bad link.
const PROBES_BEFORE_SUSPICION: u32 = 3;
/// Routers that are probed in one turn, so that a great silence does not become a burst of datagrams.
const MAX_PROBES: usize = 32;
/// While others are suspected, a router that was not heard for so long is probed, in seconds.
const SILENCE_DURING_FAILURES: f64 = 0.5;
/// A suspicion counts as recent for so long, in seconds.
const RECENT: f64 = 2.0;
/// Recent suspicions that tell of a common fault: one for so many routers, and at least the second number.
const ROUTERS_PER_SUSPICION: usize = 50;
const MIN_RECENT_SUSPICIONS: usize = 2;
/// A router that others have heard within this time is alive, whatever is heard here. Seconds.
const HEARD_RECENTLY: f64 = 1.0;

/// Routers that one indirect probe, or the answer to it, names at most.
pub const MAX_NAMED: usize = MAX_PROBES;

/// What is known of one router that counts as present.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Peer {
    /// Its place in the cluster file.
    pub router: u16,
    /// When it was last heard directly, in seconds.
    pub heard_at: f64,
    /// It is suspected already. It is still probed, so that one that is alive is heard before the suspicion times out.
    pub suspected: bool,
}

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

/// Which routers were probed, and how often.
#[derive(Clone, Debug, Default)]
pub struct DirectProbes {
    probed: BTreeMap<u16, Probed>,
    /// When routers were suspected, or failed, of late.
    suspicions: Vec<f64>,
    next_turn: f64,
}

/// What is to be done now.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ProbeActions {
    /// Routers to be probed, directly and through others.
    pub probe: Vec<u16>,
    /// Routers that have not answered.
    pub suspect: Vec<u16>,
}

impl DirectProbes {
    /// Notes that a router was newly suspected, or failed.
    pub fn suspected(&mut self, now: f64) {
        self.suspicions.retain(|at| now < at + RECENT);
        self.suspicions.push(now);
    }

    /// This router was frozen: what went unanswered meanwhile says nothing.
    pub fn paused(&mut self) {
        self.probed.clear();
        self.suspicions.clear();
    }

    /// When [`DirectProbes::turn`] is to be called next, in seconds.
    pub fn due(&self) -> f64 {
        self.next_turn
    }

    /// Another router has heard this one so many seconds ago.
    pub fn heard_by_other(&mut self, router: u16, ago: f64) {
        if ago < HEARD_RECENTLY {
            self.probed.remove(&router);
        }
    }

    /// Looks at the routers that count as present. `max_silence` is how long one that is alive is usually not heard at most,
    /// in seconds; `heard_any_at` is when any router was last heard.
    pub fn turn(&mut self, peers: &[Peer], max_silence: f64, heard_any_at: f64, now: f64) -> ProbeActions {
        self.next_turn = now + PROBE_INTERVAL;
        self.suspicions.retain(|at| now < at + RECENT);
        let silence = if self.many_suspected(peers.len()) { SILENCE_DURING_FAILURES } else { max_silence };
        let mut actions = ProbeActions::default();
        let mut still_probed = BTreeMap::new();
        for peer in peers {
            let Some(mut probed) = self.probes_of(peer, silence, now) else { continue };
            let due = now >= probed.last_at + PROBE_INTERVAL * INTERVAL_TOLERANCE;
            if due && probed.probes >= PROBES_BEFORE_SUSPICION && !peer.suspected {
                // Where nobody is heard, it may be this router that is cut off.
                if heard_any_at > probed.first_at {
                    actions.suspect.push(peer.router);
                }
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

    fn many_suspected(&self, routers: usize) -> bool {
        let many = (routers / ROUTERS_PER_SUSPICION).max(MIN_RECENT_SUSPICIONS);
        self.suspicions.len() >= many
    }

    /// The probes that a router has not answered; `None` for one that needs none.
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

//! A planned stop of the speaker: the drain, then the shutdown of the sessions with BGP peers.

use super::BgpSpeaker;
use cleatgw_bgp::CeaseSubcode;

/// How long the final messages to peers may take to be written, in seconds.
pub(super) const SHUTDOWN_TIMEOUT: f64 = 0.2;
/// The shutdown communication sent to BGP peers at a planned stop (RFC 9003).
const SHUTDOWN_COMMUNICATION: &str = "planned stop";

impl BgpSpeaker {
    /// Starts the drain: withdrawals are decided now and written in this turn. The router accepts new work for another
    /// `new_work_ends_in` seconds.
    pub fn drain(&mut self, now: f64, new_work_ends_in: f64) {
        let drain = self.announcer.drain(now, new_work_ends_in);
        self.advertisements_changed();
        log::info!(
            withdraws_in = drain.withdraws_at - now, new_work_ends_in = drain.new_work_ends - now;
            "drain begins"
        );
    }

    /// Whether no peer has a route of this router any more, as far as the speaker can know.
    pub fn are_routes_withdrawn(&self, now: f64) -> bool {
        let announces_nothing = self.advertisements.by_prefix.is_empty();
        announces_nothing && self.peers.iter().all(|peer| peer.session.all_withdrawn(now))
    }

    /// Shuts all sessions down on the first call. Returns whether all of them have finished or the time-out has passed.
    pub fn shut_down_sessions(&mut self, now: f64) -> bool {
        if self.shutdown_began_at.is_none() {
            self.shutdown_began_at = Some(now);
            for index in 0..self.peers.len() {
                let session = &mut self.peers[index].session;
                session.shut_down(CeaseSubcode::AdministrativeShutdown, SHUTDOWN_COMMUNICATION, now);
                self.perform_actions_and_flush(index, now);
            }
        }
        let are_finished = self.peers.iter().all(|peer| peer.session.is_finished());
        are_finished || self.shutdown_began_at.is_some_and(|at| now >= at + SHUTDOWN_TIMEOUT)
    }
}

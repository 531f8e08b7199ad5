//! The end of the speaker: the drain, and the goodbye to routing peers.

use super::BgpSpeaker;
use cleatgw_bgp::CeaseSubcode;

/// How long the last messages may take at the end, in seconds.
pub(super) const GOODBYE_TIMEOUT: f64 = 0.2;
/// What routing peers are told at a planned stop (RFC 9003).
const SHUTDOWN_COMMUNICATION: &str = "planned stop";

impl BgpSpeaker {
    /// Begins the drain: withdrawals are decided now, and written in this turn. New work ends in so many seconds.
    pub fn drain(&mut self, now: f64, new_work_ends_in: f64) {
        let drain = self.announcer.drain(now, new_work_ends_in);
        self.advertisements_changed();
        log::info!(
            withdraws_in = drain.withdraws_at - now, new_work_ends_in = drain.new_work_ends - now;
            "drain begins"
        );
    }

    /// No route of ours is left at any peer, as far as can be known.
    pub fn is_cleared(&self, now: f64) -> bool {
        let announces_nothing = self.advertisements.by_prefix.is_empty();
        announces_nothing && self.peers.iter().all(|peer| peer.session.all_withdrawn(now))
    }

    /// Says goodbye to all peers, once; tells whether that is done, or has had its time.
    pub fn say_goodbye(&mut self, now: f64) -> bool {
        if self.goodbye_at.is_none() {
            self.goodbye_at = Some(now);
            for index in 0..self.peers.len() {
                let session = &mut self.peers[index].session;
                session.shut_down(CeaseSubcode::AdministrativeShutdown, SHUTDOWN_COMMUNICATION, now);
                self.carry_out(index, now);
            }
        }
        let is_over = self.peers.iter().all(|peer| peer.session.is_finished());
        is_over || self.goodbye_at.is_some_and(|at| now >= at + GOODBYE_TIMEOUT)
    }
}

//! Status rows for the drain, the service addresses, the health checks and the BGP peers, and the speaker's counters.

use super::BgpSpeaker;
use crate::routing::Counters;
use crate::status_row::StatusRow;
use crate::transport::bgp_connection::BgpPeer;
use cleatgw_announce::{AddressStatus, Paths};
use cleatgw_bgp::Peer;

impl BgpSpeaker {
    pub fn counters(&self) -> Counters {
        let mut counters = self.counters.clone();
        for peer in &self.peers {
            add_counters(&mut counters, &peer.session);
        }
        counters.announce_changes = self.announcer.changes;
        counters.announce_guarded = self.announcer.guarded;
        counters.announce_damped = self.announcer.damped;
        counters.announce_capped = self.announcer.capped;
        counters
    }

    /// One row for the drain, if one is running, then one for each address, failing health check and peer.
    pub fn status(&self, now: f64) -> Vec<StatusRow> {
        let mut rows = Vec::new();
        rows.extend(self.drain_row(now));
        let paths = self.paths();
        let statuses = self.announcer.statuses();
        rows.extend(statuses.map(|status| address_row(status, &paths, now)));
        for check in self.announcer.failing_checks() {
            rows.push(StatusRow::new("sign", "bad", check.to_string()));
        }
        rows.extend(self.peers.iter().map(peer_row));
        rows
    }

    fn drain_row(&self, now: f64) -> Option<StatusRow> {
        let drain = self.announcer.draining()?;
        let remaining = drain.new_work_ends - now;
        let work = if remaining > 0.0 {
            format!("new work for {remaining:.2} s more")
        } else {
            "no new work".to_string()
        };
        Some(StatusRow::new("drain", format!("since {:.2} s", now - drain.began), work))
    }
}

fn address_row(status: AddressStatus, paths: &Paths, now: f64) -> StatusRow {
    let AddressStatus { prefix, level, reason, since, suppressed_by } = status;
    let pending_move =
        suppressed_by.map_or(String::new(), |suppressed_by| format!("; a move waits for {suppressed_by}"));
    let healthy = paths.healthy(&prefix);
    let total = paths.total(&prefix);
    let others = format!("{healthy} sound of {total} others seen");
    let detail = format!("{reason}, for {:.1} s; {others}{pending_move}", now - since);
    StatusRow::new(format!("address {prefix}"), level.to_string(), detail)
}

fn peer_row(peer: &BgpPeer) -> StatusRow {
    let BgpPeer { config, session, is_leaving, .. } = peer;
    let counts = &session.counters;
    let announced: Vec<String> = session.adj_rib_out().map(|(prefix, _)| prefix.to_string()).collect();
    let last_error = session.last_error.as_deref();
    let last_error = last_error.map_or(String::new(), |error| format!("; last error: {error}"));
    let leaving = if *is_leaving { ", leaving" } else { "" };
    let detail = format!(
        "out {} [{}], seen {}, sessions {} lost {}{leaving}{last_error}",
        announced.len(),
        announced.join(" "),
        session.adj_rib_in.len(),
        counts.established,
        counts.lost
    );
    StatusRow::new(
        format!("peer {} {}", config.name, config.address),
        format!("{:?}", session.state()),
        detail,
    )
}

/// Adds the counters of one session to those of the router.
pub(super) fn add_counters(counters: &mut Counters, session: &Peer) {
    let counts = &session.counters;
    counters.bgp_established += counts.established;
    counters.bgp_lost += counts.lost;
    counters.bgp_updates_out += counts.updates_out;
    counters.bgp_updates_in += counts.updates_in;
    counters.bgp_notifications_out += counts.notifications_out;
    counters.bgp_notifications_in += counts.notifications_in;
    counters.bgp_treated_as_withdrawn += counts.treated_as_withdrawn;
    counters.bgp_ignored += session.adj_rib_in.ignored;
    counters.bgp_over_limit += session.adj_rib_in.over_limit;
}

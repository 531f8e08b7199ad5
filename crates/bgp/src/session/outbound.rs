//! Announcements to the peer: updates the Adj-RIB-Out to match the routes to announce, as fast as the peer reads.

use super::connection::{Connection, RefreshState};
use super::{AdminState, Advertisement, Peer};
use crate::family::Family;
use crate::message::{self, RouteRefresh};
use crate::open::Role;
use crate::update::{self, AsPathSegment, Origin, PathAttributes};
use ipnet::IpNet;
use std::collections::BTreeMap;

/// No more UPDATEs are queued while at least this many bytes are unsent. This bounds the buffer for a peer that reads
/// nothing.
const OUTPUT_LIMIT: usize = 8 * 1024;

impl Peer {
    /// Replaces the routes to announce; routes that are not among them are withdrawn. After a drain has begun this call
    /// has no effect, so that no route is announced again.
    pub fn announce(&mut self, advertisements: BTreeMap<IpNet, Advertisement>, now: f64) {
        if self.admin_state == AdminState::Running && self.advertisements != advertisements {
            self.advertisements = advertisements;
            self.write_updates(now);
        }
    }

    /// Queues UPDATEs for the difference between the Adj-RIB-Out and the routes to announce, withdrawals first, unless
    /// [`OUTPUT_LIMIT`] is reached.
    pub(super) fn write_updates(&mut self, now: f64) {
        let Some((direction, _)) = self.established_connection() else { return };
        let Some(mut connection) = self.connections[direction as usize].take() else { return };
        if connection.output.len() < OUTPUT_LIMIT {
            let was_empty = connection.output.is_empty();
            for family in Family::ALL {
                if connection.has_negotiated(family) {
                    self.write_family(&mut connection, family);
                }
            }
            if was_empty && !connection.output.is_empty() {
                connection.last_progress = now;
            }
        }
        let all_written = connection.output.is_empty();
        self.connections[direction as usize] = Some(connection);
        // While draining, a session may have been opened only so that the peer removes the routes it retained. Once all
        // data is written, with our OPEN that lists no family for Graceful Restart or with the End-of-RIB marker, the
        // peer retains none, and no new connection is needed.
        if self.admin_state == AdminState::Draining && all_written && self.advertisements.is_empty() {
            self.retained_until = f64::NEG_INFINITY;
        }
    }

    /// Queues the UPDATEs of one family, and what a route refresh or the End-of-RIB marker requires.
    fn write_family(&mut self, connection: &mut Connection, family: Family) {
        let RefreshState { requested, end_of_rib_due } =
            std::mem::take(&mut connection.refresh[family as usize]);
        let enhanced =
            connection.peer_capabilities().is_some_and(|capabilities| capabilities.enhanced_route_refresh);
        if requested {
            // Routes that are still to be announced are removed from the Adj-RIB-Out, so they are announced again. The
            // others stay in it, so they are withdrawn.
            connection
                .adj_rib_out
                .retain(|net, _| Family::of_prefix(net) != family || !self.advertisements.contains_key(net));
        }
        if requested && enhanced {
            message::encode_route_refresh(&mut connection.output, RouteRefresh::BeginOfRefresh(family));
        }
        self.write_withdrawals(connection, family);
        self.write_announcements(connection, family);
        if requested && enhanced {
            message::encode_route_refresh(&mut connection.output, RouteRefresh::EndOfRefresh(family));
        }
        if end_of_rib_due {
            update::end_of_rib(&mut connection.output, family);
        }
    }

    fn write_withdrawals(&mut self, connection: &mut Connection, family: Family) {
        let is_withdrawn =
            |net: &&IpNet| Family::of_prefix(net) == family && !self.advertisements.contains_key(*net);
        let withdrawn: Vec<IpNet> = connection.adj_rib_out.keys().filter(is_withdrawn).copied().collect();
        if withdrawn.is_empty() {
            return;
        }
        update::withdraw(&mut connection.output, family, &withdrawn);
        for net in &withdrawn {
            connection.adj_rib_out.remove(net);
        }
        self.counters.updates_out += 1;
    }

    /// Queues announcements of new and changed routes; prefixes with the same attributes share UPDATEs.
    fn write_announcements(&mut self, connection: &mut Connection, family: Family) {
        let mut by_advertisement: BTreeMap<&Advertisement, Vec<IpNet>> = BTreeMap::new();
        for (net, advertisement) in &self.advertisements {
            if Family::of_prefix(net) == family && connection.adj_rib_out.get(net) != Some(advertisement) {
                by_advertisement.entry(advertisement).or_default().push(*net);
            }
        }
        let context = connection.update_context(self.config.is_internal());
        for (advertisement, nets) in by_advertisement {
            let Some(attributes) = self.path_attributes(family, advertisement) else { continue };
            update::announce(&mut connection.output, family, &nets, &attributes, context);
            connection.has_announced = true;
            connection.adj_rib_out.extend(nets.into_iter().map(|net| (net, advertisement.clone())));
            self.counters.updates_out += 1;
        }
    }

    /// The path attributes of one announcement; `None` if no next hop of the family is configured.
    fn path_attributes(&self, family: Family, advertisement: &Advertisement) -> Option<PathAttributes> {
        let config = &self.config;
        let numbers = vec![config.local_as; 1 + usize::from(advertisement.prepend)];
        let own_segment = AsPathSegment::sequence(numbers);
        // RFC 9234 section 5: a customer, a lateral peer or a client of a route server must propagate our routes only
        // to its customers.
        let to_customers_only = matches!(config.role, Some(Role::Provider | Role::RouteServer | Role::Peer));
        Some(PathAttributes {
            origin: Origin::Igp,
            as_path: if config.is_internal() { Vec::new() } else { vec![own_segment] },
            next_hop: Some(config.next_hops[family as usize]?),
            med: advertisement.med,
            local_pref: advertisement.local_pref,
            communities: advertisement.communities.clone(),
            large_communities: advertisement.large_communities.clone(),
            only_to_customer: to_customers_only.then_some(config.local_as),
        })
    }
}

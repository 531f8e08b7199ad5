//! What is announced to the peer: the Adj-RIB-Out follows the wanted routes, as far as the peer reads.

use super::connection::{Connection, RefreshState};
use super::{AdminState, Advertisement, Peer};
use crate::family::Family;
use crate::message::{self, RouteRefresh};
use crate::open::Role;
use crate::update::{self, AsPathSegment, Origin, PathAttributes};
use ipnet::IpNet;
use std::collections::BTreeMap;

/// Bytes: no more UPDATEs are written while so much is unsent, so that a peer that reads nothing costs a bounded buffer.
const OUTPUT_LIMIT: usize = 8 * 1024;

impl Peer {
    /// The routes to announce from now on; others are withdrawn. After a drain began this changes nothing: nothing is
    /// announced again.
    pub fn announce(&mut self, wanted: BTreeMap<IpNet, Advertisement>, now: f64) {
        if self.admin_state == AdminState::Running && self.wanted != wanted {
            self.wanted = wanted;
            self.write_updates(now);
        }
    }

    /// Writes the difference between the Adj-RIB-Out and what is wanted, withdrawals first, as far as the peer reads.
    pub(super) fn write_updates(&mut self, now: f64) {
        let Some((direction, _)) = self.established_connection() else { return };
        let Some(mut connection) = self.connections[direction as usize].take() else { return };
        if connection.output.len() < OUTPUT_LIMIT {
            let was_empty = connection.output.is_empty();
            for family in Family::ALL {
                if connection.speaks(family) {
                    self.write_family(&mut connection, family);
                }
            }
            if was_empty && !connection.output.is_empty() {
                connection.last_progress = now;
            }
        }
        let all_written = connection.output.is_empty();
        self.connections[direction as usize] = Some(connection);
        // A peer that was connected to only to clear what it kept is left once it knows.
        if self.admin_state == AdminState::Draining && all_written && self.wanted.is_empty() {
            self.retained_until = f64::NEG_INFINITY;
        }
    }

    fn write_family(&mut self, connection: &mut Connection, family: Family) {
        let RefreshState { requested, end_of_rib_due } =
            std::mem::take(&mut connection.refresh[family as usize]);
        let enhanced =
            connection.peer_capabilities().is_some_and(|capabilities| capabilities.enhanced_route_refresh);
        if requested {
            // What was announced is announced again; what was withdrawn meanwhile stays so.
            connection
                .adj_rib_out
                .retain(|net, _| Family::of_prefix(net) != family || !self.wanted.contains_key(net));
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
        let is_gone = |net: &&IpNet| Family::of_prefix(net) == family && !self.wanted.contains_key(*net);
        let gone: Vec<IpNet> = connection.adj_rib_out.keys().filter(is_gone).copied().collect();
        if gone.is_empty() {
            return;
        }
        update::withdraw(&mut connection.output, family, &gone);
        for net in &gone {
            connection.adj_rib_out.remove(net);
        }
        self.counters.updates_out += 1;
    }

    /// Prefixes that are announced alike share UPDATEs.
    fn write_announcements(&mut self, connection: &mut Connection, family: Family) {
        let mut new: BTreeMap<&Advertisement, Vec<IpNet>> = BTreeMap::new();
        for (net, path) in &self.wanted {
            if Family::of_prefix(net) == family && connection.adj_rib_out.get(net) != Some(path) {
                new.entry(path).or_default().push(*net);
            }
        }
        let encoding = connection.encoding(self.config.internal());
        for (path, nets) in new {
            let Some(attributes) = self.attributes(family, path) else { continue };
            update::announce(&mut connection.output, family, &nets, &attributes, encoding);
            connection.has_announced = true;
            connection.adj_rib_out.extend(nets.into_iter().map(|net| (net, path.clone())));
            self.counters.updates_out += 1;
        }
    }

    /// The path attributes of one announcement; none where there is no next hop of the family.
    fn attributes(&self, family: Family, advertisement: &Advertisement) -> Option<PathAttributes> {
        let config = &self.config;
        let numbers = vec![config.local_as; 1 + usize::from(advertisement.prepend)];
        let own = AsPathSegment::sequence(numbers);
        // RFC 9234 section 5: what we send to a customer or a lateral peer must go to customers only from there.
        let to_customers_only = matches!(config.role, Some(Role::Provider | Role::RouteServer | Role::Peer));
        Some(PathAttributes {
            origin: Origin::Igp,
            as_path: if config.internal() { Vec::new() } else { vec![own] },
            next_hop: Some(config.next_hops[family as usize]?),
            med: advertisement.med,
            local_pref: advertisement.local_pref,
            communities: advertisement.communities.clone(),
            large_communities: advertisement.large_communities.clone(),
            only_to_customer: to_customers_only.then_some(config.local_as),
        })
    }
}

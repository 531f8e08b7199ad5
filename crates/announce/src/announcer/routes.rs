//! The routes that are announced to peers.

use super::{Address, Announcer};
use crate::level::{Level, Reason};
use cleatgw_bgp::{Advertisement, GRACEFUL_SHUTDOWN};
use ipnet::IpNet;
use std::collections::BTreeMap;

impl Announcer {
    /// The routes to announce: each address that is not withdrawn, with the path attributes of its level.
    pub fn advertisements(&self) -> BTreeMap<IpNet, Advertisement> {
        let announced = self.addresses.iter().filter(|address| address.level > Level::Withdrawn);
        announced.map(|address| (address.prefix, self.advertisement(address))).collect()
    }

    fn advertisement(&self, address: &Address) -> Advertisement {
        let preference = match address.level {
            // Withdrawn addresses are not advertised.
            Level::Announced | Level::Withdrawn => &self.config.announced,
            Level::Depreferred => &self.config.depreferred,
            Level::LastResort => &self.config.last_resort,
        };
        let draining = address.reason == Reason::Draining;
        let mut communities = preference.communities.clone();
        communities.extend(draining.then_some(GRACEFUL_SHUTDOWN));
        communities.sort_unstable();
        communities.dedup();
        // LOCAL_PREF, which is sent only within our AS, is 0 during a graceful shutdown (RFC 8326 section 4.2).
        let local_pref = if draining { Some(0) } else { preference.local_pref };
        // The path of a draining instance must not count as healthy at other instances.
        let healthy = address.level > Level::LastResort && !draining;
        Advertisement {
            med: preference.med,
            prepend: preference.prepend,
            local_pref,
            communities,
            large_communities: vec![self.config.instance_community.large_community(healthy)],
        }
    }
}

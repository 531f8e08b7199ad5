//! What peers are told: each address that is out, with the path of its level.

use super::{Address, Announcer};
use crate::level::{Level, Why};
use cleatgw_bgp::{Advertisement, GRACEFUL_SHUTDOWN};
use ipnet::IpNet;
use std::collections::BTreeMap;

impl Announcer {
    /// What is to be told to peers.
    pub fn wanted(&self) -> BTreeMap<IpNet, Advertisement> {
        let out = self.addresses.iter().filter(|address| address.level > Level::Withdrawn);
        out.map(|address| (address.net, self.path(address))).collect()
    }

    fn path(&self, address: &Address) -> Advertisement {
        let dear = match address.level {
            Level::Announced | Level::Withdrawn => &self.terms.announced,
            Level::Depreferred => &self.terms.depreferred,
            Level::LastResort => &self.terms.last_resort,
        };
        let draining = address.why == Why::Draining;
        let mut communities = dear.communities.clone();
        communities.extend(draining.then_some(GRACEFUL_SHUTDOWN));
        communities.sort_unstable();
        communities.dedup();
        // RFC 8326 section 4.2: within one AS the preference goes to zero.
        let local_pref = if draining { Some(0) } else { dear.local_pref };
        let sound = address.level > Level::LastResort && !draining;
        Advertisement {
            med: dear.med,
            prepend: dear.prepend,
            local_pref,
            communities,
            large_communities: vec![self.terms.mark.write(sound)],
        }
    }
}

//! Tests of the Adj-RIB-In: its bounds, and its stale routes.

use super::*;

fn net(text: &str) -> IpNet {
    text.parse().unwrap()
}

#[test]
fn bounds_routes_and_communities_and_ignores_foreign_prefixes() {
    let mut learned = AdjRibIn::new(&[net("198.51.100.0/24"), net("2001:db8::7/128")], 8);
    for index in 0..100_000u32 {
        let address = std::net::Ipv4Addr::from(0x0b00_0000 + index);
        learned.insert(IpNet::new(address.into(), 32).unwrap(), &PathAttributes::default());
    }
    assert_eq!((learned.len(), learned.ignored), (0, 100_000));
    for last_octet in 0..200u8 {
        learned.insert(net(&format!("198.51.100.{last_octet}/32")), &PathAttributes::default());
    }
    assert_eq!((learned.len(), learned.over_limit), (8, 192));
    let attributes_with_900_communities =
        PathAttributes { communities: vec![1; 900], ..PathAttributes::default() };
    learned.insert(net("198.51.100.0/32"), &attributes_with_900_communities);
    let route = learned.iter().find(|(prefix, _)| *prefix == net("198.51.100.0/32")).unwrap().1;
    assert_eq!(route.communities.len(), MAX_COMMUNITIES);
    // An aggregate that covers a service prefix is not an announcement of that prefix.
    learned.insert(net("198.51.0.0/16"), &PathAttributes::default());
    assert_eq!(learned.ignored, 100_001);
}

#[test]
fn removes_stale_routes_at_end_of_rib_or_after_the_restart_time() {
    let mut learned = AdjRibIn::new(&[net("198.51.100.7/32"), net("2001:db8::7/128")], 8);
    let prefixes = [net("198.51.100.7/32"), net("2001:db8::7/128")];
    prefixes.iter().for_each(|net| learned.insert(*net, &PathAttributes::default()));
    learned.mark_stale([true, true], 120.0);
    learned.insert(prefixes[0], &PathAttributes::default());
    learned.remove_stale(Family::Ipv4);
    assert_eq!(learned.len(), 2);
    learned.remove_stale(Family::Ipv6);
    assert_eq!((learned.len(), learned.due()), (1, f64::INFINITY));
    // Routes of a family that is not preserved are removed at once, those of the other family when they expire.
    learned.insert(prefixes[1], &PathAttributes::default());
    learned.mark_stale([true, false], 120.0);
    assert_eq!(learned.len(), 1);
    learned.expire_stale(119.0);
    assert_eq!(learned.len(), 1);
    learned.expire_stale(120.0);
    assert!(learned.is_empty());
}

//! Bounds and stale routes of the Adj-RIB-In.

use super::*;

fn net(word: &str) -> IpNet {
    word.parse().unwrap()
}

#[test]
fn bounds_routes_and_communities_and_ignores_foreign_prefixes() {
    let mut learned = AdjRibIn::new(&[net("198.51.100.0/24"), net("2001:db8::7/128")], 8);
    for at in 0..100_000u32 {
        let address = std::net::Ipv4Addr::from(0x0b00_0000 + at);
        learned.insert(IpNet::new(address.into(), 32).unwrap(), &PathAttributes::default());
    }
    assert_eq!((learned.len(), learned.ignored), (0, 100_000));
    for at in 0..200u8 {
        learned.insert(net(&format!("198.51.100.{at}/32")), &PathAttributes::default());
    }
    assert_eq!((learned.len(), learned.over_limit), (8, 192));
    let many = PathAttributes { communities: vec![1; 900], ..PathAttributes::default() };
    learned.insert(net("198.51.100.0/32"), &many);
    let seen = learned.iter().find(|(at, _)| *at == net("198.51.100.0/32")).unwrap().1;
    assert_eq!(seen.communities.len(), MAX_COMMUNITIES);
    // An aggregate that covers a service address does not announce that address.
    learned.insert(net("198.51.0.0/16"), &PathAttributes::default());
    assert_eq!(learned.ignored, 100_001);
}

#[test]
fn removes_stale_routes_at_end_of_rib_or_when_their_time_is_over() {
    let mut learned = AdjRibIn::new(&[net("198.51.100.7/32"), net("2001:db8::7/128")], 8);
    let both = [net("198.51.100.7/32"), net("2001:db8::7/128")];
    both.iter().for_each(|net| learned.insert(*net, &PathAttributes::default()));
    learned.mark_stale([true, true], 120.0);
    learned.insert(both[0], &PathAttributes::default());
    learned.remove_stale(Family::Ipv4);
    assert_eq!(learned.len(), 2);
    learned.remove_stale(Family::Ipv6);
    assert_eq!((learned.len(), learned.due()), (1, f64::INFINITY));
    // A family that the peer does not keep goes at once; the other one with its time.
    learned.insert(both[1], &PathAttributes::default());
    learned.mark_stale([true, false], 120.0);
    assert_eq!(learned.len(), 1);
    learned.expire_stale(119.0);
    assert_eq!(learned.len(), 1);
    learned.expire_stale(120.0);
    assert!(learned.is_empty());
}

//! One session between the real state machine and the far end of the test bed, one test for each failure.

mod host;

use cleatgw_bgp::error::FsmError;
use cleatgw_bgp::message::{self, frame};
use cleatgw_bgp::update::{self, AsPathSegment, UpdateContext};
use cleatgw_bgp::*;
use cleatgw_testbed::routers::bgp_peer::Saw;
use host::*;

/// Announcements that the far end saw.
fn announced(host: &Host) -> usize {
    host.far.saw.iter().filter(|saw| matches!(saw, Saw::Announced(..))).count()
}

fn notified(host: &Host) -> Option<Notification> {
    host.far.saw.iter().rev().find_map(|saw| match saw {
        Saw::Ended(told) => told.clone(),
        _ => None,
    })
}

#[test]
fn announces_changes_and_withdraws_prefixes_of_both_families() {
    let mut host = Host::up(config(), far_open(), both());
    assert!(host.has("198.51.100.7/32") && host.has("2001:db8::7/128"));
    let dear = Advertisement {
        med: Some(200),
        prepend: 2,
        communities: vec![GRACEFUL_SHUTDOWN],
        ..Advertisement::default()
    };
    let mut changed = both();
    changed.insert(net("198.51.100.7/32"), dear);
    host.peer.announce(changed, host.now);
    host.settle();
    let seen = host.far.table[&net("198.51.100.7/32")].0.clone();
    assert_eq!((seen.med, seen.path_length(), seen.communities), (Some(200), 3, vec![GRACEFUL_SHUTDOWN]));
    // The other one was not told again.
    assert_eq!(announced(&host), 3);
    host.peer.announce(wanted(&["2001:db8::7/128"]), host.now);
    host.settle();
    assert!(!host.has("198.51.100.7/32") && host.has("2001:db8::7/128"));
}

/// The session ends in each state in turn, ten times a minute; what is out is whole again after each.
#[test]
fn restores_all_routes_after_each_flap_with_a_growing_idle_hold_time() {
    let mut host = Host::up(config(), far_open(), both());
    let mut waits = Vec::new();
    for round in 0..20 {
        match round % 5 {
            0 => host.reset(),
            1 => {
                host.far.say(|out| {
                    Notification::cease(CeaseSubcode::AdministrativeShutdown, "flap", false).encode(out)
                });
                host.settle();
            }
            2 => host.far.say(|out| out.extend([0xff; 25])),
            // Half a message, then a reset.
            3 => {
                host.far.say(|out| out.extend([0xff; 10]));
                host.settle();
                host.reset();
            }
            _ => host.carries = false,
        }
        let lost = host.now;
        while host.far.established && host.peer.state() == State::Established {
            host.run(0.1);
            assert!(host.now < lost + 20.0, "round {round}: silence is not noticed");
        }
        assert!(host.held() == 0 || round % 5 == 4, "round {round}: {:?}", host.far.table);
        host.reset();
        host.carries = true;
        let down = host.now;
        while !host.far.established {
            host.run(0.05);
            assert!(host.now < down + 20.0, "round {round}: {:?}", host.peer.last_error);
        }
        host.run(0.05);
        assert_eq!(host.held(), 2, "round {round}");
        waits.push(host.now - down);
    }
    assert!(waits[0] < 1.2 && waits[19] > 10.0, "{waits:?}");
    // Once it has held for long, a failure is the first one again.
    host.run(40.0);
    host.reset();
    let down = host.now;
    while !host.far.established {
        host.run(0.05);
    }
    assert!(host.now - down < 1.2);
}

#[test]
fn retries_connections_that_are_refused_time_out_or_send_no_open() {
    for (net, until) in [(Net::Refuses, 8.1), (Net::Silent, 13.1)] {
        let mut host = Host::new(config(), far_open());
        host.net = net;
        host.peer.announce(both(), 0.0);
        host.run(0.5);
        assert!(matches!(host.peer.state(), State::Active | State::Connect));
        host.net = Net::Up;
        host.run(until);
        assert_eq!(host.held(), 2, "{net:?}");
    }
    // An OPEN that never comes.
    let mut host = Host::new(config(), far_open());
    host.far.mute = true;
    host.peer.announce(both(), 0.0);
    host.run(19.0);
    assert_eq!(host.peer.state(), State::OpenSent);
    host.run(1.5);
    assert_eq!(notified(&host).unwrap().code, ErrorKind::HoldTimerExpired.code());
    host.far.mute = false;
    host.run(2.0);
    assert_eq!(host.held(), 2);
}

/// Both sides open at once; RFC 4271 section 6.8 leaves exactly one connection, by the identifiers.
#[test]
fn resolves_a_collision_in_favour_of_the_higher_identifier() {
    for (far_id, stays) in [("192.0.2.99", Direction::Incoming), ("192.0.1.1", Direction::Outgoing)] {
        let mut peer = Peer::new(config(), 1, 0.0);
        peer.announce(both(), 0.0);
        peer.run_timers(0.0);
        assert_eq!(peer.next_action(), Some(Action::Connect));
        assert!(peer.connected(Direction::Outgoing, 0.0) && peer.connected(Direction::Incoming, 0.0));
        let mut open = Vec::new();
        Open { identifier: far_id.parse().unwrap(), ..far_open() }.encode(&mut open);
        peer.receive(Direction::Outgoing, &open, 0.1);
        assert_eq!(peer.state(), State::OpenConfirm);
        peer.receive(Direction::Incoming, &open, 0.1);
        let gone = if stays == Direction::Outgoing { Direction::Incoming } else { Direction::Outgoing };
        // The one that goes is told why, and is closed once that is written.
        let last = peer.unsent(gone).to_vec();
        let mut kinds = Vec::new();
        let mut at = 0;
        while let Some(found) = frame(&last[at..]).unwrap() {
            kinds.push((found.message_type, found.body.get(1).copied()));
            at += found.length();
        }
        assert_eq!(
            kinds.last().unwrap(),
            &(MessageType::Notification, Some(CeaseSubcode::ConnectionCollisionResolution as u8))
        );
        peer.written(gone, last.len(), 0.2);
        assert_eq!(peer.next_action(), Some(Action::Close(gone)));
        let mut alive = Vec::new();
        message::encode_keepalive(&mut alive);
        peer.receive(stays, &alive, 0.3);
        assert_eq!((peer.state(), peer.adj_rib_out().count()), (State::Established, 2));
        // A third one while it is up is turned away.
        assert!(peer.connected(gone, 0.4) == (gone == Direction::Incoming));
        if gone == Direction::Incoming {
            peer.receive(gone, &open, 0.5);
            assert_eq!((peer.state(), peer.adj_rib_out().count()), (State::Established, 2));
            assert!(!peer.unsent(gone).is_empty());
        }
    }
}

/// Peers that are not who they should be.
#[test]
fn announces_nothing_to_a_peer_whose_open_is_unacceptable() {
    let wrong = |change: &dyn Fn(&mut PeerConfig, &mut Open)| {
        let (mut config, mut open) = (config(), far_open());
        change(&mut config, &mut open);
        let mut host = Host::new(config, open);
        host.peer.announce(both(), 0.0);
        host.run(0.2);
        assert_eq!((host.held(), announced(&host)), (0, 0));
        notified(&host).map(|told| (told.code, told.subcode))
    };
    assert_eq!(wrong(&|_, open| (open.asn, open.capabilities.four_octet_as) = (7, Some(7))), Some((2, 2)));
    assert_eq!(
        wrong(&|config, _| config.peer_identifier = Some("192.0.2.98".parse().unwrap())),
        Some((2, 3))
    );
    assert_eq!(wrong(&|_, open| open.hold_time = 2), Some((2, 6)));
    assert_eq!(
        wrong(&|config, open| (config.families, open.capabilities.families) = ([false, true], [true, false])),
        Some((2, 7))
    );
    let customer = |config: &mut PeerConfig| config.role = Some(Role::Customer);
    assert_eq!(
        wrong(&|config, open| {
            customer(config);
            open.capabilities.role = Some(Role::Customer);
        }),
        Some((2, 11))
    );
    assert_eq!(
        wrong(&|config, _| {
            customer(config);
            config.strict_role = true;
        }),
        Some((2, 11))
    );
    // Within one AS identifiers must differ.
    let same = |config: &mut PeerConfig, open: &mut Open| {
        (config.peer_as, open.asn, open.capabilities.four_octet_as) = (OURS, OURS, Some(OURS));
        open.identifier = config.identifier;
    };
    assert_eq!(wrong(&same), Some((2, 3)));
}

#[test]
fn a_hold_time_of_zero_sends_no_keepalives_and_never_expires() {
    let mut host = Host::up(config(), Open { hold_time: 0, ..far_open() }, both());
    host.carries = false;
    host.run(25.0);
    // Nothing was owed, so nothing was missed.
    assert_eq!(host.peer.state(), State::Established);
    assert!(host.peer.unsent(Direction::Outgoing).is_empty());
    // Where keepalives are agreed on they go out in time.
    let mut host = Host::up(config(), far_open(), both());
    for _ in 0..20 {
        host.run(2.0);
        host.far.say(message::encode_keepalive);
        host.settle();
    }
    assert_eq!((host.peer.state(), host.peer.counters.lost), (State::Established, 0));
}

/// A drain in every state of the session, with and without unsent bytes. Nothing is announced again.
#[test]
fn a_drain_in_any_state_announces_nothing_and_leaves_no_route() {
    type Case = (&'static str, fn(&mut Host));
    let cases: [Case; 7] = [
        ("idle", |host| {
            host.run(0.1);
            host.reset();
        }),
        ("refused", |host| {
            host.net = Net::Refuses;
            host.settle();
        }),
        ("connecting", |host| {
            host.net = Net::Silent;
            host.settle();
        }),
        ("open sent", |host| {
            host.far.mute = true;
            host.settle();
        }),
        ("open confirm", |host| {
            host.far.mute = true;
            host.settle();
            host.far.say(|out| far_open().encode(out));
            host.settle();
            assert_eq!(host.peer.state(), State::OpenConfirm);
        }),
        ("established", |host| host.run(0.1)),
        ("unsent", |host| {
            host.run(0.1);
            host.peer.announce(wanted(&["198.51.100.7/32"]), host.now);
            host.carries = false;
        }),
    ];
    for (name, until) in cases {
        let mut host = Host::new(config(), far_open());
        host.peer.announce(both(), 0.0);
        until(&mut host);
        let before = announced(&host);
        host.peer.drain(wanted(&[]), host.now);
        // Whatever is asked for afterwards.
        host.peer.announce(both(), host.now);
        (host.net, host.carries, host.far.mute) = (Net::Up, true, false);
        host.settle();
        assert_eq!((host.held(), announced(&host)), (0, before), "{name}");
        assert!(host.peer.all_withdrawn(host.now), "{name}");
        host.run(30.0);
        assert_eq!((host.held(), announced(&host)), (0, before), "{name}");
        host.peer.shut_down(CeaseSubcode::AdministrativeShutdown, "planned stop", host.now);
        host.settle();
        assert!(host.peer.is_finished(), "{name}: {:?}", host.peer.state());
        assert!(!host.arrives(), "{name}");
        if name == "established" {
            let told = notified(&host).unwrap();
            assert_eq!((told.subcode, told.shutdown_communication().unwrap().as_str()), (2, "planned stop"));
        }
    }
}

/// The peer keeps our routes over a lost session, and the drain begins while that is down.
#[test]
fn a_drain_with_the_session_down_clears_routes_that_the_peer_retains() {
    let ours = PeerConfig { restart_time: Some(120), ..config() };
    let theirs = Open {
        capabilities: Capabilities { graceful_restart: graceful(120), ..far_open().capabilities },
        ..far_open()
    };
    let mut host = Host::up(ours.clone(), theirs.clone(), both());
    host.reset();
    assert_eq!(host.held(), 2, "kept, as agreed");
    host.peer.drain(wanted(&[]), host.now);
    assert!(!host.peer.all_withdrawn(host.now));
    // It is not reached at first.
    host.net = Net::Refuses;
    host.run(0.4);
    assert!(!host.peer.all_withdrawn(host.now) && host.held() == 2);
    host.net = Net::Up;
    host.run(0.1);
    assert!(host.peer.all_withdrawn(host.now) && host.held() == 0, "{:?}", host.far.table);
    assert_eq!(announced(&host), 2);
    // A withdrawal that was written may be lost with its connection just as well.
    let mut host = Host::up(ours.clone(), theirs.clone(), both());
    host.peer.drain(wanted(&[]), host.now);
    let lost = host.peer.unsent(Direction::Outgoing).len();
    host.peer.written(Direction::Outgoing, lost, host.now);
    host.reset();
    assert!(host.held() == 2 && !host.peer.all_withdrawn(host.now));
    host.run(0.2);
    assert!(host.held() == 0 && host.peer.all_withdrawn(host.now));
    // Without a drain, the end of a healthy stop is a hard reset: nothing is kept.
    let mut host = Host::up(ours, theirs, both());
    host.peer.shut_down(CeaseSubcode::AdministrativeShutdown, "", host.now);
    host.settle();
    assert!(host.held() == 0 && notified(&host).unwrap().hard_reset && host.peer.is_finished());
}

/// A withdrawal is lost in a reset; what is out is compared with what is told anew.
#[test]
fn repeats_a_withdrawal_lost_in_a_reset_after_the_reconnect() {
    let ours = PeerConfig { restart_time: Some(120), ..config() };
    let theirs = Open {
        capabilities: Capabilities { graceful_restart: graceful(120), ..far_open().capabilities },
        ..far_open()
    };
    let mut host = Host::up(ours, theirs, both());
    host.peer.announce(wanted(&["2001:db8::7/128"]), host.now);
    let lost = host.peer.unsent(Direction::Outgoing).len();
    host.peer.written(Direction::Outgoing, lost, host.now);
    host.reset();
    assert!(host.has("198.51.100.7/32"));
    host.run(2.0);
    assert!(host.far.established && !host.has("198.51.100.7/32") && host.has("2001:db8::7/128"));
}

/// A route that the far end tells, with this path.
fn told(host: &mut Host, word: &str, path: &[u32], otc: Option<u32>) {
    let attributes = PathAttributes {
        as_path: vec![AsPathSegment::sequence(path.to_vec())],
        next_hop: Some("192.0.2.50".parse().unwrap()),
        only_to_customer: otc,
        ..PathAttributes::default()
    };
    let wire = UpdateContext { four_octet_as: true, internal: false };
    host.far.say(|out| update::announce(out, Family::Ipv4, &[net(word)], &attributes, wire));
    host.settle();
}

/// The peer restarts and says that it will be back.
#[test]
fn keeps_routes_of_a_restarting_peer_until_end_of_rib_or_the_restart_time() {
    let theirs = Open {
        capabilities: Capabilities { graceful_restart: graceful(20), ..far_open().capabilities },
        ..far_open()
    };
    let start = || {
        let mut host = Host::up(config(), theirs.clone(), both());
        told(&mut host, "198.51.100.7/32", &[THEIRS, OURS], None);
        assert_eq!(host.peer.adj_rib_in.len(), 1);
        host
    };
    let mut host = start();
    host.reset();
    assert!(host.peer.adj_rib_in.iter().all(|(_, seen)| seen.stale) && host.peer.adj_rib_in.len() == 1);
    host.run(2.0);
    assert!(host.far.established && host.peer.adj_rib_in.len() == 1);
    host.far.say(|out| update::end_of_rib(out, Family::Ipv4));
    host.settle();
    assert!(host.peer.adj_rib_in.is_empty());
    // It never comes back.
    let mut host = start();
    host.reset();
    host.net = Net::Refuses;
    host.run(19.0);
    assert_eq!(host.peer.adj_rib_in.len(), 1);
    host.run(2.0);
    assert!(host.peer.adj_rib_in.is_empty());
    // It comes back before we have heard of its end.
    let mut host = start();
    host.carries = false;
    host.on = None;
    host.far.ended(None);
    assert!(host.arrives());
    host.carries = true;
    host.settle();
    assert_eq!((host.peer.state(), host.held()), (State::Established, 2));
    // One that keeps nothing loses them at once.
    let mut host = Host::up(config(), far_open(), both());
    told(&mut host, "198.51.100.7/32", &[THEIRS, OURS], None);
    host.reset();
    assert!(host.peer.adj_rib_in.is_empty());
}

#[test]
fn does_not_learn_routes_that_loop_leak_or_begin_with_another_as() {
    let learns = |config: PeerConfig, path: &[u32], otc: Option<u32>| {
        let mut host = Host::up(config, far_open(), both());
        told(&mut host, "198.51.100.7/32", path, otc);
        assert_eq!(host.peer.state(), State::Established);
        host.peer.adj_rib_in.len()
    };
    assert_eq!(learns(config(), &[THEIRS, OURS], None), 1);
    assert_eq!(learns(config(), &[THEIRS, OURS, OURS], None), 0);
    assert_eq!(learns(PeerConfig { allowed_own_as: 0, ..config() }, &[THEIRS, OURS], None), 0);
    assert_eq!(learns(config(), &[7, THEIRS], None), 0);
    let role = |role| PeerConfig { role: Some(role), ..config() };
    assert_eq!(learns(role(Role::Provider), &[THEIRS], Some(THEIRS)), 0);
    assert_eq!(learns(role(Role::Peer), &[THEIRS, 9], Some(9)), 0);
    assert_eq!(learns(role(Role::Peer), &[THEIRS, 9], Some(THEIRS)), 1);
    assert_eq!(learns(role(Role::Customer), &[THEIRS, 9], Some(9)), 1);
}

#[test]
fn answers_a_route_refresh_with_all_routes_between_its_markers() {
    let mut host = Host::up(config(), far_open(), both());
    let before = announced(&host);
    // A hundred at once are one.
    host.far.say(|out| {
        (0..20).for_each(|_| message::encode_route_refresh(out, message::RouteRefresh::Request(Family::Ipv4)))
    });
    host.carries = false;
    let input = std::mem::take(&mut host.far.out);
    host.peer.receive(Direction::Outgoing, &input, host.now);
    let out = host.peer.unsent(Direction::Outgoing).to_vec();
    let mut kinds = Vec::new();
    let mut at = 0;
    while let Some(found) = frame(&out[at..]).unwrap() {
        kinds.push((found.message_type, found.body[2]));
        at += found.length();
    }
    assert_eq!(
        kinds,
        [(MessageType::RouteRefresh, 1), (MessageType::Update, 0), (MessageType::RouteRefresh, 2)]
    );
    host.carries = true;
    host.settle();
    assert_eq!(announced(&host), before + 1);
}

/// A peer that reads nothing costs a bounded buffer, and is given up (RFC 9687).
#[test]
fn output_for_a_peer_that_reads_nothing_is_bounded_and_the_session_ends() {
    let mut host = Host::up(config(), Open { hold_time: 0, ..far_open() }, both());
    host.carries = false;
    let mut most = 0;
    for at in 0..10_000 {
        let words: &[&str] = if at % 2 == 0 { &["2001:db8::7/128"] } else { &["198.51.100.7/32"] };
        host.peer.announce(wanted(words), host.now);
        most = most.max(host.peer.unsent(Direction::Outgoing).len());
    }
    assert!(most < 10_000, "{most}");
    host.carries = true;
    host.settle();
    assert!(host.has("198.51.100.7/32") && !host.has("2001:db8::7/128"));
    host.carries = false;
    host.peer.announce(both(), host.now);
    host.run(31.0);
    assert!(host.peer.counters.lost == 1, "{:?}", host.peer.state());
}

#[test]
fn reports_the_state_in_which_an_unexpected_message_arrived() {
    let mut host = Host::up(config(), far_open(), both());
    host.far.say(|out| far_open().encode(out));
    host.settle();
    let (told, error) = (notified(&host).unwrap(), ErrorKind::Fsm(FsmError::Established));
    assert_eq!((told.code, told.subcode), (error.code(), error.subcode()));
    let mut host = Host::new(config(), far_open());
    host.far.mute = true;
    host.settle();
    host.far.say(message::encode_keepalive);
    host.settle();
    let (told, error) = (notified(&host).unwrap(), ErrorKind::Fsm(FsmError::OpenSent));
    assert_eq!((told.code, told.subcode), (error.code(), error.subcode()));
}

#[test]
fn sends_as_path_local_pref_and_only_to_customer_as_the_session_requires() {
    let path = Advertisement { med: Some(5), prepend: 1, local_pref: Some(10), ..Advertisement::default() };
    let with = |config: PeerConfig, open: Open| {
        let mut announced = both();
        announced.insert(net("198.51.100.7/32"), path.clone());
        let host = Host::up(config, open, announced);
        host.far.table[&net("198.51.100.7/32")].0.clone()
    };
    let outside = with(PeerConfig { role: Some(Role::Provider), ..config() }, far_open());
    assert_eq!((outside.path_length(), outside.only_to_customer), (2, Some(OURS)));
    assert_eq!((outside.first_as(), outside.local_pref), (Some(OURS), None));
    let mut open = far_open();
    (open.asn, open.capabilities.four_octet_as) = (OURS, Some(OURS));
    let inside = with(PeerConfig { peer_as: OURS, ..config() }, open);
    assert_eq!((inside.path_length(), inside.local_pref), (0, Some(10)));
    // A family that the peer does not speak is not told.
    let mut open = far_open();
    open.capabilities.families = [true, false];
    assert_eq!(Host::up(config(), open, both()).held(), 1);
}

/// A drain with a lead shows GRACEFUL_SHUTDOWN on what is out, and only on the session that has it out.
#[test]
fn a_drain_lead_changes_announced_routes_only_and_ends_with_the_session() {
    let leaving = Advertisement { communities: vec![GRACEFUL_SHUTDOWN], ..Advertisement::default() };
    let lead = || both().into_keys().map(|net| (net, leaving.clone())).collect();
    let mut host = Host::up(config(), far_open(), wanted(&["198.51.100.7/32"]));
    host.peer.drain(lead(), host.now);
    host.settle();
    assert_eq!((host.held(), announced(&host)), (1, 2));
    assert_eq!(host.far.table[&net("198.51.100.7/32")].0.communities, [GRACEFUL_SHUTDOWN]);
    let mut flapped = host.clone();
    host.peer.drain(wanted(&[]), host.now);
    host.settle();
    assert!(host.held() == 0 && host.peer.all_withdrawn(host.now));
    // The session is lost within the lead, and the far end connects anew.
    flapped.reset();
    flapped.arrives();
    flapped.run(5.0);
    assert_eq!((flapped.held(), announced(&flapped)), (0, 2));
    // With no session, a lead announces nothing.
    let mut down = Host::new(config(), far_open());
    down.peer.announce(both(), 0.0);
    down.peer.drain(lead(), 0.0);
    down.run(5.0);
    assert_eq!(announced(&down), 0);
}

#[test]
fn reconfigures_service_prefixes_without_a_new_session_and_requests_a_refresh() {
    let mut host = Host::up(config(), far_open(), both());
    told(&mut host, "198.51.100.7/32", &[THEIRS, OURS], None);
    told(&mut host, "198.51.100.8/32", &[THEIRS, OURS], None);
    assert_eq!(host.peer.adj_rib_in.len(), 1, "the second is no address of ours yet");
    let services = vec![net("198.51.100.8/32"), net("2001:db8::7/128")];
    assert!(host.peer.reconfigure(&PeerConfig { service_prefixes: services, ..config() }));
    assert!(host.peer.adj_rib_in.is_empty());
    // It is asked for both families again.
    let asked = host.peer.unsent(Direction::Outgoing).to_vec();
    let kinds: Vec<u8> = asked.chunks(23).map(|message| message[18]).collect();
    assert_eq!(kinds, [MessageType::RouteRefresh as u8; 2]);
    host.settle();
    told(&mut host, "198.51.100.8/32", &[THEIRS, OURS], None);
    assert_eq!((host.peer.adj_rib_in.len(), host.peer.counters.lost), (1, 0));
    // Anything else is another session.
    assert!(!host.peer.reconfigure(&PeerConfig { hold_time: 30, ..config() }));
}

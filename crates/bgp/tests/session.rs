//! Tests of one session between the real state machine and the far end of the test bed: one test for each failure or
//! feature.

mod host;

use cleatgw_bgp::error::FsmError;
use cleatgw_bgp::message::{self, frame};
use cleatgw_bgp::update::{self, AsPathSegment, UpdateContext};
use cleatgw_bgp::*;
use cleatgw_testbed::routers::bgp_peer::Saw;
use host::*;

/// The number of announcements that the far end received.
fn announcement_count(host: &Host) -> usize {
    host.far.saw.iter().filter(|saw| matches!(saw, Saw::Announced(..))).count()
}

/// The last NOTIFICATION that the far end received.
fn last_notification(host: &Host) -> Option<Notification> {
    host.far.saw.iter().rev().find_map(|saw| match saw {
        Saw::Ended(notification) => notification.clone(),
        _ => None,
    })
}

#[test]
fn announces_changes_and_withdraws_prefixes_of_both_families() {
    let mut host = Host::with_session(config(), far_open(), both_prefixes());
    assert!(host.far_has_route("198.51.100.7/32") && host.far_has_route("2001:db8::7/128"));
    let less_preferred = Advertisement {
        med: Some(200),
        prepend: 2,
        communities: vec![GRACEFUL_SHUTDOWN],
        ..Advertisement::default()
    };
    let mut changed = both_prefixes();
    changed.insert(net("198.51.100.7/32"), less_preferred);
    host.peer.announce(changed, host.now);
    host.settle();
    let route = host.far.table[&net("198.51.100.7/32")].0.clone();
    assert_eq!((route.med, route.path_length(), route.communities), (Some(200), 3, vec![GRACEFUL_SHUTDOWN]));
    // The other prefix was not announced again.
    assert_eq!(announcement_count(&host), 3);
    host.peer.announce(default_advertisements(&["2001:db8::7/128"]), host.now);
    host.settle();
    assert!(!host.far_has_route("198.51.100.7/32") && host.far_has_route("2001:db8::7/128"));
}

/// The session is lost in five ways in turn. All routes must be announced again after each loss.
#[test]
fn restores_all_routes_after_each_flap_with_a_growing_idle_hold_time() {
    let mut host = Host::with_session(config(), far_open(), both_prefixes());
    let mut waits = Vec::new();
    for round in 0..20 {
        match round % 5 {
            0 => host.reset_connection(),
            1 => {
                host.far.say(|out| {
                    Notification::cease(CeaseSubcode::AdministrativeShutdown, "flap", false).encode(out)
                });
                host.settle();
            }
            // An invalid message.
            2 => host.far.say(|out| out.extend([0xff; 25])),
            // An incomplete message, then a reset.
            3 => {
                host.far.say(|out| out.extend([0xff; 10]));
                host.settle();
                host.reset_connection();
            }
            // The hold timer expires.
            _ => host.delivers_bytes = false,
        }
        let disturbed_at = host.now;
        while host.far.established && host.peer.state() == State::Established {
            host.run(0.1);
            assert!(
                host.now < disturbed_at + 20.0,
                "round {round}: the session is still established after 20 s"
            );
        }
        // Nothing is delivered in the rounds that wait for the hold timer, so the far end still holds the routes then.
        assert!(host.far_route_count() == 0 || round % 5 == 4, "round {round}: {:?}", host.far.table);
        host.reset_connection();
        host.delivers_bytes = true;
        let lost_at = host.now;
        while !host.far.established {
            host.run(0.05);
            assert!(host.now < lost_at + 20.0, "round {round}: {:?}", host.peer.last_error);
        }
        host.run(0.05);
        assert_eq!(host.far_route_count(), 2, "round {round}");
        waits.push(host.now - lost_at);
    }
    // IdleHoldTime grows from 1 s to 16 s, of which jitter takes up to a quarter.
    assert!(waits[0] < 1.2 && waits[19] > 10.0, "{waits:?}");
    // After a stable session, IdleHoldTime starts from its initial value again.
    host.run(40.0);
    host.reset_connection();
    let lost_at = host.now;
    while !host.far.established {
        host.run(0.05);
    }
    assert!(host.now - lost_at < 1.2);
}

#[test]
fn retries_connections_that_are_refused_time_out_or_send_no_open() {
    // A refused attempt is repeated after the connect retry time of 8 s, a silent one after the connect timeout of 5 s
    // and those 8 s.
    for (network, retry_time) in [(Network::Refuses, 8.1), (Network::Silent, 13.1)] {
        let mut host = Host::new(config(), far_open());
        host.network = network;
        host.peer.announce(both_prefixes(), 0.0);
        host.run(0.5);
        assert!(matches!(host.peer.state(), State::Active | State::Connect));
        host.network = Network::Up;
        host.run(retry_time);
        assert_eq!(host.far_route_count(), 2, "{network:?}");
    }
    // The peer's OPEN never arrives: the open timeout is 20 s.
    let mut host = Host::new(config(), far_open());
    host.far.mute = true;
    host.peer.announce(both_prefixes(), 0.0);
    host.run(19.0);
    assert_eq!(host.peer.state(), State::OpenSent);
    host.run(1.5);
    assert_eq!(last_notification(&host).unwrap().code, ErrorKind::HoldTimerExpired.code());
    host.far.mute = false;
    host.run(2.0);
    assert_eq!(host.far_route_count(), 2);
}

/// Both sides open a connection at the same time. RFC 4271 section 6.8 keeps exactly one of them, which depends on the
/// BGP identifiers.
#[test]
fn resolves_a_collision_in_favour_of_the_higher_identifier() {
    for (far_id, kept) in [("192.0.2.99", Direction::Incoming), ("192.0.1.1", Direction::Outgoing)] {
        let mut peer = Peer::new(config(), 1, 0.0);
        peer.announce(both_prefixes(), 0.0);
        peer.run_timers(0.0);
        assert_eq!(peer.next_action(), Some(Action::Connect));
        assert!(peer.connected(Direction::Outgoing, 0.0) && peer.connected(Direction::Incoming, 0.0));
        let mut open = Vec::new();
        Open { identifier: far_id.parse().unwrap(), ..far_open() }.encode(&mut open);
        peer.receive(Direction::Outgoing, &open, 0.1);
        assert_eq!(peer.state(), State::OpenConfirm);
        peer.receive(Direction::Incoming, &open, 0.1);
        let ended = if kept == Direction::Outgoing { Direction::Incoming } else { Direction::Outgoing };
        // The ended connection gets a NOTIFICATION, and is closed once that is written.
        let output = peer.unsent(ended).to_vec();
        let mut kinds = Vec::new();
        let mut offset = 0;
        while let Some(message) = frame(&output[offset..]).unwrap() {
            kinds.push((message.message_type, message.body.get(1).copied()));
            offset += message.length();
        }
        assert_eq!(
            kinds.last().unwrap(),
            &(MessageType::Notification, Some(CeaseSubcode::ConnectionCollisionResolution as u8))
        );
        peer.written(ended, output.len(), 0.2);
        assert_eq!(peer.next_action(), Some(Action::Close(ended)));
        let mut keepalive = Vec::new();
        message::encode_keepalive(&mut keepalive);
        peer.receive(kept, &keepalive, 0.3);
        assert_eq!((peer.state(), peer.adj_rib_out().count()), (State::Established, 2));
        // While the session is established, an incoming connection is ended after its OPEN. An outgoing one was not
        // requested, so it is refused.
        assert!(peer.connected(ended, 0.4) == (ended == Direction::Incoming));
        if ended == Direction::Incoming {
            peer.receive(ended, &open, 0.5);
            assert_eq!((peer.state(), peer.adj_rib_out().count()), (State::Established, 2));
            assert!(!peer.unsent(ended).is_empty());
        }
    }
}

#[test]
fn announces_nothing_to_a_peer_whose_open_is_unacceptable() {
    // The code and subcode of the NOTIFICATION with which the changed configuration and OPEN are rejected.
    let rejection = |change: &dyn Fn(&mut PeerConfig, &mut Open)| {
        let (mut config, mut open) = (config(), far_open());
        change(&mut config, &mut open);
        let mut host = Host::new(config, open);
        host.peer.announce(both_prefixes(), 0.0);
        host.run(0.2);
        assert_eq!((host.far_route_count(), announcement_count(&host)), (0, 0));
        last_notification(&host).map(|notification| (notification.code, notification.subcode))
    };
    assert_eq!(
        rejection(&|_, open| (open.asn, open.capabilities.four_octet_as) = (7, Some(7))),
        Some((2, 2))
    );
    assert_eq!(
        rejection(&|config, _| config.peer_identifier = Some("192.0.2.98".parse().unwrap())),
        Some((2, 3))
    );
    assert_eq!(rejection(&|_, open| open.hold_time = 2), Some((2, 6)));
    assert_eq!(
        rejection(
            &|config, open| (config.families, open.capabilities.families) = ([false, true], [true, false])
        ),
        Some((2, 7))
    );
    let set_customer_role = |config: &mut PeerConfig| config.role = Some(Role::Customer);
    assert_eq!(
        rejection(&|config, open| {
            set_customer_role(config);
            open.capabilities.role = Some(Role::Customer);
        }),
        Some((2, 11))
    );
    assert_eq!(
        rejection(&|config, _| {
            set_customer_role(config);
            config.strict_role = true;
        }),
        Some((2, 11))
    );
    // In iBGP sessions the BGP identifiers must differ.
    let same_identifier = |config: &mut PeerConfig, open: &mut Open| {
        (config.peer_as, open.asn, open.capabilities.four_octet_as) = (LOCAL_AS, LOCAL_AS, Some(LOCAL_AS));
        open.identifier = config.identifier;
    };
    assert_eq!(rejection(&same_identifier), Some((2, 3)));
}

#[test]
fn a_hold_time_of_zero_sends_no_keepalives_and_never_expires() {
    let mut host = Host::with_session(config(), Open { hold_time: 0, ..far_open() }, both_prefixes());
    host.delivers_bytes = false;
    host.run(25.0);
    // With a hold time of 0 no KEEPALIVE is due, and the hold timer does not run.
    assert_eq!(host.peer.state(), State::Established);
    assert!(host.peer.unsent(Direction::Outgoing).is_empty());
    // With a hold time, KEEPALIVEs are sent in time.
    let mut host = Host::with_session(config(), far_open(), both_prefixes());
    for _ in 0..20 {
        host.run(2.0);
        host.far.say(message::encode_keepalive);
        host.settle();
    }
    assert_eq!((host.peer.state(), host.peer.counters.lost), (State::Established, 0));
}

/// A drain in every state of the session, with and without unsent bytes, must not announce anything again.
#[test]
fn a_drain_in_any_state_announces_nothing_and_leaves_no_route() {
    type Case = (&'static str, fn(&mut Host));
    let cases: [Case; 7] = [
        ("idle", |host| {
            host.run(0.1);
            host.reset_connection();
        }),
        ("refused", |host| {
            host.network = Network::Refuses;
            host.settle();
        }),
        ("connecting", |host| {
            host.network = Network::Silent;
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
        ("unsent bytes", |host| {
            host.run(0.1);
            host.peer.announce(default_advertisements(&["198.51.100.7/32"]), host.now);
            host.delivers_bytes = false;
        }),
    ];
    for (name, reach_state) in cases {
        let mut host = Host::new(config(), far_open());
        host.peer.announce(both_prefixes(), 0.0);
        reach_state(&mut host);
        let before = announcement_count(&host);
        host.peer.drain(default_advertisements(&[]), host.now);
        // A later request to announce routes has no effect.
        host.peer.announce(both_prefixes(), host.now);
        (host.network, host.delivers_bytes, host.far.mute) = (Network::Up, true, false);
        host.settle();
        assert_eq!((host.far_route_count(), announcement_count(&host)), (0, before), "{name}");
        assert!(host.peer.all_withdrawn(host.now), "{name}");
        host.run(30.0);
        assert_eq!((host.far_route_count(), announcement_count(&host)), (0, before), "{name}");
        host.peer.shut_down(CeaseSubcode::AdministrativeShutdown, "planned stop", host.now);
        host.settle();
        assert!(host.peer.is_finished(), "{name}: {:?}", host.peer.state());
        assert!(!host.connect_from_far(), "{name}");
        if name == "established" {
            let notification = last_notification(&host).unwrap();
            assert_eq!(
                (notification.subcode, notification.shutdown_communication().unwrap().as_str()),
                (2, "planned stop")
            );
        }
    }
}

/// The peer retains our routes after the session is lost, and the drain begins before a new session is established.
#[test]
fn a_drain_with_the_session_down_clears_routes_that_the_peer_retains() {
    let config_with_restart = PeerConfig { restart_time: Some(120), ..config() };
    let open_with_restart = Open {
        capabilities: Capabilities { graceful_restart: graceful_restart(120), ..far_open().capabilities },
        ..far_open()
    };
    let mut host =
        Host::with_session(config_with_restart.clone(), open_with_restart.clone(), both_prefixes());
    host.reset_connection();
    assert_eq!(host.far_route_count(), 2, "the peer retains the routes, as negotiated");
    host.peer.drain(default_advertisements(&[]), host.now);
    assert!(!host.peer.all_withdrawn(host.now));
    // The peer can't be reached at first.
    host.network = Network::Refuses;
    host.run(0.4);
    assert!(!host.peer.all_withdrawn(host.now) && host.far_route_count() == 2);
    host.network = Network::Up;
    host.run(0.1);
    assert!(host.peer.all_withdrawn(host.now) && host.far_route_count() == 0, "{:?}", host.far.table);
    assert_eq!(announcement_count(&host), 2);
    // A withdrawal that was written is lost with its connection, so the peer still retains the routes.
    let mut host =
        Host::with_session(config_with_restart.clone(), open_with_restart.clone(), both_prefixes());
    host.peer.drain(default_advertisements(&[]), host.now);
    let lost = host.peer.unsent(Direction::Outgoing).len();
    host.peer.written(Direction::Outgoing, lost, host.now);
    host.reset_connection();
    assert!(host.far_route_count() == 2 && !host.peer.all_withdrawn(host.now));
    host.run(0.2);
    assert!(host.far_route_count() == 0 && host.peer.all_withdrawn(host.now));
    // A shutdown without a preceding drain sends a hard reset: the peer retains no routes.
    let mut host = Host::with_session(config_with_restart, open_with_restart, both_prefixes());
    host.peer.shut_down(CeaseSubcode::AdministrativeShutdown, "", host.now);
    host.settle();
    assert!(
        host.far_route_count() == 0
            && last_notification(&host).unwrap().hard_reset
            && host.peer.is_finished()
    );
}

/// A withdrawal is lost when the connection is reset. On the new connection all routes are announced again, so the far
/// end removes the retained route that is not among them.
#[test]
fn repeats_a_withdrawal_lost_in_a_reset_after_the_reconnect() {
    let config_with_restart = PeerConfig { restart_time: Some(120), ..config() };
    let open_with_restart = Open {
        capabilities: Capabilities { graceful_restart: graceful_restart(120), ..far_open().capabilities },
        ..far_open()
    };
    let mut host = Host::with_session(config_with_restart, open_with_restart, both_prefixes());
    host.peer.announce(default_advertisements(&["2001:db8::7/128"]), host.now);
    let lost = host.peer.unsent(Direction::Outgoing).len();
    host.peer.written(Direction::Outgoing, lost, host.now);
    host.reset_connection();
    assert!(host.far_has_route("198.51.100.7/32"));
    host.run(2.0);
    assert!(
        host.far.established
            && !host.far_has_route("198.51.100.7/32")
            && host.far_has_route("2001:db8::7/128")
    );
}

/// Lets the far end announce a route with this AS_PATH and ONLY_TO_CUSTOMER attribute.
fn announce_from_far(host: &mut Host, prefix: &str, path: &[u32], only_to_customer: Option<u32>) {
    let attributes = PathAttributes {
        as_path: vec![AsPathSegment::sequence(path.to_vec())],
        next_hop: Some("192.0.2.50".parse().unwrap()),
        only_to_customer,
        ..PathAttributes::default()
    };
    let context = UpdateContext { four_octet_as: true, internal: false };
    host.far.say(|out| update::announce(out, Family::Ipv4, &[net(prefix)], &attributes, context));
    host.settle();
}

/// Routes of a peer that supports Graceful Restart are retained after the session is lost.
#[test]
fn keeps_routes_of_a_restarting_peer_until_end_of_rib_or_the_restart_time() {
    let open_with_restart = Open {
        capabilities: Capabilities { graceful_restart: graceful_restart(20), ..far_open().capabilities },
        ..far_open()
    };
    let host_with_learned_route = || {
        let mut host = Host::with_session(config(), open_with_restart.clone(), both_prefixes());
        announce_from_far(&mut host, "198.51.100.7/32", &[FAR_AS, LOCAL_AS], None);
        assert_eq!(host.peer.adj_rib_in.len(), 1);
        host
    };
    let mut host = host_with_learned_route();
    host.reset_connection();
    assert!(host.peer.adj_rib_in.iter().all(|(_, route)| route.stale) && host.peer.adj_rib_in.len() == 1);
    host.run(2.0);
    assert!(host.far.established && host.peer.adj_rib_in.len() == 1);
    host.far.say(|out| update::end_of_rib(out, Family::Ipv4));
    host.settle();
    assert!(host.peer.adj_rib_in.is_empty());
    // The peer does not return.
    let mut host = host_with_learned_route();
    host.reset_connection();
    host.network = Network::Refuses;
    host.run(19.0);
    assert_eq!(host.peer.adj_rib_in.len(), 1);
    host.run(2.0);
    assert!(host.peer.adj_rib_in.is_empty());
    // The peer connects again before we notice that the old connection was lost.
    let mut host = host_with_learned_route();
    host.delivers_bytes = false;
    host.far_connection = None;
    host.far.ended(None);
    assert!(host.connect_from_far());
    host.delivers_bytes = true;
    host.settle();
    assert_eq!((host.peer.state(), host.far_route_count()), (State::Established, 2));
    // Without Graceful Restart the routes are removed at once.
    let mut host = Host::with_session(config(), far_open(), both_prefixes());
    announce_from_far(&mut host, "198.51.100.7/32", &[FAR_AS, LOCAL_AS], None);
    host.reset_connection();
    assert!(host.peer.adj_rib_in.is_empty());
}

#[test]
fn does_not_learn_routes_that_loop_leak_or_begin_with_another_as() {
    let learned_count = |config: PeerConfig, path: &[u32], only_to_customer: Option<u32>| {
        let mut host = Host::with_session(config, far_open(), both_prefixes());
        announce_from_far(&mut host, "198.51.100.7/32", path, only_to_customer);
        assert_eq!(host.peer.state(), State::Established);
        host.peer.adj_rib_in.len()
    };
    assert_eq!(learned_count(config(), &[FAR_AS, LOCAL_AS], None), 1);
    assert_eq!(learned_count(config(), &[FAR_AS, LOCAL_AS, LOCAL_AS], None), 0);
    assert_eq!(learned_count(PeerConfig { allowed_own_as: 0, ..config() }, &[FAR_AS, LOCAL_AS], None), 0);
    assert_eq!(learned_count(config(), &[7, FAR_AS], None), 0);
    let config_with_role = |role| PeerConfig { role: Some(role), ..config() };
    assert_eq!(learned_count(config_with_role(Role::Provider), &[FAR_AS], Some(FAR_AS)), 0);
    assert_eq!(learned_count(config_with_role(Role::Peer), &[FAR_AS, 9], Some(9)), 0);
    assert_eq!(learned_count(config_with_role(Role::Peer), &[FAR_AS, 9], Some(FAR_AS)), 1);
    assert_eq!(learned_count(config_with_role(Role::Customer), &[FAR_AS, 9], Some(9)), 1);
}

#[test]
fn answers_a_route_refresh_with_all_routes_between_its_markers() {
    let mut host = Host::with_session(config(), far_open(), both_prefixes());
    let before = announcement_count(&host);
    // Twenty requests at once are answered once.
    host.far.say(|out| {
        (0..20).for_each(|_| message::encode_route_refresh(out, message::RouteRefresh::Request(Family::Ipv4)))
    });
    host.delivers_bytes = false;
    let input = std::mem::take(&mut host.far.out);
    host.peer.receive(Direction::Outgoing, &input, host.now);
    let output = host.peer.unsent(Direction::Outgoing).to_vec();
    let mut kinds = Vec::new();
    let mut offset = 0;
    while let Some(message) = frame(&output[offset..]).unwrap() {
        kinds.push((message.message_type, message.body[2]));
        offset += message.length();
    }
    assert_eq!(
        kinds,
        [(MessageType::RouteRefresh, 1), (MessageType::Update, 0), (MessageType::RouteRefresh, 2)]
    );
    host.delivers_bytes = true;
    host.settle();
    assert_eq!(announcement_count(&host), before + 1);
}

/// The buffer for a peer that reads nothing is bounded, and the send hold timer ends the session (RFC 9687).
#[test]
fn output_for_a_peer_that_reads_nothing_is_bounded_and_the_session_ends() {
    let mut host = Host::with_session(config(), Open { hold_time: 0, ..far_open() }, both_prefixes());
    host.delivers_bytes = false;
    let mut max_unsent = 0;
    for index in 0..10_000 {
        let prefixes: &[&str] = if index % 2 == 0 { &["2001:db8::7/128"] } else { &["198.51.100.7/32"] };
        host.peer.announce(default_advertisements(prefixes), host.now);
        max_unsent = max_unsent.max(host.peer.unsent(Direction::Outgoing).len());
    }
    assert!(max_unsent < 10_000, "{max_unsent}");
    host.delivers_bytes = true;
    host.settle();
    assert!(host.far_has_route("198.51.100.7/32") && !host.far_has_route("2001:db8::7/128"));
    host.delivers_bytes = false;
    host.peer.announce(both_prefixes(), host.now);
    host.run(31.0);
    assert!(host.peer.counters.lost == 1, "{:?}", host.peer.state());
}

#[test]
fn reports_the_state_in_which_an_unexpected_message_arrived() {
    let mut host = Host::with_session(config(), far_open(), both_prefixes());
    host.far.say(|out| far_open().encode(out));
    host.settle();
    let (notification, error) = (last_notification(&host).unwrap(), ErrorKind::Fsm(FsmError::Established));
    assert_eq!((notification.code, notification.subcode), (error.code(), error.subcode()));
    let mut host = Host::new(config(), far_open());
    host.far.mute = true;
    host.settle();
    host.far.say(message::encode_keepalive);
    host.settle();
    let (notification, error) = (last_notification(&host).unwrap(), ErrorKind::Fsm(FsmError::OpenSent));
    assert_eq!((notification.code, notification.subcode), (error.code(), error.subcode()));
}

#[test]
fn sends_as_path_local_pref_and_only_to_customer_as_the_session_requires() {
    let advertisement =
        Advertisement { med: Some(5), prepend: 1, local_pref: Some(10), ..Advertisement::default() };
    let announced_attributes = |config: PeerConfig, open: Open| {
        let mut announced = both_prefixes();
        announced.insert(net("198.51.100.7/32"), advertisement.clone());
        let host = Host::with_session(config, open, announced);
        host.far.table[&net("198.51.100.7/32")].0.clone()
    };
    let external = announced_attributes(PeerConfig { role: Some(Role::Provider), ..config() }, far_open());
    assert_eq!((external.path_length(), external.only_to_customer), (2, Some(LOCAL_AS)));
    assert_eq!((external.first_as(), external.local_pref), (Some(LOCAL_AS), None));
    let mut open = far_open();
    (open.asn, open.capabilities.four_octet_as) = (LOCAL_AS, Some(LOCAL_AS));
    let internal = announced_attributes(PeerConfig { peer_as: LOCAL_AS, ..config() }, open);
    assert_eq!((internal.path_length(), internal.local_pref), (0, Some(10)));
    // Routes of a family that the peer does not support are not announced.
    let mut open = far_open();
    open.capabilities.families = [true, false];
    assert_eq!(Host::with_session(config(), open, both_prefixes()).far_route_count(), 1);
}

/// A drain with last advertisements adds GRACEFUL_SHUTDOWN to announced routes, only on the session on which they are
/// announced.
#[test]
fn last_advertisements_of_a_drain_change_announced_routes_only_and_end_with_the_session() {
    let leaving = Advertisement { communities: vec![GRACEFUL_SHUTDOWN], ..Advertisement::default() };
    let last_advertisements = || both_prefixes().into_keys().map(|net| (net, leaving.clone())).collect();
    let mut host = Host::with_session(config(), far_open(), default_advertisements(&["198.51.100.7/32"]));
    host.peer.drain(last_advertisements(), host.now);
    host.settle();
    assert_eq!((host.far_route_count(), announcement_count(&host)), (1, 2));
    assert_eq!(host.far.table[&net("198.51.100.7/32")].0.communities, [GRACEFUL_SHUTDOWN]);
    let mut reconnected = host.clone();
    host.peer.drain(default_advertisements(&[]), host.now);
    host.settle();
    assert!(host.far_route_count() == 0 && host.peer.all_withdrawn(host.now));
    // The session is lost before the routes are withdrawn, and the far end connects again.
    reconnected.reset_connection();
    reconnected.connect_from_far();
    reconnected.run(5.0);
    assert_eq!((reconnected.far_route_count(), announcement_count(&reconnected)), (0, 2));
    // Without a session, the last advertisements are not announced.
    let mut unconnected = Host::new(config(), far_open());
    unconnected.peer.announce(both_prefixes(), 0.0);
    unconnected.peer.drain(last_advertisements(), 0.0);
    unconnected.run(5.0);
    assert_eq!(announcement_count(&unconnected), 0);
}

#[test]
fn reconfigures_service_prefixes_without_a_new_session_and_requests_a_refresh() {
    let mut host = Host::with_session(config(), far_open(), both_prefixes());
    announce_from_far(&mut host, "198.51.100.7/32", &[FAR_AS, LOCAL_AS], None);
    announce_from_far(&mut host, "198.51.100.8/32", &[FAR_AS, LOCAL_AS], None);
    assert_eq!(host.peer.adj_rib_in.len(), 1, "the second prefix is not a service prefix yet");
    let services = vec![net("198.51.100.8/32"), net("2001:db8::7/128")];
    assert!(host.peer.reconfigure(&PeerConfig { service_prefixes: services, ..config() }));
    assert!(host.peer.adj_rib_in.is_empty());
    // The routes of both families are requested again.
    let requests = host.peer.unsent(Direction::Outgoing).to_vec();
    let kinds: Vec<u8> = requests.chunks(23).map(|message| message[18]).collect();
    assert_eq!(kinds, [MessageType::RouteRefresh as u8; 2]);
    host.settle();
    announce_from_far(&mut host, "198.51.100.8/32", &[FAR_AS, LOCAL_AS], None);
    assert_eq!((host.peer.adj_rib_in.len(), host.peer.counters.lost), (1, 0));
    // Any other change needs a new session.
    assert!(!host.peer.reconfigure(&PeerConfig { hold_time: 30, ..config() }));
}

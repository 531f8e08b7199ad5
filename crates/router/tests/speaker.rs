//! Runs the router program between simulated engines, clients and BGP peers, and checks that it announces and
//! withdraws its service addresses as its state changes, without a loss of requests.

use cleatgw_bgp::{CeaseSubcode, MessageType, Notification, GRACEFUL_SHUTDOWN};
use cleatgw_testbed::routers::bgp_peer::Saw;
use cleatgw_testbed::routers::routing_peer::*;
use cleatgw_testbed::stand_ins::*;
use rustix::process::Signal;
use std::path::PathBuf;
use std::process::Command;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_cleatgw");
/// How many service files this process has written; it numbers their names.
static FILES: AtomicU32 = AtomicU32::new(0);

/// One engine, a discovery service that lists it, and a router with a service file. The file is removed on drop.
struct Fixture {
    engine: Engine,
    discovery: Discovery,
    router: Router,
    file: PathBuf,
}

impl Fixture {
    fn new(text: &str) -> Fixture {
        Fixture::with(text, &[])
    }

    /// Starts the router with `text` as its service file and with additional arguments.
    fn with(text: &str, more_arguments: &[&str]) -> Fixture {
        let number = FILES.fetch_add(1, Ordering::Relaxed);
        let file = std::env::temp_dir().join(format!("cleatgw-service-{}-{number}.json", std::process::id()));
        std::fs::write(&file, text).unwrap();
        let engine = Engine::start("e");
        let discovery = Discovery::start();
        discovery.tell(true, &[engine.entry("ready")]);
        let arguments = [&["--service", file.to_str().unwrap()][..], more_arguments].concat();
        let router = Router::with(PROGRAM, &discovery, 256, &arguments);
        Fixture { engine, discovery, router, file }
    }

    /// Replaces the service file by `text` and tells the router to reload it.
    fn reload(&self, text: &str) {
        std::fs::write(&self.file, text).unwrap();
        self.router.signal(Signal::HUP);
    }

    /// Requires that a request of a new client is answered with its row.
    fn assert_serves(&self) {
        let answer = Client::new(&self.router).ask(&request("look", 5000, "x"));
        assert_eq!(answer, Answered::Rows(vec!["0,one,two".to_string()]));
    }
}

impl Drop for Fixture {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.file);
    }
}

/// The identifier of the router in the service file, 192.0.2.1, which marks the paths it announces.
const ROUTER_IDENTIFIER: u32 = 0xc0000201;

/// Whether the peer has a route to the service address.
fn has_route(peering: &Peering) -> bool {
    peering.table().iter().any(|(net, _)| *net == service())
}

/// How many announcements the peer has received. After the start of the router an address is announced twice: first at
/// the depreferred level (`Level::Depreferred`), then at its normal level (`Level::Announced`).
fn announcements(peering: &Peering) -> usize {
    peering.noted().iter().filter(|(_, event)| matches!(event, Saw::Announced(..))).count()
}

/// The last NOTIFICATION that ended a session of the peer, if there was one.
fn last_notification(peering: &Peering) -> Option<Notification> {
    peering.noted().into_iter().rev().find_map(|(_, event)| match event {
        Saw::Ended(notification) => notification,
        _ => None,
    })
}

/// The rows of `SHOW ANNOUNCEMENTS`, one a line.
fn show_announcements(fixture: &Fixture) -> String {
    match Client::new(&fixture.router).ask("SHOW ANNOUNCEMENTS") {
        Answered::Rows(rows) => rows.join("\n"),
        other => panic!("{other:?}"),
    }
}

#[test]
fn an_address_is_announced_shown_and_withdrawn_by_a_planned_stop_with_its_requests_answered() {
    let peering = Peering::start(open(false));
    let mut fixture = Fixture::new(&service_file(&[&peering], ""));
    peering.wait("announced at its normal level", |peering| announcements(peering) == 2);
    assert_eq!(peering.table()[0].1.large_communities, [mark(ROUTER_IDENTIFIER, true)]);
    fixture.assert_serves();
    let shown = show_announcements(&fixture);
    assert!(shown.contains("address 198.51.100.7/32,announced,well, for"), "{shown}");
    assert!(shown.contains("Established,out 1 [198.51.100.7/32], seen 0, sessions 1 lost 0"), "{shown}");
    let status =
        Command::new(PROGRAM).args(["status", &fixture.router.address.to_string()]).output().unwrap();
    assert!(String::from_utf8(status.stdout).unwrap().contains("announced  well, for"));
    let mut long_request = Client::new(&fixture.router);
    long_request.send(&request("load", 20000, "hold"));
    fixture.engine.seen.wait("GET", 2);
    fixture.router.fail();
    fixture.router.log.wait("drain begins", 1);
    let drain_start = Instant::now();
    // How soon the route is withdrawn is measured by the test bed, not here.
    peering.wait("withdrawn", |peering| !has_route(peering));
    std::thread::sleep(Duration::from_secs(1).saturating_sub(drain_start.elapsed()));
    let late = Client::new(&fixture.router).ask(&request("look", 5000, "x"));
    assert!(matches!(late, Answered::Error(1040, _)), "{late:?}");
    assert!(matches!(long_request.answer(), Answered::Error(1040, _)));
    let (code, counters) = fixture.router.ended();
    assert_eq!((code, counter(&counters, "open"), counter(&counters, "bgp_established")), (Some(0), 0, 1));
    peering.wait("a NOTIFICATION at the end", |peering| last_notification(peering).is_some());
    let notification = last_notification(&peering).unwrap();
    assert_eq!(
        (notification.subcode, notification.shutdown_communication().as_deref()),
        (CeaseSubcode::AdministrativeShutdown as u8, Some("planned stop"))
    );
    assert_eq!(announcements(&peering), 2);
}

/// Hard case: a drain begins in each state of the BGP session. The router accepts new work for at most another second,
/// whatever the peer does.
#[test]
fn a_drain_in_any_state_of_the_session_ends_new_work_and_announces_nothing() {
    let cases: [(&str, Mode, bool); 6] = [
        ("up", Mode::Well, false),
        ("open sent", Mode::Mute, false),
        ("open confirm", Mode::HalfOpen, false),
        ("reset at once", Mode::Resets, false),
        ("peer does not read", Mode::Well, true),
        ("flapping", Mode::Well, false),
    ];
    let run = |(name, mode, stops_reading): (&str, Mode, bool)| {
        let peering = Peering::start(open(false));
        peering.mode(mode);
        let mut fixture = Fixture::new(&service_file(&[&peering], ""));
        match (name, mode) {
            (_, Mode::Well) => {
                peering.wait("announced at its normal level", |peering| announcements(peering) == 2)
            }
            (_, Mode::Resets) => drop(fixture.router.log.wait("session attempt failed", 1)),
            _ => peering.wait("connected", Peering::connected),
        }
        if stops_reading {
            peering.mode(Mode::Deaf);
        }
        let mut long_request = Client::new(&fixture.router);
        long_request.send(&request("load", 20000, "hold"));
        fixture.engine.seen.wait("GET", 1);
        fixture.router.fail();
        fixture.router.log.wait("drain begins", 1);
        let drain_start = Instant::now();
        if name == "flapping" {
            peering.reset();
        }
        let announced_before = announcements(&peering);
        if mode != Mode::Well {
            // The peer works normally again as soon as the drain has begun. The router must not announce anything to
            // it.
            peering.mode(Mode::Well);
        }
        std::thread::sleep(Duration::from_millis(1000).saturating_sub(drain_start.elapsed()));
        let late = Client::new(&fixture.router).ask(&request("look", 5000, "x"));
        assert!(matches!(late, Answered::Error(1040, _)), "{name}: {late:?}");
        assert!(matches!(long_request.answer(), Answered::Error(1040, _)), "{name}");
        let (code, counters) = fixture.router.ended();
        assert_eq!((code, counter(&counters, "open")), (Some(0), 0), "{name}");
        if stops_reading {
            // The peer reads only now what the router sent before.
            peering.mode(Mode::Well);
        }
        peering.wait(name, |peering| !peering.connected() && !has_route(peering));
        assert_eq!(announcements(&peering), announced_before, "{name}: {:?}", peering.noted());
    };
    std::thread::scope(|scope| {
        cases.into_iter().for_each(|case| drop(scope.spawn(move || run(case))));
    });
}

#[test]
fn a_drain_that_begins_without_a_session_reconnects_to_a_peer_that_keeps_routes_and_clears_them() {
    let peering = Peering::start(open(true));
    let text = |peering: &Peering| {
        service_file(&[peering], "").replace("\"hold_s\":9", "\"hold_s\":9,\"graceful_restart_s\":120")
    };
    let mut fixture = Fixture::new(&text(&peering));
    peering.wait("announced at its normal level", |peering| announcements(peering) == 2);
    peering.mode(Mode::Resets);
    peering.reset();
    fixture.router.log.wait("bgp session lost", 1);
    assert!(has_route(&peering), "the peer must keep the route, as negotiated by graceful restart");
    fixture.router.fail();
    fixture.router.log.wait("stopping", 1);
    peering.mode(Mode::Well);
    peering.wait("route cleared by the drain", |peering| !has_route(peering));
    assert_eq!(fixture.router.ended().0, Some(0));
    assert_eq!(announcements(&peering), 2);
    // A healthy session ends with a hard reset, so that the peer keeps no route.
    let peering = Peering::start(open(true));
    let mut fixture = Fixture::new(&text(&peering));
    peering.wait("announced at its normal level", |peering| announcements(peering) == 2);
    fixture.router.fail();
    assert_eq!(fixture.router.ended().0, Some(0));
    peering.wait("a NOTIFICATION at the end", |peering| {
        last_notification(peering).is_some_and(|notification| notification.hard_reset)
    });
    assert!(!has_route(&peering));
}

/// Hard case: no router has engines; then only this router has none.
#[test]
fn without_engines_the_path_is_a_last_resort_and_is_withdrawn_only_while_another_instance_is_healthy() {
    let peering = Peering::start(open(false));
    let signs = r#""signs":{"engines":{"effect":"withdraw","bound":1,"rise":1,"fall":2,"least_bad_s":0}},"#;
    let fixture = Fixture::new(&service_file(&[&peering], signs));
    peering.wait("announced at its normal level", |peering| announcements(peering) == 2);
    fixture.discovery.tell(false, &[fixture.engine.entry("draining")]);
    let is_last_resort = |peering: &Peering| {
        peering.table().iter().any(|(_, path)| path.large_communities == [mark(ROUTER_IDENTIFIER, false)])
    };
    peering.wait("announced as last resort", is_last_resort);
    fixture.router.log.wait("held back by the guard of the last announcer", 1);
    peering.show(service(), mark(9, false));
    std::thread::sleep(Duration::from_millis(600));
    assert!(
        is_last_resort(&peering),
        "a path of last resort of another instance must not cause a withdrawal"
    );
    peering.show(service(), mark(9, true));
    peering.wait("withdrawn", |peering| !has_route(peering));
    assert!(
        show_announcements(&fixture).contains("withdrawn,sick: too few engines"),
        "{}",
        show_announcements(&fixture)
    );
    fixture.discovery.tell(false, &[fixture.engine.entry("ready")]);
    peering.wait("announced again", |peering| peering.table().iter().any(|(_, path)| path.med.is_none()));
    fixture.assert_serves();
}

/// Hard case: the session flaps 12 times. Four ways to end it take turns.
#[test]
fn a_flapping_peer_gets_the_route_again_after_each_flap_and_no_request_is_lost() {
    let peering = Peering::start(open(false));
    let fixture = Fixture::new(&service_file(&[&peering], ""));
    peering.wait("announced at its normal level", |peering| announcements(peering) == 2);
    for flap in 0..12 {
        match flap % 4 {
            0 => peering.reset(),
            1 => peering.cease(),
            // A message header with an invalid marker.
            2 => peering.say(|out| out.extend([0; 19])),
            // Part of a message header, then a reset.
            _ => {
                peering.say(|out| out.extend([0xff; 17]));
                peering.reset();
            }
        }
        fixture.assert_serves();
        let announced_again = |peering: &Peering| announcements(peering) == 3 + flap && has_route(peering);
        peering.wait("announced again", announced_again);
    }
    let established = counter(&Client::new(&fixture.router).counters("bgp_lost", 12), "bgp_established");
    assert_eq!(established, 13);
}

#[test]
fn a_peer_that_sends_a_flood_or_a_malformed_message_costs_no_request_its_answer() {
    let peering = Peering::start(open(false));
    let fixture = Fixture::new(&service_file(&[&peering], ""));
    peering.wait("announced at its normal level", |peering| announcements(peering) == 2);
    let flooding_peer = peering.clone();
    let flooding = std::thread::spawn(move || {
        for high in 0..100u32 {
            for low in 0..20u32 {
                let address = std::net::Ipv4Addr::from(0x0a00_0000 + high * 256 + low);
                flooding_peer.show(ipnet::IpNet::new(address.into(), 32).unwrap(), mark(9, true));
            }
        }
    });
    (0..20).for_each(|_| fixture.assert_serves());
    flooding.join().unwrap();
    Client::new(&fixture.router).counters("bgp_passed_over", 2000);
    // An UPDATE whose attributes are longer than the message: the session ends, and the router goes on serving.
    peering
        .say(|out| cleatgw_bgp::message::encode(out, MessageType::Update, |out| out.extend([0, 0, 0, 99])));
    peering.wait("announced again", |peering| announcements(peering) == 3);
    let notification = last_notification(&peering).unwrap();
    assert_eq!((notification.code, notification.subcode), (3, 1));
    fixture.assert_serves();
}

#[test]
fn a_new_service_file_is_applied_while_running_and_one_with_an_error_is_not() {
    let (first, second) = (Peering::start(open(false)), Peering::start(open(false)));
    let mut fixture = Fixture::with(&service_file(&[&first], ""), &["--log-format", "json"]);
    first.wait("announced at its normal level", |peering| announcements(peering) == 2);
    fixture.reload(&service_file(&[&first], "\"guard\":7,"));
    fixture.router.log.wait("the service file is not applied, the running one stays in effect", 1);
    fixture.router.log.wait("field guard: invalid type: integer `7`, expected a boolean", 1);
    // The identifier can't change while the router runs; the peers can.
    let new = service_file(&[&second], "").replace("192.0.2.1\",\"peers", "192.0.2.9\",\"peers");
    fixture.reload(&new);
    fixture.router.log.wait("bgp.identifier can't change while running", 1);
    second.wait("announced at the new peer", has_route);
    first.wait("session with the removed peer ended", |peering| !peering.connected());
    assert_eq!(last_notification(&first).unwrap().subcode, CeaseSubcode::OtherConfigurationChange as u8);
    assert_eq!(
        announcements(&second),
        1,
        "an address that stays in the file keeps its level, so the new peer gets one announcement"
    );
    // A hold set by an operator withdraws the address.
    fixture.reload(&service_file(&[&second], "\"hold\":\"withdrawn\","));
    second.wait("withdrawn by the hold", |peering| !has_route(peering));
    fixture.assert_serves();
    fixture.reload(&service_file(&[&second], ""));
    second.wait("announced again", has_route);
    // Hard case: a new file during a drain causes no announcement, neither to the old peer nor to the new one.
    fixture.router.fail();
    fixture.router.log.wait("drain begins", 1);
    let (announced_before, other) = (announcements(&second), Peering::start(open(false)));
    fixture.reload(&service_file(&[&second, &other], "\"shutdown_lead_s\":0.8,"));
    assert_eq!(fixture.router.ended().0, Some(0));
    assert_eq!((announcements(&second), announcements(&other)), (announced_before, 0));
    let line = fixture.router.log.all().into_iter().find(|line| line.contains("drain begins")).unwrap();
    assert!(line.starts_with('{') && line.contains("\"new_work_ends_in\":0.9"), "{line}");
}

/// A service file that adds or removes an address ends no BGP session, so clients of the other addresses are not
/// affected.
#[test]
fn an_address_added_or_removed_by_a_new_file_ends_no_session() {
    let peering = Peering::start(open(false));
    let text = service_file(&[&peering], "");
    let fixture = Fixture::new(&text);
    peering.wait("announced at its normal level", |peering| announcements(peering) == 2);
    let other: ipnet::IpNet = "198.51.100.9/32".parse().unwrap();
    fixture.reload(&text.replace("[\"198.51.100.7/32\"]", "[\"198.51.100.7/32\",\"198.51.100.9/32\"]"));
    peering.wait("both addresses announced", |peering| peering.table().iter().any(|(net, _)| *net == other));
    fixture.reload(&text);
    peering.wait("the second address withdrawn", |peering| {
        !peering.table().iter().any(|(net, _)| *net == other)
    });
    assert!(has_route(&peering));
    let counters = Client::new(&fixture.router).counters("bgp_lost", 0);
    assert_eq!(counter(&counters, "bgp_established"), 1);
    // The first address was not announced again in between.
    let is_first_address =
        |event: &&(Instant, Saw)| matches!(&event.1, Saw::Announced(net, _) if *net == service());
    assert_eq!(peering.noted().iter().filter(is_first_address).count(), 2);
}

#[test]
fn a_shutdown_lead_announces_graceful_shutdown_before_the_withdrawal() {
    let peering = Peering::start(open(false));
    let mut fixture = Fixture::new(&service_file(&[&peering], "\"shutdown_lead_s\":0.5,"));
    peering.wait("announced at its normal level", |peering| announcements(peering) == 2);
    fixture.router.fail();
    let shows_graceful_shutdown =
        |peering: &Peering| peering.table().iter().any(|(_, path)| path.communities == [GRACEFUL_SHUTDOWN]);
    peering.wait("announced with GRACEFUL_SHUTDOWN", shows_graceful_shutdown);
    peering.wait("withdrawn", |peering| !has_route(peering));
    assert_eq!(fixture.router.ended().0, Some(0));
}

#[test]
fn a_configured_peer_may_connect_to_the_router_and_other_addresses_may_not() {
    let peering = Peering::start(open(false));
    let listen = vacant();
    let passive = service_file(&[&peering], "")
        .replace("\"identifier\"", &format!("\"listen\":\"{listen}\",\"identifier\""))
        .replace("\"hold_s\":9", "\"hold_s\":9,\"passive\":true");
    let fixture = Fixture::new(&passive);
    fixture.router.log.wait("bgp listens", 1);
    // A peer is recognized by its address. A connection from another address is closed without a message being read.
    let unknown = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    unknown.bind(&std::net::SocketAddr::from(([127, 0, 0, 77], 0)).into()).unwrap();
    unknown.connect(&listen.into()).unwrap();
    unknown.set_read_timeout(Some(GENEROUS)).unwrap();
    let mut byte = [std::mem::MaybeUninit::uninit()];
    assert!(matches!(unknown.recv(&mut byte), Ok(0) | Err(_)));
    peering.connect(listen);
    peering.wait("announced at its normal level", |peering| announcements(peering) == 2);
    fixture.assert_serves();
}

/// RFC 5082: packets from a peer that is more hops away than configured are not answered.
#[test]
fn a_peer_more_hops_away_than_configured_gets_no_session() {
    let text =
        |peering: &Peering| service_file(&[peering], "").replace("\"hold_s\":9", "\"hold_s\":9,\"hops\":1");
    let (near, far) = (Peering::hops_away(open(false), 255), Peering::hops_away(open(false), 64));
    let (near_router, far_router) = (Fixture::new(&text(&near)), Fixture::new(&text(&far)));
    near.wait("announced at its normal level", |peering| announcements(peering) == 2);
    near_router.assert_serves();
    far_router.router.log.wait("TCP connection was not established in time", 1);
    assert_eq!(announcements(&far), 0);
}

#[test]
fn a_session_over_ipv6_announces_and_withdraws_addresses_of_both_families() {
    let peering = Peering::by_ipv6(open(false));
    let text = service_file(&[&peering], "")
        .replace("\"next_hop_ipv4\"", "\"next_hop_ipv6\":\"2001:db8::1\",\"next_hop_ipv4\"")
        .replace("[\"198.51.100.7/32\"]", "[\"198.51.100.7/32\",\"2001:db8:7::7/128\"]");
    let mut fixture = Fixture::new(&text);
    let ipv6_address: ipnet::IpNet = "2001:db8:7::7/128".parse().unwrap();
    let next_hop = |peering: &Peering| {
        let table = peering.table();
        let (_, path) = table.iter().find(|(net, _)| *net == ipv6_address)?;
        path.next_hop
    };
    // Two announcements for each of the two addresses.
    peering.wait("announced at its normal level", |peering| announcements(peering) == 4);
    assert_eq!(next_hop(&peering), Some("2001:db8::1".parse().unwrap()));
    fixture.router.fail();
    peering.wait("withdrawn", |peering| peering.table().is_empty());
    assert_eq!(fixture.router.ended().0, Some(0));
}

#[test]
fn a_router_that_is_killed_leaves_no_route() {
    let peering = Peering::start(open(true));
    let fixture = Fixture::new(&service_file(&[&peering], ""));
    peering.wait("announced at its normal level", |peering| announcements(peering) == 2);
    fixture.router.signal(Signal::KILL);
    peering.wait("route removed", |peering| !has_route(peering));
}

#[test]
fn a_service_file_can_be_checked_alone_and_its_errors_name_the_field() {
    let peering = Peering::start(open(false));
    let good = service_file(&[&peering], "");
    let file = std::env::temp_dir().join(format!("cleatgw-check-{}.json", std::process::id()));
    let check = |text: &str| {
        std::fs::write(&file, text).unwrap();
        let output = Command::new(PROGRAM)
            .args(["check", "--service", file.to_str().unwrap()])
            .env_remove("BALANCER_CONFIG")
            .output()
            .unwrap();
        (output.status.success(), String::from_utf8([output.stdout, output.stderr].concat()).unwrap())
    };
    let (accepted, output) = check(&good);
    assert!(
        accepted && output.contains("AS 64512, identifier 192.0.2.1, 1 peers (far-0), 1 addresses"),
        "{output}"
    );
    let (accepted, output) = check(&good.replace("\"settle_s\":0.3", "\"settle\":0.3"));
    assert!(!accepted && output.contains("field settle: unknown field `settle`"), "{output}");
    let _ = std::fs::remove_file(&file);
}

//! The real program between stand-ins, with routing peers: service addresses follow it.

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
static FILES: AtomicU32 = AtomicU32::new(0);

struct World {
    engine: Engine,
    discovery: Discovery,
    router: Router,
    file: PathBuf,
}

impl World {
    fn new(text: &str) -> World {
        World::with(text, &[])
    }

    fn with(text: &str, more: &[&str]) -> World {
        let number = FILES.fetch_add(1, Ordering::Relaxed);
        let file = std::env::temp_dir().join(format!("cleatgw-service-{}-{number}.json", std::process::id()));
        std::fs::write(&file, text).unwrap();
        let engine = Engine::start("e");
        let discovery = Discovery::start();
        discovery.tell(true, &[engine.entry("ready")]);
        let arguments = [&["--service", file.to_str().unwrap()][..], more].concat();
        let router = Router::with(PROGRAM, &discovery, 256, &arguments);
        World { engine, discovery, router, file }
    }

    /// Has this in place of the service file, and is told so.
    fn reload(&self, text: &str) {
        std::fs::write(&self.file, text).unwrap();
        self.router.signal(Signal::HUP);
    }

    fn serves(&self) {
        let answered = Client::new(&self.router).ask(&request("look", 5000, "x"));
        assert_eq!(answered, Answered::Rows(vec!["0,one,two".to_string()]));
    }
}

impl Drop for World {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.file);
    }
}

fn has_route(peering: &Peering) -> bool {
    peering.table().iter().any(|(net, _)| *net == service())
}

fn announced(peering: &Peering) -> usize {
    peering.noted().iter().filter(|(_, saw)| matches!(saw, Saw::Announced(..))).count()
}

fn last_words(peering: &Peering) -> Option<Notification> {
    peering.noted().into_iter().rev().find_map(|(_, saw)| match saw {
        Saw::Ended(told) => told,
        _ => None,
    })
}

fn rows(world: &World) -> String {
    match Client::new(&world.router).ask("SHOW ANNOUNCEMENTS") {
        Answered::Rows(rows) => rows.join("\n"),
        other => panic!("{other:?}"),
    }
}

#[test]
fn an_address_is_announced_shown_and_withdrawn_by_a_planned_stop_with_its_requests_answered() {
    let peering = Peering::start(open(false));
    let mut world = World::new(&service_file(&[&peering], ""));
    peering.wait("announced for good", |peering| announced(peering) == 2);
    assert_eq!(peering.table()[0].1.large_communities, [mark(0xc0000201, true)]);
    world.serves();
    let shown = rows(&world);
    assert!(shown.contains("address 198.51.100.7/32,announced,well, for"), "{shown}");
    assert!(shown.contains("Established,out 1 [198.51.100.7/32], seen 0, sessions 1 lost 0"), "{shown}");
    let status = Command::new(PROGRAM).args(["status", &world.router.address.to_string()]).output().unwrap();
    assert!(String::from_utf8(status.stdout).unwrap().contains("announced  well, for"));
    let mut long = Client::new(&world.router);
    long.send(&request("load", 20000, "hold"));
    world.engine.seen.wait("GET", 2);
    world.router.fail();
    world.router.log.wait("drain begins", 1);
    let began = Instant::now();
    // How soon is for the test bed to measure.
    peering.wait("withdrawn", |peering| !has_route(peering));
    std::thread::sleep(Duration::from_secs(1).saturating_sub(began.elapsed()));
    let late = Client::new(&world.router).ask(&request("look", 5000, "x"));
    assert!(matches!(late, Answered::Error(1040, _)), "{late:?}");
    assert!(matches!(long.answer(), Answered::Error(1040, _)));
    let (code, counters) = world.router.ended();
    assert_eq!((code, counter(&counters, "open"), counter(&counters, "bgp_established")), (Some(0), 0, 1));
    peering.wait("a goodbye", |peering| last_words(peering).is_some());
    let told = last_words(&peering).unwrap();
    assert_eq!(
        (told.subcode, told.shutdown_communication().as_deref()),
        (CeaseSubcode::AdministrativeShutdown as u8, Some("planned stop"))
    );
    assert_eq!(announced(&peering), 2);
}

/// Hard case: a drain in every state of the session. New work ends within the second, whatever the peer does.
#[test]
fn a_drain_in_any_state_of_the_session_ends_new_work_and_announces_nothing() {
    let cases: [(&str, Mode, bool); 6] = [
        ("up", Mode::Well, false),
        ("open sent", Mode::Mute, false),
        ("open confirm", Mode::HalfOpen, false),
        ("reset at once", Mode::Resets, false),
        ("deaf", Mode::Well, true),
        ("flapping", Mode::Well, false),
    ];
    let run = |(name, mode, deaf): (&str, Mode, bool)| {
        let peering = Peering::start(open(false));
        peering.mode(mode);
        let mut world = World::new(&service_file(&[&peering], ""));
        match (name, mode) {
            (_, Mode::Well) => peering.wait("announced for good", |peering| announced(peering) == 2),
            (_, Mode::Resets) => drop(world.router.log.wait("session attempt failed", 1)),
            _ => peering.wait("connected", Peering::connected),
        }
        if deaf {
            peering.mode(Mode::Deaf);
        }
        let mut long = Client::new(&world.router);
        long.send(&request("load", 20000, "hold"));
        world.engine.seen.wait("GET", 1);
        world.router.fail();
        world.router.log.wait("drain begins", 1);
        let began = Instant::now();
        if name == "flapping" {
            peering.reset();
        }
        let before = announced(&peering);
        if mode != Mode::Well {
            // It is well again as soon as the drain has begun: that must not bring anything out.
            peering.mode(Mode::Well);
        }
        std::thread::sleep(Duration::from_millis(1000).saturating_sub(began.elapsed()));
        let late = Client::new(&world.router).ask(&request("look", 5000, "x"));
        assert!(matches!(late, Answered::Error(1040, _)), "{name}: {late:?}");
        assert!(matches!(long.answer(), Answered::Error(1040, _)), "{name}");
        let (code, counters) = world.router.ended();
        assert_eq!((code, counter(&counters, "open")), (Some(0), 0), "{name}");
        if deaf {
            // What was sent is read only now.
            peering.mode(Mode::Well);
        }
        peering.wait(name, |peering| !peering.connected() && !has_route(peering));
        assert_eq!(announced(&peering), before, "{name}: {:?}", peering.noted());
    };
    std::thread::scope(|scope| {
        cases.into_iter().for_each(|case| drop(scope.spawn(move || run(case))));
    });
}

#[test]
fn a_peer_that_keeps_routes_is_reached_and_cleared_by_a_drain_that_begins_without_a_session() {
    let peering = Peering::start(open(true));
    let text =
        service_file(&[&peering], "").replace("\"hold_s\":9", "\"hold_s\":9,\"graceful_restart_s\":120");
    let mut world = World::new(&text);
    peering.wait("announced for good", |peering| announced(peering) == 2);
    peering.mode(Mode::Resets);
    peering.reset();
    world.router.log.wait("bgp session lost", 1);
    assert!(has_route(&peering), "kept, as agreed");
    world.router.fail();
    world.router.log.wait("stopping", 1);
    peering.mode(Mode::Well);
    peering.wait("cleared", |peering| !has_route(peering));
    assert_eq!(world.router.ended().0, Some(0));
    assert_eq!(announced(&peering), 2);
    // The end of a healthy one is a hard reset, so that nothing is kept.
    let peering = Peering::start(open(true));
    let mut world = World::new(
        &text.replace(&text[text.find("127.0.0.1:").unwrap()..][..15], &peering.address.to_string()[..]),
    );
    peering.wait("announced for good", |peering| announced(peering) == 2);
    world.router.fail();
    assert_eq!(world.router.ended().0, Some(0));
    peering.wait("a goodbye", |peering| last_words(peering).is_some_and(|told| told.hard_reset));
    assert!(!has_route(&peering));
}

/// Hard case: all engines are gone here and everywhere, and then only here.
#[test]
fn without_engines_it_is_a_last_resort_and_goes_only_while_another_is_sound() {
    let peering = Peering::start(open(false));
    let signs = r#""signs":{"engines":{"effect":"withdraw","bound":1,"rise":1,"fall":2,"least_bad_s":0}},"#;
    let world = World::new(&service_file(&[&peering], signs));
    peering.wait("announced for good", |peering| announced(peering) == 2);
    world.discovery.tell(false, &[world.engine.entry("draining")]);
    let resort = |peering: &Peering| {
        peering.table().iter().any(|(_, path)| path.large_communities == [mark(0xc0000201, false)])
    };
    peering.wait("a last resort", resort);
    world.router.log.wait("held back by the guard of the last announcer", 1);
    peering.show(service(), mark(9, false));
    std::thread::sleep(Duration::from_millis(600));
    assert!(resort(&peering), "another last resort is no reason to go");
    peering.show(service(), mark(9, true));
    peering.wait("withdrawn", |peering| !has_route(peering));
    assert!(rows(&world).contains("withdrawn,sick: too few engines"), "{}", rows(&world));
    world.discovery.tell(false, &[world.engine.entry("ready")]);
    peering.wait("back", |peering| peering.table().iter().any(|(_, path)| path.med.is_none()));
    world.serves();
}

/// Hard case: the session flaps again and again, ended in one way after another.
#[test]
fn a_flapping_peer_has_the_route_again_after_each_flap_and_costs_no_request() {
    let peering = Peering::start(open(false));
    let world = World::new(&service_file(&[&peering], ""));
    peering.wait("announced for good", |peering| announced(peering) == 2);
    for flap in 0..12 {
        match flap % 4 {
            0 => peering.reset(),
            1 => peering.cease(),
            2 => peering.say(|out| out.extend([0; 19])),
            // Half a message, then the end.
            _ => {
                peering.say(|out| out.extend([0xff; 17]));
                peering.reset();
            }
        }
        world.serves();
        let back = |peering: &Peering| announced(peering) == 3 + flap && has_route(peering);
        peering.wait("announced again", back);
    }
    let lost = counter(&Client::new(&world.router).counters("bgp_lost", 12), "bgp_established");
    assert_eq!(lost, 13);
}

#[test]
fn a_peer_that_floods_or_sends_what_cannot_be_read_costs_no_request_its_answer() {
    let peering = Peering::start(open(false));
    let world = World::new(&service_file(&[&peering], ""));
    peering.wait("announced for good", |peering| announced(peering) == 2);
    let flood = peering.clone();
    let flooding = std::thread::spawn(move || {
        for high in 0..100u32 {
            for low in 0..20u32 {
                let address = std::net::Ipv4Addr::from(0x0a00_0000 + high * 256 + low);
                flood.show(ipnet::IpNet::new(address.into(), 32).unwrap(), mark(9, true));
            }
        }
    });
    (0..20).for_each(|_| world.serves());
    flooding.join().unwrap();
    Client::new(&world.router).counters("bgp_passed_over", 2000);
    // An UPDATE whose attributes do not fit: the session ends, the rest goes on.
    peering
        .say(|out| cleatgw_bgp::message::encode(out, MessageType::Update, |out| out.extend([0, 0, 0, 99])));
    peering.wait("announced again", |peering| announced(peering) == 3);
    let told = last_words(&peering).unwrap();
    assert_eq!((told.code, told.subcode), (3, 1));
    world.serves();
}

#[test]
fn a_new_service_file_is_taken_while_running_and_one_with_an_error_is_not() {
    let (first, second) = (Peering::start(open(false)), Peering::start(open(false)));
    let mut world = World::with(&service_file(&[&first], ""), &["--log-format", "json"]);
    first.wait("announced for good", |peering| announced(peering) == 2);
    world.reload(&service_file(&[&first], "\"guard\":7,"));
    world.router.log.wait("the service file is not applied, the running one stays in effect", 1);
    world.router.log.wait("field guard: invalid type: integer `7`, expected a boolean", 1);
    // Another identifier can't be had; another peer can.
    let new = service_file(&[&second], "").replace("192.0.2.1\",\"peers", "192.0.2.9\",\"peers");
    world.reload(&new);
    world.router.log.wait("bgp.identifier can't change while running", 1);
    second.wait("told at once", has_route);
    first.wait("left", |peering| !peering.connected());
    assert_eq!(last_words(&first).unwrap().subcode, CeaseSubcode::OtherConfigurationChange as u8);
    assert_eq!(announced(&second), 1, "an address that stays keeps its level");
    // An operator's hold withdraws it.
    world.reload(&service_file(&[&second], "\"hold\":\"withdrawn\","));
    second.wait("held", |peering| !has_route(peering));
    world.serves();
    world.reload(&service_file(&[&second], ""));
    second.wait("back", has_route);
    // Hard case: a new file in a drain brings nothing out, at the old peer or at the new one.
    world.router.fail();
    world.router.log.wait("drain begins", 1);
    let (before, other) = (announced(&second), Peering::start(open(false)));
    world.reload(&service_file(&[&second, &other], "\"shutdown_lead_s\":0.8,"));
    assert_eq!(world.router.ended().0, Some(0));
    assert_eq!((announced(&second), announced(&other)), (before, 0));
    let object = world.router.log.all().into_iter().find(|line| line.contains("drain begins")).unwrap();
    assert!(object.starts_with('{') && object.contains("\"new_work_ends_in\":0.9"), "{object}");
}

/// A file with another address, or without one, ends no session: the other addresses' clients must not feel it.
#[test]
fn an_address_that_comes_or_goes_with_a_new_file_costs_no_session() {
    let peering = Peering::start(open(false));
    let text = service_file(&[&peering], "");
    let world = World::new(&text);
    peering.wait("announced for good", |peering| announced(peering) == 2);
    let other: ipnet::IpNet = "198.51.100.9/32".parse().unwrap();
    world.reload(&text.replace("[\"198.51.100.7/32\"]", "[\"198.51.100.7/32\",\"198.51.100.9/32\"]"));
    peering.wait("both", |peering| peering.table().iter().any(|(net, _)| *net == other));
    world.reload(&text);
    peering.wait("one", |peering| !peering.table().iter().any(|(net, _)| *net == other));
    assert!(has_route(&peering));
    let counters = Client::new(&world.router).counters("bgp_lost", 0);
    assert_eq!(counter(&counters, "bgp_established"), 1);
    // The first address was told nothing in between.
    let first = |saw: &&(Instant, Saw)| matches!(&saw.1, Saw::Announced(net, _) if *net == service());
    assert_eq!(peering.noted().iter().filter(first).count(), 2);
}

#[test]
fn a_lead_shows_graceful_shutdown_before_it_withdraws() {
    let peering = Peering::start(open(false));
    let mut world = World::new(&service_file(&[&peering], "\"shutdown_lead_s\":0.5,"));
    peering.wait("announced for good", |peering| announced(peering) == 2);
    world.router.fail();
    let leaving =
        |peering: &Peering| peering.table().iter().any(|(_, path)| path.communities == [GRACEFUL_SHUTDOWN]);
    peering.wait("shown", leaving);
    peering.wait("withdrawn", |peering| !has_route(peering));
    assert_eq!(world.router.ended().0, Some(0));
}

#[test]
fn a_peer_may_connect_to_us_and_strangers_may_not() {
    let peering = Peering::start(open(false));
    let listen = vacant();
    let passive = service_file(&[&peering], "")
        .replace("\"identifier\"", &format!("\"listen\":\"{listen}\",\"identifier\""))
        .replace("\"hold_s\":9", "\"hold_s\":9,\"passive\":true");
    let world = World::new(&passive);
    world.router.log.wait("bgp listens", 1);
    // Same address, so the same peer; another one is closed unheard.
    let stranger = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    stranger.bind(&std::net::SocketAddr::from(([127, 0, 0, 77], 0)).into()).unwrap();
    stranger.connect(&listen.into()).unwrap();
    stranger.set_read_timeout(Some(GENEROUS)).unwrap();
    let mut byte = [std::mem::MaybeUninit::uninit()];
    assert!(matches!(stranger.recv(&mut byte), Ok(0) | Err(_)));
    peering.connect(listen);
    peering.wait("announced for good", |peering| announced(peering) == 2);
    world.serves();
}

/// RFC 5082: what comes from further away than it should is not even answered.
#[test]
fn a_peer_further_away_than_it_may_be_gets_no_session() {
    let text =
        |peering: &Peering| service_file(&[peering], "").replace("\"hold_s\":9", "\"hold_s\":9,\"hops\":1");
    let (near, far) = (Peering::hops_away(open(false), 255), Peering::hops_away(open(false), 64));
    let (close, distant) = (World::new(&text(&near)), World::new(&text(&far)));
    near.wait("announced for good", |peering| announced(peering) == 2);
    close.serves();
    distant.router.log.wait("TCP connection was not established in time", 1);
    assert_eq!(announced(&far), 0);
}

#[test]
fn a_session_over_ipv6_and_addresses_of_both_families() {
    let peering = Peering::by_ipv6(open(false));
    let text = service_file(&[&peering], "")
        .replace("\"next_hop_ipv4\"", "\"next_hop_ipv6\":\"2001:db8::1\",\"next_hop_ipv4\"")
        .replace("[\"198.51.100.7/32\"]", "[\"198.51.100.7/32\",\"2001:db8:7::7/128\"]");
    let mut world = World::new(&text);
    let six: ipnet::IpNet = "2001:db8:7::7/128".parse().unwrap();
    let hop = |peering: &Peering| {
        let table = peering.table();
        let (_, path) = table.iter().find(|(net, _)| *net == six)?;
        path.next_hop
    };
    peering.wait("announced for good", |peering| announced(peering) == 4);
    assert_eq!(hop(&peering), Some("2001:db8::1".parse().unwrap()));
    world.router.fail();
    peering.wait("withdrawn", |peering| peering.table().is_empty());
    assert_eq!(world.router.ended().0, Some(0));
}

#[test]
fn a_router_that_is_killed_leaves_no_route() {
    let peering = Peering::start(open(true));
    let world = World::new(&service_file(&[&peering], ""));
    peering.wait("announced for good", |peering| announced(peering) == 2);
    world.router.signal(Signal::KILL);
    peering.wait("gone", |peering| !has_route(peering));
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
    let (fine, words) = check(&good);
    assert!(
        fine && words.contains("AS 64512, identifier 192.0.2.1, 1 peers (far-0), 1 addresses"),
        "{words}"
    );
    let (fine, words) = check(&good.replace("\"settle_s\":0.3", "\"settle\":0.3"));
    assert!(!fine && words.contains("field settle: unknown field `settle`"), "{words}");
    let _ = std::fs::remove_file(&file);
}

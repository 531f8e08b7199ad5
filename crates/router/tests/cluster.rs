//! Several processes of the program that know each other, with faults between them: one story for each. What each said of
//! the others is judged by the laboratory, which shares no code with them.

use cleatgw_lab::cluster::{cluster_file, Cluster, Load};
use cleatgw_lab::judge::Record;
use cleatgw_lab::standins::*;
use cleatgw_lab::weather::Act;
use rustix::process::Signal;
use std::net::UdpSocket;
use std::path::Path;
use std::process::Command;
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_cleatgw");

fn whole(routers: usize, seed: u64) -> Cluster {
    let cluster = Cluster::start(Path::new(PROGRAM), routers, seed, &[]);
    (0..routers).for_each(|router| cluster.stands(router, "whole"));
    cluster
}

/// Nobody sound was held failed, all that died were found, and views agree.
fn judged(record: &Record, detected_ms: u64) {
    assert_eq!(record.false_failures(), []);
    let (times, missed) = record.detections();
    assert!(missed == 0 && times.max() <= detected_ms, "{missed} missed, {} ms", times.max());
    let agreed = record.agreed_after();
    assert!(agreed.is_some_and(|agreed| agreed <= 4000), "{agreed:?}");
}

#[test]
fn one_that_is_killed_is_found_and_one_that_is_started_again_is_back() {
    let mut cluster = whole(5, 1);
    let load = Load::start(&cluster, 50.0);
    cluster.play(&vec![(0.0, Act::Kill(2)), (5.0, Act::Start(2))], 5.0);
    let (jobs, unanswered) = load.end(&cluster);
    assert!(jobs > 500 && unanswered == 0, "{jobs} jobs, {unanswered} unanswered");
    let record = cluster.record();
    judged(&record, 4000);
    assert_eq!(record.detections().0.len(), 4);
    cluster.stands(2, "whole");
}

#[test]
fn one_that_is_frozen_for_five_seconds_wakes_and_accuses_nobody() {
    let mut cluster = whole(5, 2);
    cluster.play(&vec![(0.0, Act::Freeze(1)), (5.0, Act::Wake(1))], 6.0);
    judged(&cluster.record(), 4000);
    cluster.stands(1, "whole");
    assert!(cluster.router(1).log.all().iter().any(|line| line.contains("cluster: just woken")));
}

#[test]
fn a_link_that_is_cut_one_way_fails_neither_end_and_can_be_seen() {
    let mut cluster = whole(5, 3);
    cluster.play(&vec![(0.0, Act::CutOneWay(0, 1))], 10.0);
    let record = cluster.record();
    assert!(cluster.relays.weather.lock().unwrap().cut > 10);
    assert_eq!(record.false_failures(), []);
    let table = cluster.table(1).join("\n");
    assert!(table.contains("router r0,seen by others"), "{table}");
}

#[test]
fn two_halves_stand_as_halves_serve_their_jobs_and_agree_once_healed() {
    let mut cluster = whole(4, 4);
    let load = Load::start(&cluster, 50.0);
    cluster.play(&vec![(0.0, Act::Part(vec![0, 0, 1, 1]))], 6.0);
    (0..4).for_each(|router| cluster.stands(router, "half"));
    cluster.play(&vec![(0.0, Act::Heal)], 6.0);
    (0..4).for_each(|router| cluster.stands(router, "whole"));
    let (jobs, unanswered) = load.end(&cluster);
    assert!(jobs > 500 && unanswered == 0, "{jobs} jobs, {unanswered} unanswered");
    judged(&cluster.record(), 4000);
}

#[test]
fn with_three_in_ten_lost_doubled_damaged_and_out_of_order_nobody_is_called_failed() {
    let mut cluster = whole(5, 5);
    let acts = [Act::Loss(0.3), Act::Twice(0.2), Act::Damage(0.05), Act::Spread(0.05)];
    cluster.play(&acts.map(|act| (0.0, act)).into(), 10.0);
    let (lost, damaged, twice) = {
        let weather = cluster.relays.weather.lock().unwrap();
        (weather.lost, weather.damaged, weather.twice)
    };
    assert!(lost > 100 && damaged > 20 && twice > 50, "{lost} {damaged} {twice}");
    assert_eq!(cluster.record().false_failures(), []);
    let mut client = Client::at(cluster.address(0)).unwrap();
    assert!(counter(&client.counters_now(), "cluster_noise") > 0);
}

#[test]
fn one_that_is_stopped_by_plan_is_gone_and_not_failed() {
    let mut cluster = whole(4, 6);
    cluster.play(&vec![(0.0, Act::Leave(3))], 4.0);
    for router in 0..3 {
        let table = cluster.table(router).join("\n");
        assert!(table.contains("router r3,left"), "{table}");
    }
}

/// One router has no traffic of its own: what it knows of a silent engine it has from the others, or not at all.
#[test]
fn a_router_without_traffic_doubts_an_engine_that_others_meet_silent_and_not_where_they_may_not_tell() {
    for tell in [true, false] {
        let fields = format!(r#""tell_of_engines":{tell},"#);
        let cluster = Cluster::with(Path::new(PROGRAM), 4, 3, 10, &[], &fields);
        (0..4).for_each(|router| cluster.stands(router, "whole"));
        cluster.engines[0].silent(true);
        let load = Load::some(&cluster, &[0, 1, 2], 40.0);
        std::thread::sleep(Duration::from_secs(5));
        let (jobs, unanswered) = load.end(&cluster);
        assert!(jobs > 50 && unanswered == 0, "{jobs} jobs, {unanswered} unanswered");
        let doubts = |router: usize| {
            let lines = cluster.router(router).log.all();
            lines.iter().any(|line| line.contains("doubted"))
        };
        assert!((0..3).all(doubts));
        assert_eq!(doubts(3), tell);
    }
}

/// Hard case: strangers, noise and a foreign cluster at full speed, from another address and from that of a member's.
#[test]
fn a_flood_of_strangers_costs_no_job_its_answer() {
    let cluster = whole(3, 7);
    let load = Load::start(&cluster, 100.0);
    let target = cluster.relays.listens[0];
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let end = Instant::now() + Duration::from_secs(3);
    let mut sent = 0u64;
    while Instant::now() < end {
        let bytes = [b'c', b'G', 1, sent as u8, 4, 5, 6, 7, 8, 9].repeat(1 + (sent % 120) as usize);
        sent += u64::from(socket.send_to(&bytes, target).is_ok());
    }
    let (jobs, unanswered) = load.end(&cluster);
    assert!(jobs > 200 && unanswered == 0, "{jobs} jobs, {unanswered} unanswered");
    cluster.stands(0, "whole");
    let counters = Client::at(cluster.address(0)).unwrap().counters_now();
    let strangers = counter(&counters, "cluster_strangers");
    assert!(sent > 10_000 && strangers > 1000, "{sent} sent, {strangers} counted");
}

/// Hard case: a name that is given twice. The second process hears nobody, as the others know the name's address.
#[test]
fn a_second_process_under_a_router_s_name_forms_no_cluster_and_harms_none() {
    let cluster = whole(3, 8);
    let names: Vec<String> = (0..3).map(|at| format!("r{at}")).collect();
    let mut addresses = cluster.relays.listens.clone();
    addresses[2] = cleatgw_lab::relays::vacant_udp();
    let file = std::env::temp_dir().join(format!("cleatgw-twin-{}.json", std::process::id()));
    std::fs::write(&file, cluster_file("lab", &names, &addresses)).unwrap();
    let name = |text: String| text.replace(r#""name":"n1""#, r#""name":"r2""#);
    let arguments = ["--cluster", file.to_str().unwrap()];
    let twin = Router::changed(PROGRAM, &cluster.board, 256, &arguments, name);
    twin.log.wait("cluster: never formed", 1);
    let counters = Client::at(cluster.address(0)).unwrap().counters_now();
    assert!(counter(&counters, "cluster_strangers") > 0, "{counters}");
    (0..3).for_each(|router| cluster.stands(router, "whole"));
    std::fs::remove_file(&file).unwrap();
}

#[test]
fn a_new_file_grows_the_cluster_and_a_wrong_one_changes_nothing() {
    let cluster = whole(3, 9);
    let names: Vec<String> = (0..4).map(|at| format!("r{at}")).collect();
    let grown = |router: usize| {
        let mut addresses = cluster.relays.addresses[router].clone();
        addresses.push(([127, 0, 0, 1], 9).into());
        cluster_file("lab", &names, &addresses)
    };
    std::fs::write(cluster.file(0), "{\"name\": \"lab\"}").unwrap();
    cluster.router(0).signal(Signal::HUP);
    cluster.router(0).log.wait("the cluster file is not taken", 1);
    cluster.stands(0, "whole");
    for router in 0..3 {
        std::fs::write(cluster.file(router), grown(router)).unwrap();
        cluster.router(router).signal(Signal::HUP);
    }
    (0..3).for_each(|router| cluster.stands(router, "majority"));
    assert!(cluster.table(0)[0].contains("3 of 4 present"));
}

#[test]
fn a_file_that_is_wrong_is_refused_by_the_name_of_its_field() {
    let file = std::env::temp_dir().join(format!("cleatgw-wrong-{}.json", std::process::id()));
    let text = cluster_file("lab", &["r0".to_string()], &[([10, 0, 0, 1], 7400).into()]);
    std::fs::write(&file, text).unwrap();
    let output = Command::new(PROGRAM).args(["check", "--cluster", file.to_str().unwrap()]).output().unwrap();
    let words = String::from_utf8_lossy(&output.stderr).into_owned();
    std::fs::remove_file(&file).unwrap();
    assert!(!output.status.success());
    assert!(words.contains("field routers[0].address: expected one in the `networks`"), "{words}");
}

//! Golden bytes of everything that routers send to each other, recorded from an earlier version of the code. Two
//! versions may run in one cluster, so the same values must encode to the same bytes, and the bytes decode to the
//! same values.

use cleatgw_membership::digest::{self, DigestRounds, EngineIncarnation, Observation};
use cleatgw_membership::lease::Message;
use cleatgw_membership::swim::DetectorSettings;
use cleatgw_membership::wire::{self, Envelope, Kind, LastHeard};
use cleatgw_membership::{cluster_hash, Membership};
use expect_test::expect_file;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn envelope(kind: Kind) -> Envelope {
    Envelope {
        cluster: 0x1122_3344_5566_7788,
        from: 7,
        to: 300,
        generation: 1_700_000_000_123,
        receiver_generation: 1_700_000_000_456,
        heard_ago: 65_000,
        present: 550,
        present_hash: 0xdead_beef,
        age: 86_400,
        leaving: true,
        receiver_failed: false,
        store_epoch: 99,
        receiver_store_epoch: 1 << 40,
        kind,
    }
}

#[test]
fn datagrams_of_every_kind_match_the_recorded_bytes() {
    let kinds =
        [Kind::Heartbeat, Kind::Swim, Kind::Lease, Kind::DirectProbe, Kind::IndirectProbe, Kind::IndirectAck];
    let mut lines = Vec::new();
    for kind in kinds {
        let bytes = wire::write(&envelope(kind), b"a body").expect("the body fits into a datagram");
        assert_eq!(wire::read(&bytes), Ok((envelope(kind), &b"a body"[..])));
        lines.push(format!("{kind:?} {}", hex(&bytes)));
    }
    expect_file!["golden/datagrams.txt"].assert_eq(&(lines.join("\n") + "\n"));
}

#[test]
fn lease_messages_and_probe_answers_match_the_recorded_bytes() {
    let (resource, epoch) = (70_000, (5 << 16) | 3);
    let messages = [
        Message::Prepare { resource, epoch },
        Message::Promise { resource, epoch, holder: None },
        Message::Promise { resource, epoch, holder: Some(299) },
        Message::Propose { resource, epoch },
        Message::Accept { resource, epoch },
        Message::Refuse { resource, epoch, promised: epoch + (1 << 16) },
        Message::Release { resource, epoch },
    ];
    let mut lines = Vec::new();
    for message in messages {
        let bytes = postcard::to_extend(&message, Vec::new()).expect("a Vec accepts any number of bytes");
        assert_eq!(postcard::from_bytes::<Message>(&bytes), Ok(message));
        lines.push(hex(&bytes));
    }
    let heard = [LastHeard { router: 3, ago: 255 }, LastHeard { router: 400, ago: 1 }];
    let bytes = postcard::to_extend(&heard[..], Vec::new()).expect("a Vec accepts any number of bytes");
    lines.push(hex(&bytes));
    expect_file!["golden/leases.txt"].assert_eq(&(lines.join("\n") + "\n"));
}

#[test]
fn digests_match_the_recorded_bytes() {
    let observation = |number: u64| Observation {
        engine: EngineIncarnation {
            name: number.wrapping_mul(0x9e37_79b9_7f4a_7c15),
            incarnation: number as u32 * 977,
        },
        successes: (number * 40) as u8,
        failures: (number * 3) as u8,
        slow_start_work: (number * 5000) as u16,
    };
    let observations: Vec<Observation> = (0..12).map(observation).collect();
    let bytes = digest::write(&observations);
    assert_eq!(digest::read(&bytes), Some(observations));
    expect_file!["golden/digest.txt"].assert_eq(&(hex(&bytes) + "\n"));
}

/// All datagrams of five routers over twelve seconds, in order: messages of the failure detector, leases, probes and
/// heartbeats. During this time one router leaves and one falls silent.
#[test]
fn a_seeded_cluster_sends_the_recorded_datagrams() {
    const ROUTERS: usize = 5;
    let cluster = cluster_hash("golden", ["a", "b", "c", "d", "e"]);
    let mut members: Vec<Membership> = (0..ROUTERS)
        .map(|me| {
            Membership::new(
                cluster,
                ROUTERS,
                me,
                1000 + me as u64,
                &DetectorSettings::default(),
                40 + me as u64,
                0.0,
            )
        })
        .collect();
    let mut text = String::new();
    let mut silent = [false; ROUTERS];
    for step in 0..1200 {
        let now = f64::from(step) * 0.01;
        if step == 300 {
            members[1].request_lease(9, now);
            members[2].set_observations(vec![Observation {
                engine: EngineIncarnation { name: 5, incarnation: 6 },
                successes: 1,
                failures: 8,
                slow_start_work: 250,
            }]);
            members[3].set_store_epoch(17);
        }
        if step == 500 {
            silent[4] = true;
        }
        if step == 900 {
            members[0].leave(now);
        }
        for from in 0..ROUTERS {
            if silent[from] {
                continue;
            }
            members[from].turn(now);
            for (to, bytes) in members[from].take_outgoing() {
                text += &format!("{step} {from} {to} {}\n", hex(&bytes));
                let to = usize::from(to);
                if !silent[to] {
                    let _ = members[to].receive_datagram(from, &bytes, now);
                }
            }
        }
    }
    assert!(text.lines().count() > 500, "only {} datagrams were sent", text.lines().count());
    expect_file!["golden/cluster.txt"].assert_eq(&text);
}

#[test]
fn rounds_of_simulated_instances_send_the_recorded_digests() {
    let mut rounds = DigestRounds::new(1, 3, 7, 0.0);
    let mut text = String::new();
    for step in 0..80 {
        let now = f64::from(step) * 0.05;
        let seen = vec![Observation {
            engine: EngineIncarnation { name: 9, incarnation: 1 },
            successes: 2,
            failures: step as u8,
            slow_start_work: 0,
        }];
        if let Some(due) = rounds.digest_to_send(now, || seen) {
            text += &format!("{step} {:?} {}\n", due.receivers, hex(&due.bytes));
        }
    }
    assert!(!text.is_empty());
    expect_file!["golden/rounds.txt"].assert_eq(&text);
}

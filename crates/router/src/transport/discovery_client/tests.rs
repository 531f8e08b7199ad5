use super::*;
use std::io::Write;

#[test]
fn a_discovery_that_stops_is_asked_again_well_before_its_events_count_as_told() {
    let turns: calloop::EventLoop<super::super::Ready> = calloop::EventLoop::try_new().unwrap();
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let mut link = DiscoveryClient::new(Some(address), 3, 1000, 100.0);
    let wire = || super::super::connect(&turns.handle(), address, super::super::Source::Discovery).unwrap();
    link.connecting(Some(wire()), 100.0);
    let (mut discovery, _) = listener.accept().unwrap();
    discovery.write_all(b"3\n").unwrap();
    while !matches!(link.state, State::Up { .. }) || link.away {
        link.work(true, 100.0, &mut Vec::new()).unwrap();
    }
    // It says nothing more; the next connection does not come up, the one after that does.
    let silent = link.due();
    assert_eq!(link.work(false, silent, &mut Vec::new()), Err("silent".to_string()));
    link.lost("silent", silent);
    let again = link.due();
    assert_eq!(link.wants_connection(again), Some(address));
    link.connecting(Some(wire()), again);
    let failed = link.due();
    link.lost("no connection came up", failed);
    assert!(link.due() < 100.0 + 3.0, "{}", link.due());
}

#[test]
fn events_are_applied_once_in_order_and_a_gap_is_asked_for_once() {
    let mut link = DiscoveryClient::new(None, 3, 1000, 0.0);
    let mut events = Vec::new();
    let event = |number| Line::Event(Event { number, list: None });
    assert!(link.heard(event(2), &mut events).is_ok() && link.heard(Line::Last(3), &mut events).is_ok());
    assert!(events.is_empty());
    assert!(link.heard(event(4), &mut events).is_ok());
    assert!(link.heard(event(6), &mut events).is_err(), "five is missing");
    assert!(link.heard(event(6), &mut events).is_ok(), "the board has no five");
    assert!(link.heard(Line::Last(8), &mut events).is_err(), "seven and eight are missing");
    let numbers: Vec<u64> = events.iter().map(|event| event.number).collect();
    assert_eq!(numbers, [4, 6]);
}

/// One that is connected, on the story's clock, and the discovery service's side of it.
fn connected() -> (calloop::EventLoop<'static, super::super::Ready>, DiscoveryClient, std::net::TcpStream) {
    let turns: calloop::EventLoop<super::super::Ready> = calloop::EventLoop::try_new().unwrap();
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let mut link = DiscoveryClient::new(Some(address), 3, 1000, 100.0);
    let wire = super::super::connect(&turns.handle(), address, super::super::Source::Discovery).unwrap();
    link.connecting(Some(wire), 100.0);
    let (discovery, _) = listener.accept().unwrap();
    for _ in 0..2000 {
        link.work(false, 100.0, &mut Vec::new()).unwrap();
        if matches!(link.state, State::Up { .. }) {
            return (turns, link, discovery);
        }
        std::thread::sleep(std::time::Duration::from_millis(1));
    }
    panic!("it does not come up");
}

/// What the discovery service has said is read once all of it has come.
fn hears(link: &mut DiscoveryClient, bytes: usize, now: f64) -> Result<(), String> {
    let (_, stream) = link.wire.clone().unwrap();
    while stream.peek(&mut vec![0; bytes]).map_or(0, |there| there) < bytes {
        std::thread::yield_now();
    }
    link.work(true, now, &mut Vec::new())
}

#[test]
fn a_watch_that_is_silent_from_its_first_byte_or_stops_within_a_line_is_lost_in_time() {
    let (_turns, mut link, _discovery) = connected();
    assert!(link.due() < 102.0);
    assert_eq!(link.work(false, link.due(), &mut Vec::new()), Err("silent".to_string()));
    for part in ["{\"rev\":4,\"pool\":", "4"] {
        let (_turns, mut link, mut discovery) = connected();
        discovery.write_all(part.as_bytes()).unwrap();
        assert_eq!(hears(&mut link, part.len(), 100.5), Ok(()));
        // Half a line is no sign of incarnation.
        assert!(link.due() < 102.0);
        assert_eq!(link.work(false, link.due(), &mut Vec::new()), Err("silent".to_string()));
    }
}

#[test]
fn a_watch_that_feeds_bytes_without_a_line_is_lost_in_time_and_holds_no_more_than_a_line_may() {
    let (_turns, mut link, mut discovery) = connected();
    let due = link.due();
    let mut now = 100.0;
    while now < due {
        discovery.write_all(b" ").unwrap();
        assert_eq!(hears(&mut link, 1, now), Ok(()));
        now += 0.1;
    }
    assert_eq!(link.work(false, now, &mut Vec::new()), Err("silent".to_string()));
    let (_turns, mut link, mut discovery) = connected();
    discovery.write_all(&[b' '; 1500]).unwrap();
    assert_eq!(hears(&mut link, 1000, 100.1), Err("a line of more than 1000 bytes".to_string()));
}

/// An old connection's line and the change of address are read in one turn, the change first: the line is the new discovery service's
/// to tell, and nothing is lost or taken twice.
#[test]
fn a_line_of_the_old_discovery_in_the_turn_of_the_change_is_asked_of_the_new_one() {
    let (_turns, mut link, mut discovery) = connected();
    let event = "{\"rev\":4}\n";
    discovery.write_all(event.as_bytes()).unwrap();
    let mut events = Vec::new();
    let elsewhere = "127.0.0.1:9".parse().ok();
    assert!(link.told_anew(elsewhere, Vec::new(), 100.2, &mut events).is_some());
    assert_eq!(link.work(true, 100.2, &mut events), Ok(()));
    assert_eq!((events.len(), link.last, link.wants_connection(100.2)), (0, 3, elsewhere));
    // The same while a connection comes up.
    link.connecting(None, 100.2);
    let third = "127.0.0.1:10".parse().ok();
    assert!(link.told_anew(third, Vec::new(), 100.21, &mut events).is_none());
    assert_eq!((link.due(), link.wants_connection(100.21)), (100.21, third));
}

/// Hard case: a discovery service that comes back after 8 s is asked by 300 routers that lost it in one moment.
#[test]
fn many_that_lost_the_discovery_together_come_back_spread_out_and_soon() {
    let begun = 100.0;
    let mut tries = 0;
    let mut back: Vec<f64> = Vec::new();
    for _ in 0..300 {
        let mut link = DiscoveryClient::new("127.0.0.1:9".parse().ok(), 3, 1000, begun);
        link.lost("closed", begun);
        while link.due() < begun + 8.0 {
            tries += 1;
            let now = link.due();
            link.connecting(None, now);
        }
        back.push(link.due() - begun - 8.0);
    }
    back.sort_by(f64::total_cmp);
    let busiest =
        back.iter().map(|at| back.iter().filter(|other| (*other - at).abs() < 0.01).count()).max().unwrap();
    assert!(back[299] <= LONGEST_RETRY, "asked again {} s after its return", back[299]);
    assert!(busiest < 60, "{busiest} of 300 within 20 ms");
    assert!(tries < 300 * 40, "{tries} tries while it was away");
}

use super::super::event_source::{EventSource, ReadyEvents};
use super::super::sockets::begin_connect;
use super::*;
use calloop::EventLoop;
use std::io::Write;

#[test]
fn a_discovery_that_stops_is_asked_again_well_before_its_events_count_as_told() {
    let turns: EventLoop<ReadyEvents> = EventLoop::try_new().unwrap();
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let mut client = DiscoveryClient::new(Some(address), 3, 1000, 100.0);
    let wire = || begin_connect(&turns.handle(), address, EventSource::Discovery).unwrap();
    client.connecting(Some(wire()), 100.0);
    let (mut discovery, _) = listener.accept().unwrap();
    discovery.write_all(b"3\n").unwrap();
    while !matches!(client.state, State::Up { .. }) || client.is_away {
        client.work(true, 100.0, &mut Vec::new()).unwrap();
    }
    // It says nothing more; the next connection does not come up, the one after that does.
    let silent = client.due();
    assert_eq!(client.work(false, silent, &mut Vec::new()), Err(DiscoveryError::Silent));
    client.lost("silent", silent);
    let again = client.due();
    assert_eq!(client.wants_connection(again), Some(address));
    client.connecting(Some(wire()), again);
    let failed = client.due();
    client.lost("no connection came up", failed);
    assert!(client.due() < 100.0 + 3.0, "{}", client.due());
}

#[test]
fn events_are_applied_once_in_order_and_a_gap_is_asked_for_once() {
    let mut client = DiscoveryClient::new(None, 3, 1000, 0.0);
    let mut events = Vec::new();
    let event = |number| Line::Event(Event { number, list: None });
    assert!(
        client.take_line(event(2), &mut events).is_ok()
            && client.take_line(Line::LastNumber(3), &mut events).is_ok()
    );
    assert!(events.is_empty());
    assert!(client.take_line(event(4), &mut events).is_ok());
    assert!(client.take_line(event(6), &mut events).is_err(), "five is missing");
    assert!(client.take_line(event(6), &mut events).is_ok(), "the board has no five");
    assert!(client.take_line(Line::LastNumber(8), &mut events).is_err(), "seven and eight are missing");
    let numbers: Vec<u64> = events.iter().map(|event| event.number).collect();
    assert_eq!(numbers, [4, 6]);
}

/// One that is connected, on the story's clock, and the discovery service's side of it.
fn connected() -> (EventLoop<'static, ReadyEvents>, DiscoveryClient, std::net::TcpStream) {
    let turns: EventLoop<ReadyEvents> = EventLoop::try_new().unwrap();
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let mut client = DiscoveryClient::new(Some(address), 3, 1000, 100.0);
    let wire = begin_connect(&turns.handle(), address, EventSource::Discovery).unwrap();
    client.connecting(Some(wire), 100.0);
    let (discovery, _) = listener.accept().unwrap();
    for _ in 0..2000 {
        client.work(false, 100.0, &mut Vec::new()).unwrap();
        if matches!(client.state, State::Up { .. }) {
            return (turns, client, discovery);
        }
        std::thread::sleep(std::time::Duration::from_millis(1));
    }
    panic!("it does not come up");
}

/// What the discovery service has said is read once all of it has come.
fn hears(client: &mut DiscoveryClient, bytes: usize, now: f64) -> Result<(), DiscoveryError> {
    let stream = client.connection.as_ref().unwrap().stream.clone();
    while stream.peek(&mut vec![0; bytes]).map_or(0, |there| there) < bytes {
        std::thread::yield_now();
    }
    client.work(true, now, &mut Vec::new())
}

#[test]
fn a_watch_that_is_silent_from_its_first_byte_or_stops_within_a_line_is_lost_in_time() {
    let (_turns, mut client, _discovery) = connected();
    assert!(client.due() < 102.0);
    assert_eq!(client.work(false, client.due(), &mut Vec::new()), Err(DiscoveryError::Silent));
    for part in ["{\"rev\":4,\"pool\":", "4"] {
        let (_turns, mut client, mut discovery) = connected();
        discovery.write_all(part.as_bytes()).unwrap();
        assert_eq!(hears(&mut client, part.len(), 100.5), Ok(()));
        // Half a line is no sign of life.
        assert!(client.due() < 102.0);
        assert_eq!(client.work(false, client.due(), &mut Vec::new()), Err(DiscoveryError::Silent));
    }
}

#[test]
fn a_watch_that_feeds_bytes_without_a_line_is_lost_in_time_and_holds_no_more_than_a_line_may() {
    let (_turns, mut client, mut discovery) = connected();
    let due = client.due();
    let mut now = 100.0;
    while now < due {
        discovery.write_all(b" ").unwrap();
        assert_eq!(hears(&mut client, 1, now), Ok(()));
        now += 0.1;
    }
    assert_eq!(client.work(false, now, &mut Vec::new()), Err(DiscoveryError::Silent));
    let (_turns, mut client, mut discovery) = connected();
    discovery.write_all(&[b' '; 1500]).unwrap();
    assert_eq!(hears(&mut client, 1000, 100.1), Err(DiscoveryError::LineTooLong(1000)));
}

/// An old connection's line and the change of address are read in one turn, the change first: the line is the new discovery service's
/// to tell, and nothing is lost or taken twice.
#[test]
fn a_line_of_the_old_discovery_in_the_turn_of_the_change_is_asked_of_the_new_one() {
    let (_turns, mut client, mut discovery) = connected();
    let event = "{\"rev\":4}\n";
    discovery.write_all(event.as_bytes()).unwrap();
    let mut events = Vec::new();
    let elsewhere = "127.0.0.1:9".parse().ok();
    assert!(client.reconfigure(elsewhere, Vec::new(), 100.2, &mut events).is_some());
    assert_eq!(client.work(true, 100.2, &mut events), Ok(()));
    assert_eq!((events.len(), client.last_event, client.wants_connection(100.2)), (0, 3, elsewhere));
    // The same while a connection comes up.
    client.connecting(None, 100.2);
    let third = "127.0.0.1:10".parse().ok();
    assert!(client.reconfigure(third, Vec::new(), 100.21, &mut events).is_none());
    assert_eq!((client.due(), client.wants_connection(100.21)), (100.21, third));
}

/// Hard case: a discovery service that comes back after 8 s is asked by 300 routers that lost it in one moment.
#[test]
fn many_that_lost_the_discovery_together_come_back_spread_out_and_soon() {
    let begun = 100.0;
    let mut tries = 0;
    let mut back: Vec<f64> = Vec::new();
    for _ in 0..300 {
        let mut client = DiscoveryClient::new("127.0.0.1:9".parse().ok(), 3, 1000, begun);
        client.lost("closed", begun);
        while client.due() < begun + 8.0 {
            tries += 1;
            let now = client.due();
            client.connecting(None, now);
        }
        back.push(client.due() - begun - 8.0);
    }
    back.sort_by(f64::total_cmp);
    let busiest =
        back.iter().map(|at| back.iter().filter(|other| (*other - at).abs() < 0.01).count()).max().unwrap();
    assert!(back[299] <= MAX_BACKOFF, "asked again {} s after its return", back[299]);
    assert!(busiest < 60, "{busiest} of 300 within 20 ms");
    assert!(tries < 300 * 40, "{tries} tries while it was away");
}

use super::super::event_source::{EventSource, ReadyEvents};
use super::super::sockets::begin_connect;
use super::*;
use calloop::EventLoop;
use std::io::Write;

/// 3 s are well within the 4 s after which a router is held to know the events of a silent service.
#[test]
fn a_silent_service_is_reconnected_within_3_s() {
    let event_loop: EventLoop<ReadyEvents> = EventLoop::try_new().unwrap();
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let mut client = DiscoveryClient::new(Some(address), 3, 1000, 100.0);
    let connect = || begin_connect(&event_loop.handle(), address, EventSource::Discovery).unwrap();
    client.set_connecting(Some(connect()), 100.0);
    let (mut discovery, _) = listener.accept().unwrap();
    discovery.write_all(b"3\n").unwrap();
    while !matches!(client.state, State::Up { .. }) || client.is_lost {
        client.process_io(true, 100.0, &mut Vec::new()).unwrap();
    }
    // The service sends nothing more. The next connection does not come up; the client then schedules another one.
    let silent_at = client.due();
    assert_eq!(client.process_io(false, silent_at, &mut Vec::new()), Err(DiscoveryError::Silent));
    client.disconnect("silent", silent_at);
    let retry_at = client.due();
    assert_eq!(client.wants_connection(retry_at), Some(address));
    client.set_connecting(Some(connect()), retry_at);
    let timed_out_at = client.due();
    client.disconnect("no connection came up", timed_out_at);
    assert!(client.due() < 100.0 + 3.0, "{}", client.due());
}

#[test]
fn events_are_applied_once_in_order_and_a_missing_one_is_requested_once() {
    let mut client = DiscoveryClient::new(None, 3, 1000, 0.0);
    let mut events = Vec::new();
    let event = |number| Line::Event(Event { number, list: None });
    assert!(
        client.take_line(event(2), &mut events).is_ok()
            && client.take_line(Line::LastNumber(3), &mut events).is_ok()
    );
    assert!(events.is_empty());
    assert!(client.take_line(event(4), &mut events).is_ok());
    assert!(client.take_line(event(6), &mut events).is_err(), "event 5 is missing and is requested again");
    assert!(client.take_line(event(6), &mut events).is_ok(), "the service no longer has event 5");
    assert!(client.take_line(Line::LastNumber(8), &mut events).is_err(), "events 7 and 8 are missing");
    let numbers: Vec<u64> = events.iter().map(|event| event.number).collect();
    assert_eq!(numbers, [4, 6]);
}

/// A connected client, with the test's own clock, and the discovery service's side of the connection.
fn connected() -> (EventLoop<'static, ReadyEvents>, DiscoveryClient, std::net::TcpStream) {
    let event_loop: EventLoop<ReadyEvents> = EventLoop::try_new().unwrap();
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let mut client = DiscoveryClient::new(Some(address), 3, 1000, 100.0);
    let connection = begin_connect(&event_loop.handle(), address, EventSource::Discovery).unwrap();
    client.set_connecting(Some(connection), 100.0);
    let (discovery, _) = listener.accept().unwrap();
    for _ in 0..2000 {
        client.process_io(false, 100.0, &mut Vec::new()).unwrap();
        if matches!(client.state, State::Up { .. }) {
            return (event_loop, client, discovery);
        }
        std::thread::sleep(std::time::Duration::from_millis(1));
    }
    panic!("the connection does not come up");
}

/// Lets the client read once the given number of bytes from the service has arrived.
fn read_once_arrived(client: &mut DiscoveryClient, bytes: usize, now: f64) -> Result<(), DiscoveryError> {
    let stream = client.connection.as_ref().unwrap().stream.clone();
    while stream.peek(&mut vec![0; bytes]).map_or(0, |arrived| arrived) < bytes {
        std::thread::yield_now();
    }
    client.process_io(true, now, &mut Vec::new())
}

#[test]
fn a_connection_silent_from_the_start_or_stopped_within_a_line_times_out() {
    let (_event_loop, mut client, _discovery) = connected();
    assert!(client.due() < 102.0);
    assert_eq!(client.process_io(false, client.due(), &mut Vec::new()), Err(DiscoveryError::Silent));
    for part in ["{\"rev\":4,\"pool\":", "4"] {
        let (_event_loop, mut client, mut discovery) = connected();
        discovery.write_all(part.as_bytes()).unwrap();
        assert_eq!(read_once_arrived(&mut client, part.len(), 100.5), Ok(()));
        // An incomplete line does not extend the time-out.
        assert!(client.due() < 102.0);
        assert_eq!(client.process_io(false, client.due(), &mut Vec::new()), Err(DiscoveryError::Silent));
    }
}

#[test]
fn a_connection_that_sends_bytes_without_completing_a_line_times_out_and_buffers_at_most_one_line() {
    let (_event_loop, mut client, mut discovery) = connected();
    let due = client.due();
    let mut now = 100.0;
    while now < due {
        discovery.write_all(b" ").unwrap();
        assert_eq!(read_once_arrived(&mut client, 1, now), Ok(()));
        now += 0.1;
    }
    assert_eq!(client.process_io(false, now, &mut Vec::new()), Err(DiscoveryError::Silent));
    let (_event_loop, mut client, mut discovery) = connected();
    discovery.write_all(&[b' '; 1500]).unwrap();
    assert_eq!(read_once_arrived(&mut client, 1000, 100.1), Err(DiscoveryError::LineTooLong(1000)));
}

/// A line on the old connection and a change of address fall into one turn, and the change is handled first. The line
/// is then left to the new service, so that no event is lost or applied twice.
#[test]
fn a_line_of_the_old_service_in_the_turn_of_an_address_change_is_left_to_the_new_service() {
    let (_event_loop, mut client, mut discovery) = connected();
    let event = "{\"rev\":4}\n";
    discovery.write_all(event.as_bytes()).unwrap();
    let mut events = Vec::new();
    let second = "127.0.0.1:9".parse().ok();
    assert!(client.reconfigure(second, Vec::new(), 100.2, &mut events).is_some());
    assert_eq!(client.process_io(true, 100.2, &mut events), Ok(()));
    assert_eq!((events.len(), client.last_event, client.wants_connection(100.2)), (0, 3, second));
    // The same after a failed attempt to connect to the new address.
    client.set_connecting(None, 100.2);
    let third = "127.0.0.1:10".parse().ok();
    assert!(client.reconfigure(third, Vec::new(), 100.21, &mut events).is_none());
    assert_eq!((client.due(), client.wants_connection(100.21)), (100.21, third));
}

/// 300 routers lose the discovery service at the same moment and it returns after 8 s. They must not all reconnect at
/// once, nor take long to do so.
#[test]
fn clients_that_lost_the_service_together_reconnect_spread_out_and_soon() {
    let lost_at = 100.0;
    let mut attempts = 0;
    let mut delays: Vec<f64> = Vec::new();
    for _ in 0..300 {
        let mut client = DiscoveryClient::new("127.0.0.1:9".parse().ok(), 3, 1000, lost_at);
        client.disconnect("closed", lost_at);
        while client.due() < lost_at + 8.0 {
            attempts += 1;
            let now = client.due();
            client.set_connecting(None, now);
        }
        delays.push(client.due() - lost_at - 8.0);
    }
    delays.sort_by(f64::total_cmp);
    let most_at_once = delays
        .iter()
        .map(|delay| delays.iter().filter(|other| (*other - delay).abs() < 0.01).count())
        .max()
        .unwrap();
    assert!(delays[299] <= MAX_BACKOFF, "last client reconnects {} s after the return", delays[299]);
    assert!(most_at_once < 60, "{most_at_once} of 300 within 20 ms");
    assert!(attempts < 300 * 40, "{attempts} attempts while the service was unavailable");
}

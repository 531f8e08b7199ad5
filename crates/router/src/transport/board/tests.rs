use super::*;
use std::io::Write;

#[test]
fn a_board_that_stops_is_asked_again_well_before_its_events_count_as_told() {
    let turns: calloop::EventLoop<super::super::Ready> = calloop::EventLoop::try_new().unwrap();
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let mut link = BoardLink::new(Some(address), 3, 1000, 100.0);
    let wire = || super::super::connect(&turns.handle(), address, super::super::Source::Board).unwrap();
    link.connecting(Some(wire()), 100.0);
    let (mut board, _) = listener.accept().unwrap();
    board.write_all(b"3\n").unwrap();
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
    let mut link = BoardLink::new(None, 3, 1000, 0.0);
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

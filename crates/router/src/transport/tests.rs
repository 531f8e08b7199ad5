use super::clock::{MonotonicClock, WallClock};
use super::event_loop::{wait, TURN_INTERVAL};
use super::event_source::{watch, EventSource, ReadyEvents};
use calloop::EventLoop;
use std::time::Duration;

/// Guards against a Unix clock that is set while BGP sessions run: no hold time may end sooner or later because of it.
#[test]
fn a_due_time_of_the_speaker_is_equally_far_away_whatever_the_unix_clock_reads() {
    for unix in [0.0, 1e9, 1e9 + 3600.0, 1e9 - 3600.0] {
        assert_eq!(MonotonicClock::to_unix(12.5, 10.0, unix), unix + 2.5);
    }
    assert_eq!(MonotonicClock::to_unix(9.0, 10.0, 1e9), 1e9);
    assert_eq!(MonotonicClock::to_unix(f64::INFINITY, 10.0, 1e9), f64::INFINITY);
}

#[test]
fn the_wall_clock_continues_from_its_last_reading_when_the_unix_clock_is_set_back() {
    let mut clock = WallClock::default();
    let read: Vec<f64> = [100.0, 101.0, 41.0, 42.5, 42.0, 43.0].map(|unix| clock.read_at(unix)).into();
    assert_eq!(read, [100.0, 101.0, 101.0, 102.5, 102.5, 103.5]);
}

/// The process stands still after the system has reported what is ready and before the turn begins. Bytes that arrive
/// in that time must be known to the turn.
#[test]
fn bytes_that_arrive_while_the_process_stands_still_after_a_poll_are_known_to_the_turn() {
    let mut event_loop: EventLoop<ReadyEvents> = EventLoop::try_new().unwrap();
    let (near, mut far) = std::os::unix::net::UnixStream::pair().unwrap();
    watch(&event_loop.handle(), near, EventSource::Discovery).unwrap();
    let (mut clock, mut ready) = (WallClock::default(), ReadyEvents::default());
    let is_readable = |ready: &ReadyEvents| ready.sources.iter().any(|(_, readiness)| readiness.readable);
    let now = clock.read();
    wait(&mut event_loop, &mut clock, now, &mut ready).unwrap();
    assert!(!is_readable(&ready));
    let pause_then_send = move |_, _: &mut (), _: &mut ReadyEvents| {
        std::thread::sleep(Duration::from_secs_f64(3.0 * TURN_INTERVAL));
        std::io::Write::write_all(&mut far, b"x").unwrap();
        calloop::timer::TimeoutAction::Drop
    };
    event_loop.handle().insert_source(calloop::timer::Timer::immediate(), pause_then_send).unwrap();
    let now = clock.read();
    wait(&mut event_loop, &mut clock, now + TURN_INTERVAL, &mut ready).unwrap();
    assert!(is_readable(&ready));
}

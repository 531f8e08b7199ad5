use super::clock::{MonotonicClock, WallClock};
use super::event_loop::{wait, TURN_INTERVAL};
use super::event_source::{watch, EventSource, ReadyEvents};
use calloop::EventLoop;
use std::time::Duration;

/// Hard case: the Unix clock is set while sessions run; no hold time ends sooner or later for it.
#[test]
fn a_due_time_of_the_speaker_is_as_far_away_whatever_the_unix_clock_says() {
    for unix in [0.0, 1e9, 1e9 + 3600.0, 1e9 - 3600.0] {
        assert_eq!(MonotonicClock::to_unix(12.5, 10.0, unix), unix + 2.5);
    }
    assert_eq!(MonotonicClock::to_unix(9.0, 10.0, 1e9), 1e9);
    assert_eq!(MonotonicClock::to_unix(f64::INFINITY, 10.0, 1e9), f64::INFINITY);
}

#[test]
fn a_clock_that_is_set_back_holds_nothing_up() {
    let mut clock = WallClock::default();
    let read: Vec<f64> = [100.0, 101.0, 41.0, 42.5, 42.0, 43.0].map(|unix| clock.at(unix)).into();
    assert_eq!(read, [100.0, 101.0, 101.0, 102.5, 102.5, 103.5]);
}

/// The process is stopped after the system has told what is ready, and before the turn.
#[test]
fn what_comes_while_we_stand_still_behind_the_systems_word_is_known_to_the_turn() {
    let mut event_loop: EventLoop<ReadyEvents> = EventLoop::try_new().unwrap();
    let (near, mut far) = std::os::unix::net::UnixStream::pair().unwrap();
    watch(&event_loop.handle(), near, EventSource::Discovery).unwrap();
    let (mut clock, mut ready) = (WallClock::default(), ReadyEvents::default());
    let readable = |ready: &ReadyEvents| ready.sources.iter().any(|(_, readiness)| readiness.readable);
    let now = clock.read();
    wait(&mut event_loop, &mut clock, now, &mut ready).unwrap();
    assert!(!readable(&ready));
    let stands_still = move |_, _: &mut (), _: &mut ReadyEvents| {
        std::thread::sleep(Duration::from_secs_f64(3.0 * TURN_INTERVAL));
        std::io::Write::write_all(&mut far, b"x").unwrap();
        calloop::timer::TimeoutAction::Drop
    };
    event_loop.handle().insert_source(calloop::timer::Timer::immediate(), stands_still).unwrap();
    let now = clock.read();
    wait(&mut event_loop, &mut clock, now + TURN_INTERVAL, &mut ready).unwrap();
    assert!(readable(&ready));
}

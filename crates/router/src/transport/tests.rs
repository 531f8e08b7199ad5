use super::{Clock, Steady};

/// Hard case: the Unix clock is set while sessions run; no hold time ends sooner or later for it.
#[test]
fn a_due_time_of_the_speaker_is_as_far_away_whatever_the_unix_clock_says() {
    for unix in [0.0, 1e9, 1e9 + 3600.0, 1e9 - 3600.0] {
        assert_eq!(Steady::on_unix(12.5, 10.0, unix), unix + 2.5);
    }
    assert_eq!(Steady::on_unix(9.0, 10.0, 1e9), 1e9);
    assert_eq!(Steady::on_unix(f64::INFINITY, 10.0, 1e9), f64::INFINITY);
}

#[test]
fn a_clock_that_is_set_back_holds_nothing_up() {
    let mut clock = Clock::default();
    let read: Vec<f64> = [100.0, 101.0, 41.0, 42.5, 42.0, 43.0].map(|unix| clock.at(unix)).into();
    assert_eq!(read, [100.0, 101.0, 101.0, 102.5, 102.5, 103.5]);
}

//! Microseconds on the wire, seconds inside.

const MICROSECONDS: f64 = 1e6;

pub fn seconds(micros: u64) -> f64 {
    micros as f64 / MICROSECONDS
}

pub fn micros(seconds: f64) -> u64 {
    (seconds * MICROSECONDS).round().max(0.0) as u64
}

/// The first microsecond that is not before a time.
pub fn micros_not_before(seconds: f64) -> u64 {
    (seconds * MICROSECONDS).ceil() as u64
}

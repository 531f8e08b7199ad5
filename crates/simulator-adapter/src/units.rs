//! Conversion between microseconds, which the wire uses, and seconds, which the program uses.

const MICROS_PER_SECOND: f64 = 1e6;

pub fn seconds(micros: u64) -> f64 {
    micros as f64 / MICROS_PER_SECOND
}

pub fn micros(seconds: f64) -> u64 {
    (seconds * MICROS_PER_SECOND).round().max(0.0) as u64
}

/// The time rounded up to the next microsecond, so that it is not before the given one.
pub fn micros_not_before(seconds: f64) -> u64 {
    (seconds * MICROS_PER_SECOND).ceil() as u64
}

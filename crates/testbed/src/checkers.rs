//! Checkers, which share no code with what they check.

pub mod failure_detection;
pub mod request_rules;

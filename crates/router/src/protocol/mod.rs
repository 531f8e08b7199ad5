//! Pure codecs over bytes, without input or output.

pub mod board;
pub mod engine;
pub mod mysql;
pub mod statement;

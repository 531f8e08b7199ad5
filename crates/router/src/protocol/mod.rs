//! Pure codecs over bytes, without input or output.

pub mod discovery;
pub mod engine;
pub mod mysql;
pub mod statement;

/// The `name=value` pairs of fields that are parted by commas; what is none is left out.
fn pairs(fields: &str) -> impl Iterator<Item = (&str, &str)> {
    fields.split(',').filter_map(|field| field.split_once('='))
}

#[cfg(test)]
mod golden_tests;
#[cfg(test)]
mod tests;

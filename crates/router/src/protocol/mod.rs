//! Parsers and writers of the router's protocols. They work on bytes only and do no input or output.

pub mod discovery;
pub mod engine;
pub mod mysql;
pub mod result_rows;
pub mod statement;

/// The `name=value` pairs of a comma-separated list. Items without `=` are skipped.
fn pairs(fields: &str) -> impl Iterator<Item = (&str, &str)> {
    fields.split(',').filter_map(|field| field.split_once('='))
}

#[cfg(test)]
mod golden_tests;
#[cfg(test)]
mod tests;

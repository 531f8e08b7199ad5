//! Writes a result to a client piece by piece, so that a session does not hold the whole result in the form of the MySQL
//! protocol, which can be more than twice as long as the rows.

use crate::protocol::engine::{columns, rows, COLUMNS};
use crate::protocol::mysql;
use crate::protocol::result_rows::ResultRows;

/// A result of which a part has not been written yet.
pub struct ResultStream {
    rows: ResultRows,
    /// The offset of the first row that has not been written; absent until the column descriptions have been.
    next_row: Option<usize>,
}

impl ResultStream {
    pub fn new(rows: ResultRows) -> ResultStream {
        ResultStream { rows, next_row: None }
    }

    /// Appends the next packets of the result set to `out`: as many as keep it within `max_len` bytes, and at least one.
    /// Returns whether the result set is complete.
    pub fn write_next(&mut self, out: &mut Vec<u8>, sequence: &mut u8, max_len: usize) -> bool {
        let mut next_row = self.next_row.unwrap_or_else(|| {
            let names: Vec<String> = (1..=COLUMNS).map(|number| format!("column_{number}")).collect();
            mysql::write_columns(out, sequence, &names);
            0
        });
        for row in rows(&self.rows.text()[next_row..]) {
            if !out.is_empty() && out.len() + mysql::max_row_packet(row.len(), COLUMNS) > max_len {
                self.next_row = Some(next_row);
                return false;
            }
            mysql::write_row(out, sequence, columns(row));
            // A row ends with a line feed.
            next_row += row.len() + 1;
        }
        mysql::write_eof(out, sequence);
        true
    }
}

#[cfg(test)]
#[path = "result_stream/tests.rs"]
mod tests;

//! The rows of a complete result, with the memory that is reserved for them.

use crate::memory_budget::Reservation;

/// The rows of a result as engines send them: a tab between columns and a line feed after each row.
#[derive(Debug, Default)]
pub struct ResultRows {
    text: Vec<u8>,
    /// Released with the rows.
    memory: Vec<Reservation>,
}

impl ResultRows {
    /// Rows for which memory is reserved.
    pub fn new(text: Vec<u8>, memory: Reservation) -> ResultRows {
        ResultRows { text, memory: vec![memory] }
    }

    /// The text of all rows.
    pub fn text(&self) -> &[u8] {
        &self.text
    }

    /// Keeps a further reservation for as long as the rows are kept.
    pub fn keep_reserved(&mut self, memory: Reservation) {
        self.memory.push(memory);
    }
}

impl From<Vec<u8>> for ResultRows {
    fn from(text: Vec<u8>) -> ResultRows {
        ResultRows { text, memory: Vec::new() }
    }
}

impl PartialEq for ResultRows {
    fn eq(&self, other: &ResultRows) -> bool {
        self.text == other.text
    }
}

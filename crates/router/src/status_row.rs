//! The rows of the status tables that answer `SHOW` statements.

/// One row of a status table.
#[derive(Clone, Debug, PartialEq)]
pub struct StatusRow {
    /// What the row is about.
    pub subject: String,
    /// The state of the subject.
    pub state: String,
    /// The reason for the state, or further details.
    pub detail: String,
}

impl StatusRow {
    /// The names of the columns.
    pub const COLUMNS: [&'static str; 3] = ["what", "state", "why"];

    pub fn new(subject: impl Into<String>, state: impl Into<String>, detail: impl Into<String>) -> StatusRow {
        StatusRow { subject: subject.into(), state: state.into(), detail: detail.into() }
    }

    /// The cells of the row, in the order of [`Self::COLUMNS`].
    pub fn cells(&self) -> [&str; 3] {
        [&self.subject, &self.state, &self.detail]
    }
}

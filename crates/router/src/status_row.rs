//! The rows of the tables that `SHOW` answers with.

/// One row: what it is about, how that stands, and why.
#[derive(Clone, Debug, PartialEq)]
pub struct StatusRow {
    pub subject: String,
    pub state: String,
    pub detail: String,
}

impl StatusRow {
    /// The names of the columns.
    pub const COLUMNS: [&'static str; 3] = ["what", "state", "why"];

    pub fn new(subject: impl Into<String>, state: impl Into<String>, detail: impl Into<String>) -> StatusRow {
        StatusRow { subject: subject.into(), state: state.into(), detail: detail.into() }
    }

    /// Its cells, in the order of the columns.
    pub fn cells(&self) -> [&str; 3] {
        [&self.subject, &self.state, &self.detail]
    }
}

//! Results whose further pages wait for memory.

use super::{ConnectionError, ConnectionPool};
use crate::routing::AttemptId;

impl ConnectionPool {
    /// Adds attempts whose further pages wait for memory. The number of entries is at most about twice that of the open
    /// attempts.
    pub(super) fn add_waiting_for_pages(&mut self, id: u64, attempts: Vec<AttemptId>) {
        if self.waiting_for_pages.len() > 2 * self.connection_by_attempt.len() {
            let open = &self.connection_by_attempt;
            self.waiting_for_pages.retain(|(_, attempt)| open.contains_key(attempt));
        }
        self.waiting_for_pages.extend(attempts.into_iter().map(|attempt| (id, attempt)));
    }

    /// Requests the further pages of results that waited for memory, the longest waiting first, as far as there is
    /// memory now.
    pub fn request_waiting_pages(&mut self, now: f64) {
        while let Some(&(id, attempt)) = self.waiting_for_pages.front() {
            let requested = self.connections.update(id, |connection| connection.request_pages(attempt, now));
            match requested {
                Some(Ok(true)) => return,
                Some(Ok(false)) | None => {}
                Some(Err(error)) => self.fail(id, ConnectionError::Io(error), now),
            }
            self.waiting_for_pages.pop_front();
        }
    }

    /// Whether results wait for memory.
    pub fn is_short_of_memory(&self) -> bool {
        !self.waiting_for_pages.is_empty()
    }
}

//! Collects an engine's answers to one attempt until the reply is complete.

use crate::memory_budget::{MemoryBudget, Reservation};
use crate::protocol::engine::{self, AnswerKind, Malformed, Pages};
use crate::protocol::result_rows::ResultRows;
use crate::routing::{AttemptId, Reply};
use cleatgw::MeasuredCost;
use std::rc::Rc;

const MS_PER_S: f64 = 1e3;

/// An attempt whose request was put on the connection.
pub struct Exchange {
    pub attempt: AttemptId,
    /// The offset of the end of its request among all bytes ever put on the connection.
    pub end_offset: u64,
    /// The pages received so far; absent until the first page arrives.
    pub pages: Option<Pages>,
    /// The memory that is reserved for the further pages.
    page_memory: Reservation,
    /// When the first page arrived, if the further ones were not requested yet for want of memory.
    waits_for_memory_since: Option<f64>,
    /// How long the further pages were not requested for want of memory, in seconds.
    memory_wait: f64,
}

impl Exchange {
    /// An exchange whose request ends at this offset, and of which no answer has arrived.
    pub fn new(attempt: AttemptId, end_offset: u64) -> Exchange {
        Exchange {
            attempt,
            end_offset,
            pages: None,
            page_memory: Reservation::default(),
            waits_for_memory_since: None,
            memory_wait: 0.0,
        }
    }

    /// Processes one answer, and returns the reply if it is complete. Requests for further pages are appended to
    /// `requests`, unless `results` has no room for them: then [`Self::waits_for_memory`] holds.
    ///
    /// # Errors
    /// The answer is malformed or does not fit the answers received before.
    pub fn process_answer(
        &mut self,
        answer: &engine::Answer,
        results: &Rc<MemoryBudget>,
        now: f64,
        requests: &mut Vec<u8>,
    ) -> Result<Option<Reply>, Malformed> {
        match (answer.kind, &mut self.pages) {
            (AnswerKind::Completed, None) => self.process_first_page(answer, results, now, requests),
            // A duplicate of the first page; the other pages were already requested.
            (AnswerKind::Completed, Some(_)) => Ok(None),
            (AnswerKind::Page, None) => Err(Malformed("a further page before the first one")),
            (AnswerKind::Page, Some(pages)) => {
                pages.add(answer.page.unwrap_or(0), answer.body)?;
                let reply = self.take_complete();
                if reply.is_some() {
                    engine::write_close(requests, answer.id);
                }
                Ok(reply)
            }
            (AnswerKind::EngineError, _) => Ok(Some(Reply::EngineError)),
            (AnswerKind::EngineFull, None) => Ok(Some(Reply::EngineFull)),
            (AnswerKind::DeadlinePassed, None) => Ok(Some(Reply::DeadlinePassed)),
            _ => Err(Malformed("an answer that does not fit the state of its attempt")),
        }
    }

    /// Stores the first page of a result and requests the others.
    fn process_first_page(
        &mut self,
        answer: &engine::Answer,
        results: &Rc<MemoryBudget>,
        now: f64,
        requests: &mut Vec<u8>,
    ) -> Result<Option<Reply>, Malformed> {
        let pages = self.pages.insert(Pages::new(answer.pages.unwrap_or(1), answer.body)?);
        let measured = answer.work.zip(answer.peak);
        pages.measured = measured.map(|(ms, memory_mb)| MeasuredCost { work: ms / MS_PER_S, memory_mb });
        self.request_pages(answer.id, results, now, requests);
        Ok(self.take_complete())
    }

    /// Whether the first page has arrived, and the further ones were not requested yet for want of memory.
    pub fn waits_for_memory(&self) -> bool {
        self.waits_for_memory_since.is_some()
    }

    /// Reserves memory for the pages after the first one, and requests them. Does nothing if there is no room for them.
    pub fn request_pages(&mut self, id: &str, results: &Rc<MemoryBudget>, now: f64, requests: &mut Vec<u8>) {
        let Some(pages) = &self.pages else { return };
        let Some(reservation) = results.reserve(pages.max_missing_bytes()) else {
            self.waits_for_memory_since.get_or_insert(now);
            return;
        };
        self.page_memory = reservation;
        self.memory_wait = self.waits_for_memory_since.take().map_or(0.0, |since| now - since);
        for number in pages.after_first() {
            engine::write_page_request(requests, id, number);
        }
    }

    /// Takes the result once all of its pages have arrived, with the memory that is reserved for it.
    fn take_complete(&mut self) -> Option<Reply> {
        let pages = self.pages.as_mut()?;
        let text = pages.take_complete()?;
        let mut memory = std::mem::take(&mut self.page_memory);
        // The pages may have been shorter than they could be. A result of one page has nothing reserved here.
        memory.try_resize(text.len().min(memory.bytes()));
        let rows = ResultRows::new(text, memory);
        Some(Reply::Completed { rows, measured: pages.measured, memory_wait: self.memory_wait })
    }
}

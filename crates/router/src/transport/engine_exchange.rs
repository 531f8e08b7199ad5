//! Collects an engine's answers to one attempt until the reply is complete.

use crate::protocol::engine::{self, AnswerKind, Malformed, Pages};
use crate::routing::{AttemptId, Reply};
use cleatgw::MeasuredCost;

const MS_PER_S: f64 = 1e3;

/// An attempt whose request was put on the connection.
pub struct Exchange {
    pub attempt: AttemptId,
    /// The offset of the end of its request among all bytes ever put on the connection.
    pub end_offset: u64,
    /// The pages received so far; absent until the first page arrives.
    pub pages: Option<Pages>,
}

impl Exchange {
    /// Processes one answer, and returns the reply if it is complete. Requests for further pages are appended to
    /// `requests`.
    ///
    /// # Errors
    /// The answer is malformed or does not fit the answers received before.
    pub fn process_answer(
        &mut self,
        answer: &engine::Answer,
        requests: &mut Vec<u8>,
    ) -> Result<Option<Reply>, Malformed> {
        match (answer.kind, &mut self.pages) {
            (AnswerKind::Completed, None) => self.process_first_page(answer, requests),
            // A duplicate of the first page; the other pages were already requested.
            (AnswerKind::Completed, Some(_)) => Ok(None),
            (AnswerKind::Page, None) => Err(Malformed("a further page before the first one")),
            (AnswerKind::Page, Some(pages)) => {
                pages.add(answer.page.unwrap_or(0), answer.body)?;
                let rows = pages.take_complete();
                if rows.is_some() {
                    engine::write_close(requests, answer.id);
                }
                Ok(rows.map(|rows| Reply::Completed { rows, measured: pages.measured }))
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
        requests: &mut Vec<u8>,
    ) -> Result<Option<Reply>, Malformed> {
        let pages = self.pages.insert(Pages::new(answer.pages.unwrap_or(1), answer.body)?);
        let measured = answer.work.zip(answer.peak);
        pages.measured = measured.map(|(ms, memory_mb)| MeasuredCost { work: ms / MS_PER_S, memory_mb });
        for number in pages.after_first() {
            engine::write_page_request(requests, answer.id, number);
        }
        let rows = pages.take_complete();
        Ok(rows.map(|rows| Reply::Completed { rows, measured: pages.measured }))
    }
}

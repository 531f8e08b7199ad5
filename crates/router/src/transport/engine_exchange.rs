//! One attempt on a connection to an engine: the answers to it, up to the complete reply.

use crate::protocol::engine::{self, AnswerKind, Malformed, Pages};
use crate::routing::{AttemptId, Reply};
use cleatgw::MeasuredCost;

const MS_PER_S: f64 = 1e3;

/// An attempt that has left.
pub struct Exchange {
    pub attempt: AttemptId,
    /// Where its request ends in all that was put on the connection.
    pub ends_at: u64,
    pub pages: Option<Pages>,
}

impl Exchange {
    /// Takes one answer; the reply, if that is complete. Requests for more pages go into `requests`.
    pub fn take_reply(
        &mut self,
        answer: &engine::Answer,
        requests: &mut Vec<u8>,
    ) -> Result<Option<Reply>, Malformed> {
        match (answer.kind, &mut self.pages) {
            (AnswerKind::Completed, None) => self.take_first_page(answer, requests),
            // A second copy, whose pages are under way.
            (AnswerKind::Completed, Some(_)) => Ok(None),
            (AnswerKind::Page, None) => Err(Malformed("a page before the first")),
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
            _ => Err(Malformed("an answer out of place")),
        }
    }

    /// The first page of a result: the others are asked for.
    fn take_first_page(
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

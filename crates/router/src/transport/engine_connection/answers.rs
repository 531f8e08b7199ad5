//! Reads an engine's answers and matches them with the attempts on the connection.

use super::super::buffer::ReadOutcome;
use super::super::memory_limits::ENGINE_ALLOWANCE;
use super::{Cancelled, ConnectionError, EngineConnection};
use crate::protocol::engine::{self, AnswerKind};
use crate::routing::{AttemptId, EndedAttempt, Reply};
use std::io;

/// Reading stops for this turn of the event loop when this many bytes were read, so that one engine does not starve the
/// others.
const MAX_READ_PER_TURN: usize = 64 * 1024;

impl EngineConnection {
    /// Reads what is ready, up to `MAX_READ_PER_TURN`, and processes the complete answers.
    pub(super) fn read_answers(
        &mut self,
        now: f64,
        ended: &mut Vec<EndedAttempt>,
    ) -> Result<ReadOutcome, ConnectionError> {
        let mut bytes_read = 0;
        loop {
            let before = self.buffer.input().len();
            let reached = self.read(now)?;
            bytes_read += self.buffer.input().len() - before;
            self.process_answers(now, ended)?;
            if reached != ReadOutcome::LimitReached || bytes_read >= MAX_READ_PER_TURN {
                return Ok(reached);
            }
        }
    }

    /// Reads what is ready, up to the allowance of the input, in which the longest answer fits.
    fn read(&mut self, now: f64) -> io::Result<ReadOutcome> {
        let before = self.buffer.input().len();
        let reached = self.buffer.read(&*self.stream, ENGINE_ALLOWANCE.input)?;
        if self.buffer.input().len() > before {
            self.last_alive_at = now;
            self.last_received_at = now;
            self.pinged_at = None;
            self.known_unresponsive = false;
        }
        self.readable = reached == ReadOutcome::LimitReached;
        Ok(reached)
    }

    /// Takes the attempts whose further pages were not requested for want of memory since the last call.
    pub fn take_waiting_for_pages(&mut self) -> Vec<AttemptId> {
        std::mem::take(&mut self.waiting_for_pages)
    }

    /// Requests the further pages of an attempt's result if there is memory for them now. Returns whether the attempt
    /// still waits for memory.
    ///
    /// # Errors
    /// Writing to the engine fails.
    pub fn request_pages(&mut self, attempt: AttemptId, now: f64) -> io::Result<bool> {
        let found = self.exchanges.iter_mut().find(|(_, exchange)| exchange.attempt == attempt);
        let Some((id, exchange)) = found else { return Ok(false) };
        let mut requests = Vec::new();
        exchange.request_pages(id, &self.results, now, &mut requests);
        let waits_for_memory = exchange.waits_for_memory();
        self.put(&requests);
        self.flush()?;
        Ok(waits_for_memory)
    }

    /// Processes the complete answers in the input.
    fn process_answers(&mut self, now: f64, ended: &mut Vec<EndedAttempt>) -> Result<(), ConnectionError> {
        while let Some(answer) = engine::parse_answer(self.buffer.input())? {
            let length = answer.length;
            let mut requests = Vec::new();
            match answer.kind {
                // The answer to a ping; `read` has already recorded that the engine responds.
                AnswerKind::Pong => {
                    if let Some(Cancelled { attempt, failure, .. }) = self.cancelled.remove(answer.id) {
                        ended.push(EndedAttempt { attempt, result: Err(failure) });
                    }
                }
                AnswerKind::Unknown => {}
                _ => match self.exchanges.get_mut(answer.id) {
                    None => self.answers_dropped += 1,
                    Some(exchange) => {
                        let waited = exchange.waits_for_memory();
                        let reply = exchange.process_answer(&answer, &self.results, now, &mut requests)?;
                        let attempt = exchange.attempt;
                        if exchange.waits_for_memory() && !waited {
                            self.waiting_for_pages.push(attempt);
                        }
                        if let Some(reply) = reply {
                            self.exchanges.remove(answer.id);
                            self.idle_since = now;
                            // A duplicate of this answer, or further pages, may still arrive. They must not be taken
                            // for an answer to the request's next attempt, so the id is not reused on this connection.
                            if !matches!(reply, Reply::Completed { .. }) {
                                self.used_ids.insert(answer.id.to_string());
                            }
                            ended.push(EndedAttempt { attempt, result: Ok(reply) });
                        }
                    }
                },
            }
            self.buffer.consume(length);
            self.partial_answer_since = None;
            if !requests.is_empty() {
                self.put(&requests);
            }
        }
        Ok(())
    }
}

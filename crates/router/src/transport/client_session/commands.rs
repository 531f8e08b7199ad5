//! Handles the commands of a client session and writes the packets that answer them.

use super::result_stream::ResultStream;
use super::{ClientSession, SessionEvent, State};
use crate::protocol::mysql::{self, Command};
use crate::protocol::result_rows::ResultRows;
use crate::protocol::statement::{self, Statement};
use crate::routing::Answer;
use crate::status_row::StatusRow;

impl ClientSession {
    pub(super) fn login(&mut self, body: &[u8]) -> Result<(), mysql::PacketError> {
        let login = mysql::parse_login(body)?;
        if login.has_password {
            let message = format!("access denied for {}: it has no password here", login.user);
            self.error_and_close(mysql::ACCESS_DENIED, &message);
        } else {
            self.ok();
        }
        Ok(())
    }

    pub(super) fn command(&mut self, body: &[u8]) -> Result<Option<SessionEvent>, mysql::PacketError> {
        match mysql::parse_command(body)? {
            Command::Quit => self.state = State::Closed,
            Command::Query(text) => return Ok(self.query(text)),
            Command::Ping | Command::NoOp => self.ok(),
            Command::SetOption => self.send(mysql::write_eof),
            Command::Statistics => return Ok(self.wait_for(SessionEvent::Counters)),
            Command::Kill(session) => {
                return Ok(self.wait_for(SessionEvent::Kill { session, query_only: false }))
            }
            Command::Unknown(number) => {
                self.error(mysql::UNKNOWN_COMMAND, &format!("command {number} is not served"))
            }
        }
        Ok(None)
    }

    fn query(&mut self, text: &[u8]) -> Option<SessionEvent> {
        let event = match statement::parse(text) {
            Ok(Statement::Query(statement)) => SessionEvent::Query(statement),
            Ok(Statement::Kill { session, query_only }) => SessionEvent::Kill { session, query_only },
            Ok(Statement::Show(question)) => SessionEvent::Question(question),
            Ok(Statement::NoOp) => {
                self.ok();
                return None;
            }
            Err(error) => SessionEvent::InvalidQuery(error),
        };
        self.wait_for(event)
    }

    fn wait_for(&mut self, event: SessionEvent) -> Option<SessionEvent> {
        self.state = State::Waiting;
        Some(event)
    }

    /// Answers with OK; the session is idle again, as after each of the answers below.
    pub fn ok(&mut self) {
        self.answer_and_become_idle(mysql::write_ok);
    }

    pub fn error(&mut self, code: mysql::ErrorCode, message: &str) {
        self.answer_and_become_idle(|out, sequence| mysql::write_error(out, sequence, code, message));
    }

    /// Answers with a plain text, as the command for statistics expects.
    pub fn text(&mut self, text: &str) {
        self.answer_and_become_idle(|out, sequence| mysql::write_text(out, sequence, text));
    }

    /// Answers with a status table of the router as a result set.
    pub fn table(&mut self, rows: &[StatusRow]) {
        let names = StatusRow::COLUMNS.map(str::to_string);
        let rows = rows.iter().map(|row| row.cells().into_iter().map(str::as_bytes));
        let mut out = Vec::new();
        let mut sequence = self.sequence;
        mysql::write_result_set(&mut out, &mut sequence, &names, rows);
        if self.buffer.fits_output(out.len()) {
            self.sequence = sequence;
            self.answer_and_become_idle(|buffered, _| buffered.append(&mut out));
        } else {
            self.is_short_of_memory = true;
            self.answer_and_become_idle(|out, sequence| mysql::write_rejected(out, sequence, None));
        }
    }

    fn answer_and_become_idle(&mut self, write: impl FnOnce(&mut Vec<u8>, &mut u8)) {
        self.become_idle();
        self.send(write);
        self.close_if_killed();
    }

    fn become_idle(&mut self) {
        self.state = State::Idle;
        // Packets that arrived after the request have not been handled yet.
        self.has_unhandled_packets = !self.buffer.input().is_empty();
        self.unsent_since = None;
    }

    fn close_if_killed(&mut self) {
        if self.closes_after_answer {
            self.close_after_writing();
        }
    }

    /// Kills the session. If a request is open, the session closes after the answer to it.
    pub fn kill(&mut self) {
        match self.state {
            State::Waiting => self.closes_after_answer = true,
            _ => self.state = State::Closed,
        }
    }

    /// Sends the final answer to the open request.
    pub fn answer(&mut self, answer: Answer, now: f64) {
        self.active_at = now;
        match answer {
            Answer::Completed(rows) => self.result(rows),
            Answer::Rejected { retry_after } => {
                self.answer_and_become_idle(|out, sequence| mysql::write_rejected(out, sequence, retry_after))
            }
            Answer::Failed => self.answer_and_become_idle(mysql::write_failed),
            Answer::Withdrawn => self.answer_and_become_idle(mysql::write_killed),
        }
    }

    /// Begins to write a result, the rest of which follows as the client reads it.
    fn result(&mut self, rows: ResultRows) {
        self.become_idle();
        self.result = Some(ResultStream::new(rows));
        self.flush_or_close();
        self.close_if_killed();
    }
}

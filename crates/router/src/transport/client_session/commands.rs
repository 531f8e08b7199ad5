//! What a client's packets ask for, and the packets that answer them.

use super::{ClientSession, SessionEvent, State};
use crate::protocol::engine::{columns, rows, COLUMNS};
use crate::protocol::mysql::{self, Command};
use crate::protocol::statement::{self, Statement};
use crate::routing::Answer;
use crate::status_row::StatusRow;

impl ClientSession {
    pub(super) fn login(&mut self, body: &[u8]) -> Result<(), mysql::Bad> {
        let login = mysql::login(body)?;
        if login.with_password {
            let words = format!("access denied for {}: it has no password here", login.user);
            self.error_and_close(mysql::DENIED, &words);
        } else {
            self.ok();
        }
        Ok(())
    }

    pub(super) fn command(&mut self, body: &[u8]) -> Result<Option<SessionEvent>, mysql::Bad> {
        match mysql::command(body)? {
            Command::Quit => self.state = State::Closed,
            Command::Query(text) => return Ok(self.query(text)),
            Command::Ping | Command::Harmless => self.ok(),
            Command::SetOption => self.send(mysql::eof),
            Command::Statistics => return Ok(self.wait_for(SessionEvent::Counters)),
            Command::Kill(session) => {
                return Ok(self.wait_for(SessionEvent::Kill { session, query_only: false }))
            }
            Command::Unknown(number) => {
                self.error(mysql::NOT_COMMAND, &format!("command {number} is not served"))
            }
        }
        Ok(None)
    }

    fn query(&mut self, text: &[u8]) -> Option<SessionEvent> {
        let event = match statement::read(text) {
            Ok(Statement::Query(statement)) => SessionEvent::Query(statement),
            Ok(Statement::Kill { session, query_only }) => SessionEvent::Kill { session, query_only },
            Ok(Statement::Question(question)) => SessionEvent::Question(question),
            Ok(Statement::Harmless) => {
                self.ok();
                return None;
            }
            Err(error) => SessionEvent::Refused(error),
        };
        self.wait_for(event)
    }

    fn wait_for(&mut self, event: SessionEvent) -> Option<SessionEvent> {
        self.state = State::Waiting;
        Some(event)
    }

    /// Answers of the session's own, after which it is idle again.
    pub fn ok(&mut self) {
        self.answer_and_rest(mysql::ok);
    }

    pub fn error(&mut self, code: mysql::Code, words: &str) {
        self.answer_and_rest(|out, sequence| mysql::error(out, sequence, code, words));
    }

    pub fn text(&mut self, words: &str) {
        self.answer_and_rest(|out, sequence| mysql::text(out, sequence, words));
    }

    /// A result set of the router's own.
    pub fn table(&mut self, rows: &[StatusRow]) {
        let names = StatusRow::COLUMNS.map(str::to_string);
        let rows = rows.iter().map(|row| row.cells().into_iter().map(str::as_bytes));
        self.answer_and_rest(|out, sequence| mysql::result(out, sequence, &names, rows));
    }

    fn answer_and_rest(&mut self, write: impl FnOnce(&mut Vec<u8>, &mut u8)) {
        self.state = State::Idle;
        // What came behind the request is still to be looked at.
        self.has_unread_packets = !self.buffer.input().is_empty();
        self.unsent_since = None;
        self.send(write);
        if self.closes_after_answer {
            self.close_after_writing();
        }
    }

    /// The session itself is killed: it ends with the answer to what it has open.
    pub fn kill(&mut self) {
        match self.state {
            State::Waiting => self.closes_after_answer = true,
            _ => self.state = State::Closed,
        }
    }

    /// The final answer to its request.
    pub fn answer(&mut self, answer: Answer, now: f64) {
        self.active_at = now;
        self.answer_and_rest(|out, sequence| match answer {
            Answer::Completed(pages) => {
                let names: Vec<String> = (1..=COLUMNS).map(|number| format!("column_{number}")).collect();
                mysql::result(out, sequence, &names, rows(&pages).map(columns));
            }
            Answer::Rejected { retry_after } => mysql::rejected(out, sequence, retry_after),
            Answer::Failed => mysql::failed(out, sequence),
            Answer::Withdrawn => mysql::killed(out, sequence),
        });
    }
}

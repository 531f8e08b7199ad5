//! Answers clients' questions about the router itself: its counters and the status of its parts.

use super::{ClientSessions, PendingQuestion};
use crate::protocol::mysql;
use crate::protocol::statement::StatusTopic;
use crate::routing::Counters;
use crate::status_row::StatusRow;

impl ClientSessions {
    pub fn has_counter_requests(&self) -> bool {
        !self.counter_requests.is_empty()
    }

    /// Answers the sessions that asked for the counters, in the form of MySQL's statistics text:
    /// `name: value`, separated by two spaces.
    pub fn answer_counters(&mut self, counters: &Counters, now: f64) {
        let counters = counters.to_string().replace(' ', "  ").replace('=', ": ");
        for id in std::mem::take(&mut self.counter_requests) {
            if let Some(session) = self.sessions.get_mut(&id) {
                session.active_at = now;
                session.text(&counters);
                self.unfinished.push(id);
            }
        }
    }

    /// The questions that were asked in this turn, without duplicates.
    pub fn questions(&self) -> Vec<StatusTopic> {
        let mut questions: Vec<StatusTopic> = Vec::new();
        for pending in &self.pending_questions {
            if !questions.contains(&pending.question) {
                questions.push(pending.question);
            }
        }
        questions
    }

    /// Answers the sessions that asked this question. `rows` is none if the router does not have what was asked for.
    pub fn answer_status(&mut self, question: StatusTopic, rows: Option<&[StatusRow]>, now: f64) {
        let (answered, others) = std::mem::take(&mut self.pending_questions)
            .into_iter()
            .partition(|pending| pending.question == question);
        self.pending_questions = others;
        let answered: Vec<PendingQuestion> = answered;
        for PendingQuestion { requested_by, .. } in answered {
            let Some(session) = self.sessions.get_mut(&requested_by) else { continue };
            session.active_at = now;
            match rows {
                Some(rows) => session.table(rows),
                None => session.error(mysql::PARSE_ERROR, "there is nothing of the kind here"),
            }
            self.unfinished.push(requested_by);
        }
    }
}

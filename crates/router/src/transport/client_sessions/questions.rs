//! What clients ask of the router itself: its counters, and how its parts stand.

use super::{AskedQuestion, ClientSessions};
use crate::protocol::mysql;
use crate::protocol::statement::Question;
use crate::routing::Counters;
use crate::status_row::StatusRow;

impl ClientSessions {
    pub fn has_asked_for_counters(&self) -> bool {
        !self.asked_for_counters.is_empty()
    }

    /// Answers those that asked for the counters, in the form that drivers take apart.
    pub fn answer_counters(&mut self, counters: &Counters, now: f64) {
        let counters = counters.to_string().replace(' ', "  ").replace('=', ": ");
        for id in std::mem::take(&mut self.asked_for_counters) {
            if let Some(session) = self.sessions.get_mut(&id) {
                session.active_at = now;
                session.text(&counters);
                self.unfinished.push(id);
            }
        }
    }

    /// What was asked in this turn, each question once.
    pub fn questions(&self) -> Vec<Question> {
        let mut questions: Vec<Question> = Vec::new();
        for asked in &self.questions {
            if !questions.contains(&asked.question) {
                questions.push(asked.question);
            }
        }
        questions
    }

    /// Answers those that asked this; none where there is nothing of the kind.
    pub fn answer_status(&mut self, question: Question, rows: Option<&[StatusRow]>, now: f64) {
        let (asked, others) =
            std::mem::take(&mut self.questions).into_iter().partition(|asked| asked.question == question);
        self.questions = others;
        let asked: Vec<AskedQuestion> = asked;
        for AskedQuestion { asked_by, .. } in asked {
            let Some(session) = self.sessions.get_mut(&asked_by) else { continue };
            session.active_at = now;
            match rows {
                Some(rows) => session.table(rows),
                None => session.error(mysql::NOT_UNDERSTOOD, "there is nothing of the kind here"),
            }
            self.unfinished.push(asked_by);
        }
    }
}

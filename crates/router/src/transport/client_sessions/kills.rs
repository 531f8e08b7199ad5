//! Sessions that ask for others to be killed.

use super::{ClientSessions, Kill};
use crate::protocol::mysql;
use crate::routing::{SessionId, TurnInput};
use calloop::Readiness;

impl ClientSessions {
    /// Kills what was asked for, once all that was ready has been read, and once more what the victims sent before the kill: it may
    /// have come since, or wait for its turn.
    pub fn carry_out_kills(&mut self, is_serving: bool, now: f64, input: &mut TurnInput) {
        for Kill { asked_by, victim, query_only } in std::mem::take(&mut self.kills) {
            let readable = Readiness { readable: true, ..Readiness::EMPTY };
            self.work(victim, readable, is_serving, now, input);
            let was_there = self.kill(victim, query_only, input);
            if let Some(session) = self.sessions.get_mut(&asked_by) {
                if was_there {
                    session.ok();
                } else {
                    session.error(mysql::NO_SUCH_SESSION, &format!("unknown connection id: {victim}"));
                }
            }
            self.unfinished.extend([asked_by, victim]);
        }
    }

    /// Kills a session, or its query alone; false where there is no such session.
    fn kill(&mut self, id: SessionId, query_only: bool, input: &mut TurnInput) -> bool {
        let Some(session) = self.sessions.get_mut(&id) else { return false };
        if session.is_waiting() {
            input.withdrawn.push(id);
        }
        if !query_only {
            session.kill();
        }
        true
    }
}

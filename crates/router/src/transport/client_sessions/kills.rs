//! Carries out clients' requests to kill other sessions or their queries.

use super::{ClientSessions, KillRequest};
use crate::protocol::mysql;
use crate::routing::{SessionId, TurnInput};
use calloop::Readiness;

impl ClientSessions {
    /// Carries out the kill requests of this turn, after all ready sources have been read. Each target is processed once
    /// more before its kill, since a request that it sent before may have arrived meanwhile or still wait in its buffer.
    pub fn carry_out_kills(&mut self, is_serving: bool, now: f64, input: &mut TurnInput) {
        for KillRequest { requested_by, target, query_only } in std::mem::take(&mut self.kill_requests) {
            let readable = Readiness { readable: true, ..Readiness::EMPTY };
            self.process_session(target, readable, is_serving, now, input);
            let was_open = self.kill(target, query_only, input);
            if let Some(session) = self.sessions.get_mut(&requested_by) {
                if was_open {
                    session.ok();
                } else {
                    session.error(mysql::NO_SUCH_SESSION, &format!("unknown connection id: {target}"));
                }
            }
            self.unfinished.extend([requested_by, target]);
        }
    }

    /// Kills a session, or only its query. Returns false if there is no such session.
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

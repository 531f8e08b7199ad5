//! Carries out the actions that routing decides on: on client sessions and on engine connections.

use super::client_sessions::ClientSessions;
use super::connection_pool::ConnectionPool;
use super::panic_guard::catch_panic;
use crate::routing::{Answer, AttemptId, Connections, Dispatch, SessionId};

/// The client sessions and engine connections on which routing's actions are carried out.
pub(super) struct ClientsAndEngines {
    pub sessions: ClientSessions,
    pub pool: ConnectionPool,
    /// The time of the current turn, on the wall clock in seconds.
    pub now: f64,
}

impl Connections for ClientsAndEngines {
    fn answer(&mut self, session: SessionId, answer: Answer) {
        let ClientsAndEngines { sessions, now, .. } = self;
        if catch_panic("an answer to a client", || sessions.answer(session, answer, *now)).is_none() {
            sessions.drop_failed(session);
        }
    }

    fn dispatch(&mut self, dispatch: Dispatch) {
        let ClientsAndEngines { pool, now, .. } = self;
        let attempt = dispatch.attempt;
        if catch_panic("the dispatch of an attempt", || pool.dispatch(dispatch, *now)).is_none() {
            pool.fail_panicked_dispatch(attempt, *now);
        }
    }

    fn change_lane(&mut self, attempt: AttemptId, lane: u8) {
        self.pool.change_lane(attempt, lane, self.now);
    }

    fn cancel(&mut self, attempt: AttemptId) {
        self.pool.cancel(attempt, self.now);
    }

    fn close_idle(&mut self, engine: u64) {
        self.pool.close_idle(engine, self.now);
    }

    fn withdraw_unsent(&mut self, engine: u64) {
        self.pool.withdraw_unsent(engine);
    }
}

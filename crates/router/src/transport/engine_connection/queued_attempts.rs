//! Attempts that leave on a connection, or wait for it to come up.

use super::EngineConnection;
use crate::protocol::engine::EncodedRequest;
use crate::routing::{AttemptId, DeliveryFailure, Dispatch, EndedAttempt};
use crate::transport::engine_exchange::Exchange;
use std::io;

/// An attempt that waits for the connection to come up.
pub struct QueuedAttempt {
    pub id: String,
    pub attempt: AttemptId,
    pub request: EncodedRequest,
    /// It has left by then, or never does.
    pub leave_by: f64,
    /// For so long the gateway waits for its answer.
    pub answered_by: f64,
}

impl EngineConnection {
    /// Takes an attempt, which leaves once the connection is up.
    pub fn dispatch(
        &mut self,
        dispatch: &Dispatch,
        now: f64,
        ended: &mut Vec<EndedAttempt>,
    ) -> io::Result<()> {
        let Dispatch { attempt, request, leave_by, .. } = dispatch;
        self.queued.push(QueuedAttempt {
            id: request.id.to_string(),
            attempt: *attempt,
            request: EncodedRequest::new(request),
            leave_by: *leave_by,
            answered_by: now + request.wait,
        });
        if self.is_up() {
            self.send_queued(now, ended)?;
        }
        self.ping_if_silent(now)
    }

    /// What waits for the connection leaves, with the time that is left for it now.
    pub fn send_queued(&mut self, now: f64, ended: &mut Vec<EndedAttempt>) -> io::Result<()> {
        self.idle_since = now;
        self.drop_late(now, ended);
        for queued in std::mem::take(&mut self.queued) {
            let mut bytes = Vec::new();
            queued.request.write(&mut bytes, queued.answered_by - now);
            self.put(&bytes);
            let exchange = Exchange { attempt: queued.attempt, ends_at: self.put, pages: None };
            self.exchanges.insert(queued.id, exchange);
        }
        self.flush()
    }

    /// What should have left by now never does.
    pub(super) fn drop_late(&mut self, now: f64, ended: &mut Vec<EndedAttempt>) {
        self.queued.retain(|queued| {
            let is_late = now >= queued.leave_by;
            if is_late {
                ended.push(never_sent(queued.attempt));
            }
            !is_late
        });
    }

    /// Nothing that waits for it to come up leaves any more.
    pub fn withdraw_unsent(&mut self, ended: &mut Vec<EndedAttempt>) {
        ended.extend(self.queued.drain(..).map(|queued| never_sent(queued.attempt)));
    }
}

/// The end of an attempt that did not leave.
pub fn never_sent(attempt: AttemptId) -> EndedAttempt {
    EndedAttempt { attempt, result: Err(DeliveryFailure::NeverSent) }
}

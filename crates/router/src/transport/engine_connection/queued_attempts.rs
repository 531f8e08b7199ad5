//! Attempts that are waiting for their connection to an engine to come up, and how they are sent.

use super::EngineConnection;
use crate::protocol::engine::EncodedRequest;
use crate::routing::{AttemptId, DeliveryFailure, Dispatch, EndedAttempt};
use crate::transport::engine_exchange::Exchange;
use std::io;

/// An attempt that is waiting to be sent.
pub struct QueuedAttempt {
    /// The id of the request in the engine protocol.
    pub id: String,
    pub attempt: AttemptId,
    pub request: EncodedRequest,
    /// If the attempt has not been sent by this time, it never is.
    pub leave_by: f64,
    /// Until when the gateway waits for the answer.
    pub answer_deadline: f64,
}

impl EngineConnection {
    /// Adds an attempt, which is sent at once if the connection is up, and else when it comes up.
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
            answer_deadline: now + request.wait,
        });
        if self.is_up() {
            self.send_queued(now, ended)?;
        }
        self.ping_if_silent(now)
    }

    /// Sends the queued attempts, each with the time that now remains for its answer.
    pub fn send_queued(&mut self, now: f64, ended: &mut Vec<EndedAttempt>) -> io::Result<()> {
        self.idle_since = now;
        self.drop_overdue(now, ended);
        for queued in std::mem::take(&mut self.queued) {
            let mut bytes = Vec::new();
            queued.request.write(&mut bytes, queued.answer_deadline - now);
            if self.try_put(&bytes) {
                self.exchanges.insert(queued.id, Exchange::new(queued.attempt, self.bytes_put));
            } else {
                ended.push(never_sent(queued.attempt));
            }
        }
        self.flush()
    }

    /// Ends, as never sent, queued attempts that were to be sent by now.
    pub(super) fn drop_overdue(&mut self, now: f64, ended: &mut Vec<EndedAttempt>) {
        self.queued.retain(|queued| {
            let is_overdue = now >= queued.leave_by;
            if is_overdue {
                ended.push(never_sent(queued.attempt));
            }
            !is_overdue
        });
    }

    /// Ends all queued attempts as never sent.
    pub fn withdraw_unsent(&mut self, ended: &mut Vec<EndedAttempt>) {
        ended.extend(self.queued.drain(..).map(|queued| never_sent(queued.attempt)));
    }
}

/// The end of an attempt that was never sent.
pub fn never_sent(attempt: AttemptId) -> EndedAttempt {
    EndedAttempt { attempt, result: Err(DeliveryFailure::NeverSent) }
}

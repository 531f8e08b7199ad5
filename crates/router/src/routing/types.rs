//! What passes between routing and the connections.

use crate::protocol::discovery::Event;
use crate::protocol::engine::EngineRequest;
use crate::protocol::statement::{ParsedStatement, StatementError};
use cleatgw::{AttemptOutcome, MeasuredCost};
use std::net::SocketAddr;

/// The number of a client session, as its client is told it.
pub type SessionId = u32;

/// One attempt: its request, and its number among the request's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    pub request: usize,
    pub number: u32,
}

/// What an engine answered to an attempt.
#[derive(Debug, PartialEq)]
pub enum Reply {
    /// The complete result, and what it needed.
    Completed { rows: Vec<u8>, measured: Option<MeasuredCost> },
    /// It was full, and never began.
    EngineFull,
    /// It failed.
    EngineError,
    /// The deadline had passed before it began.
    DeadlinePassed,
}

/// How far an attempt had come that got no answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DeliveryFailure {
    /// It did not leave this router, for the router's own reasons.
    NeverSent,
    /// The engine's side did not let it come complete: no connection, or one that ended under it.
    Refused,
    /// It went out complete, and may have run.
    Unanswered,
    /// A part of its result came.
    AnsweredInPart,
}

/// What became of an attempt.
pub type AttemptResult = Result<Reply, DeliveryFailure>;

/// The outcome of an attempt, as the decisions know it.
pub fn outcome_of(result: &AttemptResult) -> AttemptOutcome {
    match result {
        Ok(Reply::Completed { .. }) => AttemptOutcome::Completed,
        Ok(Reply::EngineFull) => AttemptOutcome::EngineFull,
        Ok(Reply::EngineError) => AttemptOutcome::EngineError,
        Ok(Reply::DeadlinePassed) | Err(DeliveryFailure::NeverSent) => AttemptOutcome::NeverSent,
        Err(DeliveryFailure::Refused) => AttemptOutcome::Unreachable,
        Err(DeliveryFailure::Unanswered | DeliveryFailure::AnsweredInPart) => AttemptOutcome::ConnectionLost,
    }
}

/// The final answer to a request.
#[derive(Debug, PartialEq)]
pub enum Answer {
    Completed(Vec<u8>),
    Rejected {
        retry_after: Option<f64>,
    },
    Failed,
    /// None is owed: the client gave the request up.
    Withdrawn,
}

/// An attempt that is to go out.
pub struct Dispatch<'a> {
    pub attempt: AttemptId,
    /// The number of the engine.
    pub engine: u64,
    pub address: SocketAddr,
    pub request: EngineRequest<'a>,
    /// It leaves by then, or is over and never left.
    pub leave_by: f64,
}

/// What routing asks of the connections.
pub trait Connections {
    /// Gives a session the final answer to its request.
    fn answer(&mut self, session: SessionId, answer: Answer);
    /// Makes an attempt.
    fn dispatch(&mut self, dispatch: Dispatch);
    /// Changes the priority lane of an attempt in flight.
    fn change_lane(&mut self, attempt: AttemptId, lane: u8);
    /// Cancels an attempt. How far it had come is an event of a later turn, once its engine has let go of it, or had time to.
    fn cancel(&mut self, attempt: AttemptId);
    /// Closes the connections to an engine that carry nothing.
    fn close_idle(&mut self, engine: u64);
    /// What still waits for a connection to an engine does not leave any more: the engine drains, or is gone.
    fn withdraw_unsent(&mut self, engine: u64);
}

/// A statement and the session that asked for it.
pub struct SessionStatement {
    pub session: SessionId,
    pub statement: ParsedStatement,
}

/// An attempt that has ended.
pub struct EndedAttempt {
    pub attempt: AttemptId,
    pub result: AttemptResult,
}

/// All that came in since the last turn, each kind in the order of its coming.
#[derive(Default)]
pub struct TurnInput {
    pub list_events: Vec<Event>,
    pub ended_attempts: Vec<EndedAttempt>,
    pub statements: Vec<SessionStatement>,
    /// When the statements can have come at the earliest, if that was well before now.
    pub received_since: Option<f64>,
    /// Sessions whose clients have given their requests up.
    pub withdrawn: Vec<SessionId>,
}

/// A statement that no request could be made of.
pub struct RefusedStatement {
    pub session: SessionId,
    pub error: StatementError,
}

/// What a turn leaves to the event loop.
pub struct TurnOutput {
    pub refused: Vec<RefusedStatement>,
    /// When the next turn is due.
    pub wake_at: f64,
}

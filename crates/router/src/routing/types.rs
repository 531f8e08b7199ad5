//! The types and the trait through which routing and the connections work together.

use crate::memory_budget::Reservation;
use crate::protocol::discovery::Event;
use crate::protocol::engine::EngineRequest;
use crate::protocol::result_rows::ResultRows;
use crate::protocol::statement::{ParsedStatement, StatementError};
use cleatgw::{AttemptOutcome, MeasuredCost};
use std::net::SocketAddr;

/// The id of a client session, as its client received it at login.
pub type SessionId = u32;

/// The id of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The index of the attempt's request in the request table.
    pub request: usize,
    /// The attempt's number among the attempts of its request, from 0.
    pub number: u32,
}

/// An engine's answer to an attempt.
#[derive(Debug, PartialEq)]
pub enum Reply {
    /// The complete result.
    Completed {
        rows: ResultRows,
        /// What the request needed. Absent if the engine does not measure it.
        measured: Option<MeasuredCost>,
        /// How long the result waited for memory of this router, in seconds. The engine had completed the request then.
        memory_wait: f64,
    },
    /// The engine was full and did not begin the request.
    EngineFull,
    /// The request failed at the engine.
    EngineError,
    /// The deadline had passed before the engine began the request.
    DeadlinePassed,
}

/// How far an attempt without a complete answer had come.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DeliveryFailure {
    /// The attempt did not leave this router, for a reason on the router's side.
    NeverSent,
    /// The attempt did not reach the engine completely, for a reason on the engine's side: no connection could be
    /// established, or the connection was lost while the attempt was being sent.
    Refused,
    /// The attempt was sent completely, and the engine may have run it.
    Unanswered,
    /// A part of the result was received.
    AnsweredInPart,
}

/// The end of an attempt, as the connections report it.
pub type AttemptResult = Result<Reply, DeliveryFailure>;

/// Converts the end of an attempt to the decision core's outcome.
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
    /// The result.
    Completed(ResultRows),
    /// The request was not completed, and sending it again is harmless.
    Rejected {
        /// After how many seconds the client should send the request again, if that is known.
        retry_after: Option<f64>,
    },
    /// The request was not completed, and it may have run.
    Failed,
    /// The client withdrew the request. If its session is still open, it gets the error of a killed query.
    Withdrawn,
}

/// An attempt that is to be sent to an engine.
pub struct Dispatch<'a> {
    pub attempt: AttemptId,
    /// The engine's number, see `RegisteredEngine::number`.
    pub engine: u64,
    pub address: SocketAddr,
    pub request: EngineRequest<'a>,
    /// An attempt that has not left the router by this time is not sent any more. It ends as never sent.
    pub leave_by: f64,
}

/// The connections to clients and engines, as routing uses them. Engines are identified by `RegisteredEngine::number`.
pub trait Connections {
    /// Sends the final answer to a request to its session.
    fn answer(&mut self, session: SessionId, answer: Answer);
    /// Sends an attempt to its engine.
    fn dispatch(&mut self, dispatch: Dispatch);
    /// Changes the priority lane of an attempt in flight.
    fn change_lane(&mut self, attempt: AttemptId, lane: u8);
    /// Cancels an attempt. Its end, which tells how far it had come, is reported in a later turn: once its engine has
    /// confirmed the cancellation, or once the time for that is over.
    fn cancel(&mut self, attempt: AttemptId);
    /// Closes the idle connections to an engine.
    fn close_idle(&mut self, engine: u64);
    /// Ends the attempts that still wait for a connection to an engine, without sending them: the engine drains or is
    /// gone. Their requests stay open; this has nothing to do with requests that clients withdraw.
    fn withdraw_unsent(&mut self, engine: u64);
}

/// A statement and the session that sent it.
pub struct SessionStatement {
    pub session: SessionId,
    pub statement: ParsedStatement,
    /// The memory that is reserved for the request and the first page of its result.
    pub memory: Reservation,
}

/// An attempt that has ended.
pub struct EndedAttempt {
    pub attempt: AttemptId,
    pub result: AttemptResult,
}

/// The events since the last turn, each kind in the order of arrival.
#[derive(Default)]
pub struct TurnInput {
    pub list_events: Vec<Event>,
    pub ended_attempts: Vec<EndedAttempt>,
    pub statements: Vec<SessionStatement>,
    /// The earliest time at which the statements can have arrived. Absent unless that is well before this turn.
    pub received_since: Option<f64>,
    /// The sessions whose clients have withdrawn their requests.
    pub withdrawn: Vec<SessionId>,
}

/// A statement that was refused as a request, and why.
pub struct RefusedStatement {
    pub session: SessionId,
    pub error: StatementError,
}

/// What a turn leaves for the event loop to do.
pub struct TurnOutput {
    /// The statements whose sessions get an error as their answer.
    pub refused: Vec<RefusedStatement>,
    /// When the next turn is due at the latest.
    pub wake_at: f64,
}

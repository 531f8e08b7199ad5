//! What the decisions ask of their host.

use crate::queue;

/// Where decisions are written, in the order in which they are made.
pub trait ActionWriter {
    /// Sets the priority lane (0 to 3) and the memory of the request's attempts; 0 MB leaves that to the engine.
    fn set_priority_and_memory(&mut self, request: usize, lane: u8, memory_mb: f64);
    /// Makes an attempt. Without a time-out it runs until the deadline. It must have left by `leave_by`, or not at all: the
    /// repeat of a request that may have run is recognised for a while only.
    fn dispatch(&mut self, request: usize, engine: usize, time_out: Option<f64>, leave_by: f64);
    /// Cancels an attempt, by its number among those of its request.
    fn cancel(&mut self, request: usize, attempt: u32);
    /// Answers that trying again is harmless, with the Retry-After in seconds.
    fn reject(&mut self, request: usize, retry_after: Option<f64>);
    /// Answers that the request was not completed.
    fn fail(&mut self, request: usize);
    /// How long a request that was queued in this round will wait for its first attempt; none where that can't be told.
    fn report_wait_estimate(&mut self, _request: usize, _wait: Option<queue::WaitEstimate>) {}
    /// Asks for the changes of the engine list from now on.
    fn watch_engine_list(&mut self, on: bool);
    /// Asks for the whole engine list once.
    fn fetch_engine_list(&mut self);
    /// Checks the health of an engine.
    fn probe(&mut self, engine: usize);
    /// Closes idle connections to an engine.
    fn close_idle(&mut self, engine: usize);
    /// Sends something to one peer, or to all.
    fn send_to_peers(&mut self, peer: Option<usize>, content: &[u8]);
    /// Asks for a round at or after this time.
    fn wake_at(&mut self, at: f64);
    /// Writes a line to the log.
    fn log(&mut self, line: &str);
}

//! The actions that the decision core asks of its host.

use crate::queue;

/// Receives the decisions, in the order in which they are made.
pub trait ActionWriter {
    /// Sets the priority lane (0 to 3) and the memory of the request's next attempts. 0 MB leaves the memory to the
    /// engine.
    fn set_priority_and_memory(&mut self, request: usize, lane: u8, memory_mb: f64);
    /// Starts an attempt. Without a time-out it runs until the deadline. If the attempt has not left the gateway by
    /// `leave_by`, it must not be sent: a repeat of a request that may already have run is recognised only for a limited
    /// time.
    fn dispatch(&mut self, request: usize, engine: usize, time_out: Option<f64>, leave_by: f64);
    /// Cancels an attempt. `attempt` is its number among the attempts of its request.
    fn cancel(&mut self, request: usize, attempt: u32);
    /// Answers that the request was not completed and that sending it again is harmless. It may have run if a second
    /// run has no effect. `retry_after` is in seconds.
    fn reject(&mut self, request: usize, retry_after: Option<f64>);
    /// Answers that the request was not completed. It may have run.
    fn fail(&mut self, request: usize);
    /// Reports how long a request that was queued in this round is expected to wait for its first attempt. The estimate
    /// is absent if there is no basis for one.
    fn report_wait_estimate(&mut self, _request: usize, _wait: Option<queue::WaitEstimate>) {}
    /// Subscribes to changes of the engine list (`on`), or cancels the subscription.
    fn watch_engine_list(&mut self, on: bool);
    /// Fetches the whole engine list once.
    fn fetch_engine_list(&mut self);
    /// Checks the health of an engine.
    fn probe(&mut self, engine: usize);
    /// Closes the idle connections to an engine.
    fn close_idle(&mut self, engine: usize);
    /// Sends a message to one peer gateway, or to all if `peer` is absent.
    fn send_to_peers(&mut self, peer: Option<usize>, content: &[u8]);
    /// Asks for a round at or after this time.
    fn wake_at(&mut self, at: f64);
    /// Writes a line to the log.
    fn log(&mut self, line: &str);
}

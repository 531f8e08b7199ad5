//! Reads what a client sends, within the session's share of the memory, and notes when it may have arrived.

use super::super::buffer::ReadOutcome;
use super::super::memory_limits::SESSION_ALLOWANCE;
use super::ClientSession;
use crate::protocol::mysql;
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use std::io;
use std::net::TcpStream;

/// The input that is read ahead of the answers to earlier requests, in bytes. More stays with the system until the
/// session has handled some. While the budget is half used, the limit is the session's allowance.
const READ_AHEAD: usize = 16 * 1024;

/// Whether bytes can be read, or the end of the stream.
fn has_unread(stream: &TcpStream) -> bool {
    let mut polled = [PollFd::new(stream, PollFlags::IN)];
    poll(&mut polled, Some(&Timespec::default())).is_ok() && polled[0].revents().intersects(PollFlags::IN)
}

impl ClientSession {
    /// Reads the available bytes. Returns whether there were any, and why reading stopped.
    pub(super) fn read(&mut self, now: f64) -> io::Result<(bool, ReadOutcome)> {
        let before = self.buffer.input().len();
        let outcome = loop {
            let limit = self.input_limit();
            let outcome = self.buffer.read(&*self.stream, limit)?;
            // The header of a long packet may have arrived only now.
            if outcome != ReadOutcome::LimitReached || self.input_limit() <= limit {
                break outcome;
            }
        };
        let has_new_bytes = self.buffer.input().len() > before;
        self.note_arrival(has_new_bytes, &outcome, now);
        Ok((has_new_bytes, outcome))
    }

    /// The length up to which input is read: what a client may send ahead of its requests' answers, or all of the first
    /// packet if that is longer and can be handled now.
    fn input_limit(&self) -> usize {
        let read_ahead = if self.buffers.is_half_free() { READ_AHEAD } else { SESSION_ALLOWANCE.input };
        let first_packet = mysql::first_body_length(self.buffer.input())
            .filter(|&length| length <= self.max_packet && self.may_handle_packets())
            .map_or(0, |length| mysql::HEADER + length);
        first_packet.max(read_ahead)
    }

    /// Records when the bytes that were just read may have arrived. Bytes that were left unread by an earlier read had
    /// arrived by then.
    fn note_arrival(&mut self, has_new_bytes: bool, outcome: &ReadOutcome, now: f64) {
        let arrived_at = self.unread_since.unwrap_or(now);
        if has_new_bytes {
            self.arrived_at = arrived_at;
        }
        let stopped_early = matches!(outcome, ReadOutcome::LimitReached | ReadOutcome::OutOfMemory);
        let leaves_bytes = stopped_early && has_unread(&self.stream);
        self.unread_since = leaves_bytes.then_some(arrived_at);
    }

    /// How long before `until` the last bytes that were read may have arrived, in seconds. A request that is handled now
    /// may have waited that long, behind the request before it.
    pub fn time_since_arrival(&self, until: f64) -> f64 {
        (until - self.arrived_at).max(0.0)
    }

    /// The bytes that were read and not handled yet.
    #[cfg(test)]
    pub fn buffered_input(&self) -> usize {
        self.buffer.input().len()
    }

    /// Reads the available bytes unless nothing more is expected. Returns why reading stopped.
    pub(super) fn read_if_readable(&mut self, now: f64) -> io::Result<Option<ReadOutcome>> {
        if !self.readable || self.is_client_closed {
            return Ok(None);
        }
        let reached = self.read(now)?.1;
        match reached {
            ReadOutcome::WouldBlock => self.readable = false,
            ReadOutcome::LimitReached | ReadOutcome::OutOfMemory => {}
            ReadOutcome::EndOfStream => {
                self.readable = false;
                self.is_client_closed = true;
            }
        }
        Ok(Some(reached))
    }

    /// Refuses an incomplete packet that there is no memory for.
    pub(super) fn refuse_if_out_of_memory(&mut self, reached: Option<ReadOutcome>) {
        let is_at_allowance = self.buffer.input().len() >= SESSION_ALLOWANCE.input;
        if reached == Some(ReadOutcome::OutOfMemory) && is_at_allowance {
            log::debug!("session {}: no memory for a long packet, closing the session", self.id);
            self.is_short_of_memory = true;
            self.send(|out, sequence| mysql::write_rejected(out, sequence, None));
            self.close_after_writing();
        }
    }
}

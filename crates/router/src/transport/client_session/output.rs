//! Writes what a session sends: packets, and results piece by piece.

use super::super::memory_limits::SESSION_ALLOWANCE;
use super::{ClientSession, State};
use std::io;
use std::net::Shutdown;

/// The length of the pieces in which a result is written, in bytes. The session's allowance is used instead while the
/// budget has no room for that.
const OUTPUT_CHUNK: usize = 16 * 1024;

impl ClientSession {
    /// Whether a part of an answer still has to be written.
    pub fn has_unsent(&self) -> bool {
        self.buffer.unsent_len() > 0 || self.result.is_some()
    }

    /// Sends packets, numbered from the session's current sequence number.
    pub(super) fn send(&mut self, write: impl FnOnce(&mut Vec<u8>, &mut u8)) {
        let mut out = Vec::new();
        write(&mut out, &mut self.sequence);
        self.buffer.queue_output(&out);
        self.flush_or_close();
    }

    pub(super) fn flush_or_close(&mut self) {
        if let Err(error) = self.flush() {
            log::debug!("session {}: writing failed, closing the session: {error}", self.id);
            self.state = State::Closed;
        }
    }

    /// Writes what is unsent, as far as the client takes it.
    pub(super) fn flush(&mut self) -> io::Result<()> {
        if !self.has_unsent() {
            return Ok(());
        }
        while self.has_unsent() {
            if self.buffer.unsent_len() == 0 {
                self.queue_next_of_result();
            }
            self.buffer.write(&*self.stream)?;
            if self.buffer.unsent_len() > 0 {
                return Ok(());
            }
        }
        if self.state == State::Closing {
            self.stream.shutdown(Shutdown::Write)?;
        }
        Ok(())
    }

    /// Moves the next piece of the result into the buffer.
    fn queue_next_of_result(&mut self) {
        let Some(result) = &mut self.result else { return };
        let has_room = self.buffer.fits_output(OUTPUT_CHUNK);
        let max_len = if has_room { OUTPUT_CHUNK } else { SESSION_ALLOWANCE.output };
        let mut out = Vec::new();
        let is_complete = result.write_next(&mut out, &mut self.sequence, max_len);
        if is_complete {
            self.result = None;
        }
        self.buffer.queue_output(&out);
    }
}

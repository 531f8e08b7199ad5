//! The buffer of one connection. A single allocation holds the bytes that were read but not yet parsed, followed by
//! the bytes that still have to be written. It grows as needed, is compacted in place, and releases memory that it does
//! not need. A buffer with a budget has an allowance of its own, and reserves in the budget what it holds beyond that.

use crate::memory_budget::{MemoryBudget, Reservation};
use std::io::{ErrorKind, Read, Result, Write};
use std::rc::Rc;

/// Bytes read by one call at most.
const CHUNK: usize = 4096;
/// The memory of an empty buffer that is larger than this is released, in bytes.
const RETAINED_CAPACITY: usize = CHUNK;
/// A buffer that is larger than `RETAINED_CAPACITY` is made smaller when its content is less than its capacity divided
/// by this.
const SPARSE_DIVISOR: usize = 8;

/// The bytes of input and of output that a buffer may always hold, without a reservation.
#[derive(Clone, Copy, Debug, Default)]
pub struct Allowance {
    pub input: usize,
    pub output: usize,
}

impl Allowance {
    pub const fn total(&self) -> usize {
        self.input + self.output
    }
}

/// `input` is the range (start, end) of the unparsed bytes in `bytes`, and `output` that of the unsent bytes.
#[derive(Default)]
pub struct Buffer {
    bytes: Vec<u8>,
    input: (usize, usize),
    output: (usize, usize),
    allowance: Allowance,
    /// What the buffer holds beyond its allowance.
    reservation: Reservation,
}

/// Why `Buffer::read` stopped reading.
#[derive(Debug, PartialEq)]
pub enum ReadOutcome {
    /// All available bytes were read; the next read would block.
    WouldBlock,
    /// The input has reached its permitted length; more bytes may be available.
    LimitReached,
    /// The input has reached its allowance and the budget has no room for more; more bytes may be available.
    OutOfMemory,
    /// The peer has closed its side of the connection.
    EndOfStream,
}

impl Buffer {
    /// A buffer that reserves in the budget what it holds beyond its allowance.
    pub fn with_budget(budget: &Rc<MemoryBudget>, allowance: Allowance) -> Buffer {
        Buffer { allowance, reservation: Reservation::in_budget(budget), ..Buffer::default() }
    }

    /// The bytes that were read and not yet consumed.
    pub fn input(&self) -> &[u8] {
        &self.bytes[self.input.0..self.input.1]
    }

    /// Removes this many bytes from the front of the input.
    pub fn consume(&mut self, length: usize) {
        self.input.0 += length;
        self.release_unneeded();
    }

    /// The number of bytes that still have to be written.
    pub fn unsent_len(&self) -> usize {
        self.output.1 - self.output.0
    }

    /// The number of bytes that the buffer holds.
    fn content_len(&self) -> usize {
        self.input().len() + self.unsent_len()
    }

    /// Resets an empty buffer and releases its memory if that is larger than `RETAINED_CAPACITY`. Makes a large buffer
    /// with little content smaller: a peer that always leaves a few bytes in it must not keep it large.
    fn release_unneeded(&mut self) {
        if self.content_len() == 0 {
            (self.input, self.output) = Default::default();
            if self.bytes.len() > RETAINED_CAPACITY {
                self.bytes = Vec::new();
                self.reservation.force_resize(0);
            }
        } else if self.bytes.len() > RETAINED_CAPACITY
            && self.content_len() < self.bytes.len() / SPARSE_DIVISOR
        {
            self.move_content(0);
            self.bytes.truncate(self.content_len());
            self.bytes.shrink_to_fit();
            self.reserve_capacity();
        }
    }

    /// Reserves what the buffer holds beyond its allowance, even if the budget has no room for that.
    fn reserve_capacity(&mut self) {
        self.reservation.force_resize(self.bytes.capacity().saturating_sub(self.allowance.total()));
    }

    /// Moves the input to the front and the output to `gap` bytes behind it. The buffer must be long enough.
    fn move_content(&mut self, gap: usize) {
        let (input_len, unsent_len) = (self.input().len(), self.unsent_len());
        self.bytes.copy_within(self.input.0..self.input.1, 0);
        self.bytes.copy_within(self.output.0..self.output.1, input_len + gap);
        (self.input, self.output) = ((0, input_len), (input_len + gap, input_len + gap + unsent_len));
    }

    /// Grows the buffer to at least `needed` bytes. Returns false if the budget has no room for that.
    fn try_grow(&mut self, needed: usize) -> bool {
        if needed <= self.bytes.len() {
            return true;
        }
        // Growth by powers of two saves copies; if the budget has no room for that, the buffer grows no further than it
        // must.
        let fitting = [needed.next_power_of_two(), needed]
            .into_iter()
            .find(|&length| self.reservation.try_resize(length.saturating_sub(self.allowance.total())));
        if let Some(length) = fitting {
            self.resize(length);
        }
        fitting.is_some()
    }

    fn resize(&mut self, length: usize) {
        self.bytes.reserve_exact(length - self.bytes.len());
        self.bytes.resize(length, 0);
    }

    /// Ensures that `gap` bytes are free between the input and the output, and `tail` bytes behind the output. Returns
    /// false if the budget has no room for that.
    fn make_room(&mut self, gap: usize, tail: usize) -> bool {
        let has_room = self.try_grow(self.content_len() + gap + tail);
        if has_room {
            self.move_content(gap);
        }
        has_room
    }

    /// As `make_room`, but even if the budget has no room for that.
    fn force_room(&mut self, gap: usize, tail: usize) {
        if !self.make_room(gap, tail) {
            self.resize(self.content_len() + gap + tail);
            self.reserve_capacity();
            self.move_content(gap);
        }
    }

    /// Ensures that bytes are free between the input and the output, and returns how many: `length`, or as many as the
    /// allowance of the input permits if the budget has no room for that.
    fn reserve_input(&mut self, length: usize) -> usize {
        let free = if self.unsent_len() > 0 { self.output.0 } else { self.bytes.len() } - self.input.1;
        if free >= length || self.make_room(length, 0) {
            return length;
        }
        let allowed = self.allowance.input.saturating_sub(self.input().len()).min(length);
        if allowed > free {
            self.force_room(allowed, 0);
        }
        allowed
    }

    /// Whether the budget has room for this many bytes of output now.
    pub fn fits_output(&self, length: usize) -> bool {
        self.reservation.fits((self.content_len() + length).saturating_sub(self.allowance.total()))
    }

    /// Reads the available bytes until the input holds `max_input` bytes.
    pub fn read(&mut self, mut from: impl Read, max_input: usize) -> Result<ReadOutcome> {
        loop {
            let allowed = max_input.saturating_sub(self.input().len());
            if allowed == 0 {
                return Ok(ReadOutcome::LimitReached);
            }
            let chunk = self.reserve_input(allowed.min(CHUNK));
            if chunk == 0 {
                return Ok(ReadOutcome::OutOfMemory);
            }
            match from.read(&mut self.bytes[self.input.1..self.input.1 + chunk]) {
                Ok(0) => return Ok(ReadOutcome::EndOfStream),
                Ok(length) => self.input.1 += length,
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    self.release_unneeded();
                    return Ok(ReadOutcome::WouldBlock);
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
    }

    /// Appends bytes to the output. Returns false, and appends nothing, if the budget has no room for them.
    pub fn try_queue_output(&mut self, bytes: &[u8]) -> bool {
        self.begin_output();
        // The free space at the front is used before the buffer grows.
        let has_room = self.free_tail() >= bytes.len() || self.make_room(0, bytes.len());
        if has_room {
            self.append_output(bytes);
        }
        has_room
    }

    /// Appends a few bytes to the output, even if the budget has no room for them.
    pub fn queue_output(&mut self, bytes: &[u8]) {
        self.begin_output();
        if self.free_tail() < bytes.len() {
            self.force_room(0, bytes.len());
        }
        self.append_output(bytes);
    }

    /// An empty output begins right behind the input.
    fn begin_output(&mut self) {
        if self.unsent_len() == 0 {
            self.output = (self.input.1, self.input.1);
        }
    }

    /// The free bytes behind the output.
    fn free_tail(&self) -> usize {
        self.bytes.len() - self.output.1
    }

    fn append_output(&mut self, bytes: &[u8]) {
        self.bytes[self.output.1..self.output.1 + bytes.len()].copy_from_slice(bytes);
        self.output.1 += bytes.len();
    }

    /// Writes output until all of it is written or the writer would block. Returns the number of bytes written.
    pub fn write(&mut self, mut to: impl Write) -> Result<usize> {
        let before = self.unsent_len();
        while self.unsent_len() > 0 {
            match to.write(&self.bytes[self.output.0..self.output.1]) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(length) => self.output.0 += length,
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        let written = before - self.unsent_len();
        self.release_unneeded();
        Ok(written)
    }
}

#[cfg(test)]
mod tests;

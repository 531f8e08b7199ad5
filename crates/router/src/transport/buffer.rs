//! The buffer of one connection. A single allocation holds the bytes that were read but not yet parsed, followed by
//! the bytes that still have to be written. It grows as needed, is compacted in place, and releases its memory when it
//! is empty and larger than `RETAINED_CAPACITY`.

use std::io::{ErrorKind, Read, Result, Write};

/// Bytes read by one call at most.
const CHUNK: usize = 4096;
/// The memory of an empty buffer that is larger than this is released, in bytes.
const RETAINED_CAPACITY: usize = 4 * CHUNK;

/// `input` is the range (start, end) of the unparsed bytes in `bytes`, and `output` that of the unsent bytes.
#[derive(Default)]
pub struct Buffer {
    bytes: Vec<u8>,
    input: (usize, usize),
    output: (usize, usize),
}

/// Why `Buffer::read` stopped reading.
#[derive(Debug, PartialEq)]
pub enum ReadOutcome {
    /// All available bytes were read; the next read would block.
    WouldBlock,
    /// The input has reached its permitted length; more bytes may be available.
    LimitReached,
    /// The peer has closed its side of the connection.
    EndOfStream,
}

impl Buffer {
    /// The bytes that were read and not yet consumed.
    pub fn input(&self) -> &[u8] {
        &self.bytes[self.input.0..self.input.1]
    }

    /// Removes this many bytes from the front of the input.
    pub fn consume(&mut self, length: usize) {
        self.input.0 += length;
        self.release_if_empty();
    }

    /// The number of bytes that still have to be written.
    pub fn unsent_len(&self) -> usize {
        self.output.1 - self.output.0
    }

    /// Resets an empty buffer, and releases its memory if that is larger than `RETAINED_CAPACITY`.
    fn release_if_empty(&mut self) {
        if self.input.0 == self.input.1 && self.unsent_len() == 0 {
            (self.input, self.output) = Default::default();
            if self.bytes.len() > RETAINED_CAPACITY {
                self.bytes = Vec::new();
            }
        }
    }

    /// Moves the input to the front and the output to `gap` bytes behind it, and grows the buffer where fewer than
    /// `tail` bytes would be free behind the output.
    fn compact(&mut self, gap: usize, tail: usize) {
        let input_len = self.input.1 - self.input.0;
        let unsent_len = self.unsent_len();
        self.bytes.copy_within(self.input.0..self.input.1, 0);
        let needed = input_len + gap + unsent_len + tail;
        if self.bytes.len() < needed {
            self.bytes.resize(needed.next_power_of_two(), 0);
        }
        self.bytes.copy_within(self.output.0..self.output.1, input_len + gap);
        (self.input, self.output) = ((0, input_len), (input_len + gap, input_len + gap + unsent_len));
    }

    /// Ensures that this many bytes are free between the input and the output.
    fn reserve_input(&mut self, length: usize) {
        let free = if self.unsent_len() > 0 { self.output.0 } else { self.bytes.len() } - self.input.1;
        if free < length {
            self.compact(length, 0);
        }
    }

    /// Reads the available bytes until the input holds `max_input` bytes.
    pub fn read(&mut self, mut from: impl Read, max_input: usize) -> Result<ReadOutcome> {
        loop {
            let allowed = max_input.saturating_sub(self.input().len());
            if allowed == 0 {
                return Ok(ReadOutcome::LimitReached);
            }
            let chunk = allowed.min(CHUNK);
            self.reserve_input(chunk);
            match from.read(&mut self.bytes[self.input.1..self.input.1 + chunk]) {
                Ok(0) => return Ok(ReadOutcome::EndOfStream),
                Ok(length) => self.input.1 += length,
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    self.release_if_empty();
                    return Ok(ReadOutcome::WouldBlock);
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
    }

    /// Appends bytes to the output.
    pub fn queue_output(&mut self, bytes: &[u8]) {
        if self.unsent_len() == 0 {
            self.output = (self.input.1, self.input.1);
        }
        if self.bytes.len() - self.output.1 < bytes.len() {
            // The free space at the front is used before the buffer grows.
            self.compact(0, bytes.len());
        }
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
        self.release_if_empty();
        Ok(written)
    }
}

#[cfg(test)]
mod tests;

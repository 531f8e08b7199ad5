//! The one buffer of a connection: what was read and not yet taken apart, and behind it what is still to be
//! written. It grows as needed, is compacted in place, and gives its memory back when it is empty.

use std::io::{ErrorKind, Read, Result, Write};

const CHUNK: usize = 4096;
/// An empty buffer larger than this is given back.
const RETAINED_CAPACITY: usize = 4 * CHUNK;

#[derive(Default)]
pub struct Buffer {
    bytes: Vec<u8>,
    input: (usize, usize),
    output: (usize, usize),
}

/// How far reading came.
#[derive(Debug, PartialEq)]
pub enum Reached {
    /// All that was ready.
    Drained,
    /// As much as was allowed; more may be ready.
    More,
    /// The peer sends nothing more.
    End,
}

impl Buffer {
    pub fn input(&self) -> &[u8] {
        &self.bytes[self.input.0..self.input.1]
    }

    pub fn taken(&mut self, length: usize) {
        self.input.0 += length;
        self.release();
    }

    pub fn unsent(&self) -> usize {
        self.output.1 - self.output.0
    }

    fn release(&mut self) {
        if self.input.0 == self.input.1 && self.unsent() == 0 {
            (self.input, self.output) = Default::default();
            if self.bytes.len() > RETAINED_CAPACITY {
                self.bytes = Vec::new();
            }
        }
    }

    /// Moves the input to the front and the output so far behind it, with room for more behind that.
    fn compact(&mut self, gap: usize, tail: usize) {
        let read = self.input.1 - self.input.0;
        let unsent = self.unsent();
        self.bytes.copy_within(self.input.0..self.input.1, 0);
        let needed = read + gap + unsent + tail;
        if self.bytes.len() < needed {
            self.bytes.resize(needed.next_power_of_two(), 0);
        }
        self.bytes.copy_within(self.output.0..self.output.1, read + gap);
        (self.input, self.output) = ((0, read), (read + gap, read + gap + unsent));
    }

    /// Makes room for so many bytes behind the input, ahead of the output.
    fn make_room(&mut self, length: usize) {
        let free = if self.unsent() > 0 { self.output.0 } else { self.bytes.len() } - self.input.1;
        if free < length {
            self.compact(length, 0);
        }
    }

    /// Reads what is ready until the input holds `most` bytes.
    pub fn read(&mut self, mut from: impl Read, most: usize) -> Result<Reached> {
        loop {
            let left = most.saturating_sub(self.input().len());
            if left == 0 {
                return Ok(Reached::More);
            }
            let room = left.min(CHUNK);
            self.make_room(room);
            match from.read(&mut self.bytes[self.input.1..self.input.1 + room]) {
                Ok(0) => return Ok(Reached::End),
                Ok(length) => self.input.1 += length,
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    self.release();
                    return Ok(Reached::Drained);
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
    }

    /// Appends to what is to be written.
    pub fn put(&mut self, bytes: &[u8]) {
        if self.unsent() == 0 {
            self.output = (self.input.1, self.input.1);
        }
        if self.bytes.len() - self.output.1 < bytes.len() {
            // Room at the front is used before the buffer grows.
            self.compact(0, bytes.len());
        }
        self.bytes[self.output.1..self.output.1 + bytes.len()].copy_from_slice(bytes);
        self.output.1 += bytes.len();
    }

    /// Writes as much as is taken; tells how much.
    pub fn write(&mut self, mut to: impl Write) -> Result<usize> {
        let before = self.unsent();
        while self.unsent() > 0 {
            match to.write(&self.bytes[self.output.0..self.output.1]) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(length) => self.output.0 += length,
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        let written = before - self.unsent();
        self.release();
        Ok(written)
    }
}

#[cfg(test)]
mod tests;

//! The one buffer of a connection: what was read and not yet taken apart, and behind it what is still to be
//! written. It grows as needed, is compacted in place, and gives its memory back when it is empty.

use std::io::{ErrorKind, Read, Result, Write};

const CHUNK: usize = 4096;
/// An empty buffer larger than this is given back.
const KEPT: usize = 4 * CHUNK;

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
            if self.bytes.len() > KEPT {
                self.bytes = Vec::new();
            }
        }
    }

    /// Moves the input to the front and the output so far behind it, with room for more behind that.
    fn compact(&mut self, gap: usize, tail: usize) {
        let (read, unsent) = (self.input.1 - self.input.0, self.unsent());
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
mod tests {
    use super::*;

    /// Gives and takes so many bytes a call, then would block.
    struct Slow<'a> {
        bytes: &'a [u8],
        each: usize,
        calls: usize,
        taken: Vec<u8>,
    }

    impl Slow<'_> {
        fn step(&mut self) -> Result<usize> {
            self.calls = self.calls.checked_sub(1).ok_or(ErrorKind::WouldBlock)?;
            Ok(self.each)
        }
    }

    impl Read for &mut Slow<'_> {
        fn read(&mut self, to: &mut [u8]) -> Result<usize> {
            let length = self.step()?.min(to.len()).min(self.bytes.len());
            to[..length].copy_from_slice(&self.bytes[..length]);
            self.bytes = &self.bytes[length..];
            Ok(length)
        }
    }

    impl Write for &mut Slow<'_> {
        fn write(&mut self, from: &[u8]) -> Result<usize> {
            let length = self.step()?.min(from.len());
            self.taken.extend(&from[..length]);
            Ok(length)
        }

        fn flush(&mut self) -> Result<()> {
            Ok(())
        }
    }

    #[test]
    fn input_and_output_share_the_buffer_and_keep_their_bytes() {
        let sent: Vec<u8> = (0..60_000u32).map(|at| (at % 251) as u8).collect();
        let mut peer = Slow { bytes: &sent, each: 700, calls: 0, taken: Vec::new() };
        let (mut buffer, mut seen, mut put) = (Buffer::default(), Vec::<u8>::new(), Vec::<u8>::new());
        for step in 0..2000usize {
            peer.calls = step % 3;
            buffer.read(&mut peer, 5000).unwrap();
            let answer = vec![step as u8; step % 90];
            put.extend(&answer);
            buffer.put(&answer);
            peer.calls = step % 2;
            buffer.write(&mut peer).unwrap();
            let take = buffer.input().len().min(step % 1500);
            seen.extend(&buffer.input()[..take]);
            buffer.taken(take);
        }
        peer.calls = 1000;
        buffer.write(&mut peer).unwrap();
        seen.extend(buffer.input());
        assert!(seen == sent[..seen.len()] && seen.len() > 50_000);
        assert!(peer.taken == put && buffer.unsent() == 0);
    }

    #[test]
    fn no_more_is_read_than_is_allowed_and_an_empty_buffer_is_given_back() {
        let sent = vec![7; 100_000];
        let mut peer = Slow { bytes: &sent, each: 9000, calls: 1000, taken: Vec::new() };
        let mut buffer = Buffer::default();
        assert_eq!(buffer.read(&mut peer, 50_000).unwrap(), Reached::More);
        assert_eq!(buffer.input().len(), 50_000);
        buffer.taken(50_000);
        assert!(buffer.bytes.is_empty());
        assert_eq!(buffer.read(&mut peer, 60_000).unwrap(), Reached::End);
        assert_eq!(buffer.input().len(), 50_000);
    }
}

use super::*;

/// A peer that transfers at most `max_per_call` bytes in each call and would block once `calls_left` is 0.
struct ThrottledPeer<'a> {
    to_send: &'a [u8],
    max_per_call: usize,
    calls_left: usize,
    received: Vec<u8>,
}

impl ThrottledPeer<'_> {
    fn start_call(&mut self) -> Result<usize> {
        self.calls_left = self.calls_left.checked_sub(1).ok_or(ErrorKind::WouldBlock)?;
        Ok(self.max_per_call)
    }
}

impl Read for &mut ThrottledPeer<'_> {
    fn read(&mut self, to: &mut [u8]) -> Result<usize> {
        let length = self.start_call()?.min(to.len()).min(self.to_send.len());
        to[..length].copy_from_slice(&self.to_send[..length]);
        self.to_send = &self.to_send[length..];
        Ok(length)
    }
}

impl Write for &mut ThrottledPeer<'_> {
    fn write(&mut self, from: &[u8]) -> Result<usize> {
        let length = self.start_call()?.min(from.len());
        self.received.extend(&from[..length]);
        Ok(length)
    }

    fn flush(&mut self) -> Result<()> {
        Ok(())
    }
}

#[test]
fn input_and_output_share_the_buffer_and_keep_their_bytes() {
    let sent: Vec<u8> = (0..60_000u32).map(|at| (at % 251) as u8).collect();
    let mut peer = ThrottledPeer { to_send: &sent, max_per_call: 700, calls_left: 0, received: Vec::new() };
    let (mut buffer, mut consumed, mut queued) = (Buffer::default(), Vec::<u8>::new(), Vec::<u8>::new());
    for step in 0..2000usize {
        peer.calls_left = step % 3;
        buffer.read(&mut peer, 5000).unwrap();
        let answer = vec![step as u8; step % 90];
        queued.extend(&answer);
        buffer.queue_output(&answer);
        peer.calls_left = step % 2;
        buffer.write(&mut peer).unwrap();
        let length = buffer.input().len().min(step % 1500);
        consumed.extend(&buffer.input()[..length]);
        buffer.consume(length);
    }
    peer.calls_left = 1000;
    buffer.write(&mut peer).unwrap();
    consumed.extend(buffer.input());
    assert!(consumed == sent[..consumed.len()] && consumed.len() > 50_000);
    assert!(peer.received == queued && buffer.unsent_len() == 0);
}

#[test]
fn read_stops_at_the_limit_and_an_empty_buffer_releases_its_memory() {
    let sent = vec![7; 100_000];
    let mut peer =
        ThrottledPeer { to_send: &sent, max_per_call: 9000, calls_left: 1000, received: Vec::new() };
    let mut buffer = Buffer::default();
    assert_eq!(buffer.read(&mut peer, 50_000).unwrap(), ReadOutcome::LimitReached);
    assert_eq!(buffer.input().len(), 50_000);
    buffer.consume(50_000);
    assert!(buffer.bytes.is_empty());
    assert_eq!(buffer.read(&mut peer, 60_000).unwrap(), ReadOutcome::EndOfStream);
    assert_eq!(buffer.input().len(), 50_000);
}

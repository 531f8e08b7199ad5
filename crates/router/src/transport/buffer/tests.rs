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

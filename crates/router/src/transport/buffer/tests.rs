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

const ALLOWANCE: Allowance = Allowance { input: 2048, output: 4096 };

/// Guards against connections that keep a large buffer because they never leave it empty: hundreds of them exceeded the
/// router's memory, although each held few bytes most of the time.
#[test]
fn a_large_buffer_with_little_content_releases_its_memory_although_it_is_never_empty() {
    let budget = MemoryBudget::new(1 << 20);
    let mut buffer = Buffer::with_budget(&budget, ALLOWANCE);
    let mut peer =
        ThrottledPeer { to_send: &[7; 100], max_per_call: 1 << 20, calls_left: 2, received: Vec::new() };
    buffer.read(&mut peer, 1000).unwrap();
    for _ in 0..10 {
        buffer.queue_output(&[8; 60_000]);
        assert!(budget.reserved() >= 60_000 - ALLOWANCE.total());
        peer.calls_left = 1;
        buffer.write(&mut peer).unwrap();
        assert_eq!((buffer.input(), buffer.unsent_len()), (&[7; 100][..], 0));
        assert!(buffer.bytes.capacity() <= RETAINED_CAPACITY, "{} bytes", buffer.bytes.capacity());
        assert_eq!(budget.reserved(), 0);
    }
    assert!(peer.received.len() == 600_000 && peer.received.iter().all(|&byte| byte == 8));
}

#[test]
fn without_room_in_the_budget_a_buffer_holds_its_allowance_and_takes_more_once_there_is_room() {
    let budget = MemoryBudget::new(10_000);
    let others = budget.reserve(10_000).unwrap();
    let sent = vec![7; 100_000];
    let mut peer =
        ThrottledPeer { to_send: &sent, max_per_call: 9000, calls_left: 1000, received: Vec::new() };
    let mut buffer = Buffer::with_budget(&budget, ALLOWANCE);
    assert!(buffer.try_queue_output(&[8; 4096]));
    assert!(!buffer.fits_output(4096) && !buffer.try_queue_output(&[8; 4096]));
    assert_eq!(buffer.unsent_len(), 4096);
    // The output has left no room for a usual piece, but the allowance of the input is free in any case.
    assert_eq!(buffer.read(&mut peer, 50_000).unwrap(), ReadOutcome::OutOfMemory);
    assert_eq!(buffer.input().len(), ALLOWANCE.input);
    assert!(buffer.bytes.capacity() <= ALLOWANCE.total());
    drop(others);
    assert!(buffer.fits_output(4096) && buffer.try_queue_output(&[8; 4096]));
    assert_eq!(buffer.read(&mut peer, 50_000).unwrap(), ReadOutcome::OutOfMemory);
    assert!(budget.reserved() <= 10_000 && buffer.bytes.capacity() == ALLOWANCE.total() + budget.reserved());
    peer.calls_left = 10;
    buffer.write(&mut peer).unwrap();
    assert_eq!(peer.received, [8; 8192]);
    drop(buffer);
    assert_eq!(budget.reserved(), 0);
}

#[test]
fn a_few_bytes_of_output_are_queued_although_the_budget_has_no_room() {
    let budget = MemoryBudget::new(0);
    let mut buffer = Buffer::with_budget(&budget, ALLOWANCE);
    for number in 0..100 {
        buffer.queue_output(&[number; 100]);
    }
    assert_eq!((buffer.unsent_len(), budget.reserved()), (10_000, 10_000 - ALLOWANCE.total()));
    let mut peer = ThrottledPeer { to_send: &[], max_per_call: 1 << 20, calls_left: 1, received: Vec::new() };
    buffer.write(&mut peer).unwrap();
    assert!(peer.received.chunks(100).zip(0..).all(|(chunk, number)| chunk == [number; 100]));
}

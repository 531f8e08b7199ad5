use super::super::event_source::ReadyEvents;
use super::*;
use calloop::EventLoop;
use cleatgw_testbed::stand_ins::{login, packet, query, request};
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};

const READABLE: Readiness = Readiness { readable: true, ..Readiness::EMPTY };

/// The listener and its sessions on real sockets, whose turns and clock the story drives.
struct Story {
    _turns: EventLoop<'static, ReadyEvents>,
    sessions: ClientSessions,
    address: SocketAddr,
    now: f64,
    input: TurnInput,
}

impl Story {
    /// With room for so many sessions.
    fn new(most: usize) -> Story {
        let turns = EventLoop::try_new().unwrap();
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let sessions = ClientSessions::open(&turns.handle(), any, 2 * most, 1 << 20).unwrap();
        let address = sessions.listener.as_ref().unwrap().socket.local_addr().unwrap();
        Story { _turns: turns, sessions, address, now: 100.0, input: TurnInput::default() }
    }

    /// Every session reads what has come and takes what it can.
    fn turn(&mut self) {
        for id in self.sessions.sessions.keys().copied().collect::<Vec<_>>() {
            self.sessions.work(id, READABLE, true, self.now, &mut self.input);
        }
        self.sessions.read_new_sessions(true, self.now, &mut self.input);
    }

    /// Turns until so many bytes have come, or the end or an error.
    fn hears(&mut self, far: &mut TcpStream, length: usize) -> std::io::Result<Vec<u8>> {
        far.set_read_timeout(Some(std::time::Duration::from_millis(5))).unwrap();
        let mut heard = Vec::new();
        for _ in 0..2000 {
            self.turn();
            let mut bytes = vec![0; length - heard.len()];
            match far.read(&mut bytes) {
                Ok(0) => return Ok(heard),
                Ok(read) => heard.extend(&bytes[..read]),
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                Err(error) => return Err(error),
            }
            if heard.len() == length {
                return Ok(heard);
            }
        }
        panic!("{length} bytes were awaited, {} came", heard.len());
    }

    /// The sessions whose requests have come, in their order.
    fn asked(&self) -> Vec<SessionId> {
        self.input.statements.iter().map(|statement| statement.session).collect()
    }

    /// One that is accepted and logged in, and its session.
    fn client(&mut self) -> (TcpStream, SessionId) {
        let mut far = TcpStream::connect(self.address).unwrap();
        far.set_nodelay(true).unwrap();
        let before: Vec<SessionId> = self.sessions.sessions.keys().copied().collect();
        self.sessions.accept(self.now);
        let id = self.sessions.sessions.keys().copied().find(|id| !before.contains(id)).unwrap();
        far.write_all(&login()).unwrap();
        let header = self.hears(&mut far, 4).unwrap();
        let greeting = usize::from(header[0]);
        self.hears(&mut far, greeting + 4 + 7).unwrap();
        (far, id)
    }
}

#[test]
fn a_session_whose_request_has_just_come_is_not_closed_for_room() {
    let mut story = Story::new(2);
    let (mut asks, asking) = story.client();
    let (_rests, resting) = story.client();
    story.now += 1.0;
    // The session idle for longest has a request that came after all had been read.
    story.sessions.sessions.get_mut(&asking).unwrap().active_at = 99.0;
    asks.write_all(&query(&request("look", 5000, "x"))).unwrap();
    let _third = TcpStream::connect(story.address).unwrap();
    story.sessions.accept(story.now);
    let open = |id: &SessionId| story.sessions.sessions.contains_key(id);
    assert_eq!((open(&asking), open(&resting)), (true, false));
    story.turn();
    assert_eq!(story.asked(), [asking]);
}

#[test]
fn where_all_have_just_asked_none_is_closed_and_the_newcomer_waits() {
    let mut story = Story::new(2);
    let (mut one, _) = story.client();
    let (mut other, _) = story.client();
    story.now += 1.0;
    one.write_all(&query(&request("look", 5000, "x"))).unwrap();
    other.write_all(&packet(0, &[0x0e])).unwrap();
    let _third = TcpStream::connect(story.address).unwrap();
    story.sessions.accept(story.now);
    assert_eq!((story.sessions.sessions.len(), story.sessions.accepts_more()), (2, false));
    // The one that only said something may go once it has its answer.
    assert_eq!(story.hears(&mut other, 11).unwrap().len(), 11);
    story.sessions.accept(story.now);
    assert_eq!((story.sessions.sessions.len(), story.sessions.counters.sessions_closed_for_room), (2, 1));
    assert_eq!(story.input.statements.len(), 1);
}

/// The page's words: what is read after the shutdown and sent on is lost, and a close over unread bytes is a reset.
#[test]
fn at_the_end_a_request_that_crosses_the_shutdown_is_neither_begun_nor_reset() {
    let mut story = Story::new(8);
    let (mut crosses, _) = story.client();
    let (rests, _) = story.client();
    assert!(!story.sessions.close_gracefully(story.now));
    crosses.write_all(&query(&request("look", 5000, "x"))).unwrap();
    assert!(story.hears(&mut crosses, 1).unwrap().is_empty(), "an end, and no error");
    assert!(story.input.statements.is_empty());
    assert!(TcpStream::connect(story.address).is_err(), "nobody else is let in");
    drop((crosses, rests));
    while !story.sessions.sessions.is_empty() {
        story.turn();
    }
    assert!(story.sessions.close_gracefully(story.now), "all have gone, there is nothing to wait for");
}

/// What comes between the turn's reading and its end: on a session that rests, and with a connection of its own.
#[test]
fn at_the_end_a_request_that_came_after_the_turn_had_read_is_taken_also_with_its_login() {
    let mut story = Story::new(8);
    let (mut asks, asking) = story.client();
    let (_rests, resting) = story.client();
    asks.write_all(&query(&request("look", 5000, "x"))).unwrap();
    let mut newcomer = TcpStream::connect(story.address).unwrap();
    newcomer.write_all(&[login(), query(&request("look", 5000, "x"))].concat()).unwrap();
    assert!(!story.sessions.close_gracefully(story.now), "one has connected");
    story.turn();
    let asked = story.asked();
    assert!(asked.len() == 2 && asked.contains(&asking) && !asked.contains(&resting), "{asked:?}");
    // The same where nobody has connected: what has just come is read before its session would end.
    for id in asked {
        story.sessions.answer(id, Answer::Failed, story.now);
    }
    story.turn();
    asks.write_all(&query(&request("look", 5000, "x"))).unwrap();
    assert!(!story.sessions.close_gracefully(story.now));
    story.turn();
    assert_eq!(story.input.statements.last().map(|statement| statement.session), Some(asking));
    assert_eq!(story.input.statements.len(), 3);
}

#[test]
fn at_the_end_a_request_that_came_before_the_shutdown_is_taken_and_a_deaf_client_holds_up_nothing() {
    let mut story = Story::new(8);
    let (mut asks, id) = story.client();
    let (_deaf, _) = story.client();
    // Two at once: the second is still to be taken when the first has its answer.
    asks.write_all(&query(&request("look", 5000, "x")).repeat(2)).unwrap();
    story.turn();
    assert_eq!(story.input.statements.len(), 1);
    assert!(!story.sessions.close_gracefully(story.now));
    story.sessions.answer(id, Answer::Failed, story.now);
    assert!(!story.sessions.close_gracefully(story.now));
    story.turn();
    assert_eq!(story.input.statements.len(), 2);
    story.sessions.answer(id, Answer::Failed, story.now);
    // Its client has the same time for the last answer, though the first end is long over.
    story.now += 5.0;
    assert!(!story.sessions.close_gracefully(story.now));
    assert!(!story.sessions.close_gracefully(story.now + 0.09));
    assert!(story.sessions.close_gracefully(story.now + 0.11));
    asks.shutdown(Shutdown::Both).unwrap();
}
#[test]
fn nobody_is_closed_for_room_while_no_connection_waits() {
    let mut story = Story::new(2);
    let (_one, _) = story.client();
    let (_other, _) = story.client();
    story.sessions.accept(story.now);
    assert_eq!((story.sessions.sessions.len(), story.sessions.counters.sessions_closed_for_room), (2, 0));
}

/// While discovery is down those that look whether the router is ready come and go: none of them is kept.
#[test]
fn one_that_pings_before_any_list_and_goes_is_let_go() {
    let mut story = Story::new(8);
    let (mut pings, id) = story.client();
    pings.write_all(&packet(0, &[0x0e])).unwrap();
    let mut input = TurnInput::default();
    story.sessions.work(id, READABLE, false, story.now, &mut input);
    assert!(story.sessions.sessions.contains_key(&id), "it waits for its answer");
    drop(pings);
    for _ in 0..2000 {
        story.sessions.work(id, READABLE, false, story.now, &mut input);
        if !story.sessions.sessions.contains_key(&id) {
            return;
        }
        std::thread::sleep(std::time::Duration::from_millis(1));
    }
    panic!("it is kept");
}

/// A client that takes some bytes of its answer now and then keeps its session no longer than an answer may take.
#[test]
fn one_that_takes_its_answer_by_and_by_has_only_so_long() {
    let mut story = Story::new(8);
    let (mut slow, id) = story.client();
    slow.write_all(&query(&request("look", 5000, "x"))).unwrap();
    while story.input.statements.is_empty() {
        story.turn();
    }
    // More than the system holds for the two.
    let row = [vec![b'x'; 5900], b"\tone\ttwo\n".to_vec()].concat();
    story.sessions.answer(id, Answer::Completed(row.repeat(4000)), story.now);
    let mut bytes = vec![0; 1 << 16];
    let (mut taken, begun) = (0, story.now);
    while story.sessions.sessions.contains_key(&id) {
        assert!(story.now < begun + 40.0, "it is kept, {taken} bytes taken");
        taken += slow.read(&mut bytes).unwrap();
        story.turn();
        let session = story.sessions.sessions.get(&id).unwrap();
        assert!(session.unsent() > 0, "the answer is not taken whole");
        assert_eq!(session.active_at, story.now, "it is no stalled one");
        story.now += 1.0;
        let (now, input) = (story.now, &mut story.input);
        story.sessions.sweep(now, input);
    }
    assert!(story.now >= begun + 30.0, "closed after {} s", story.now - begun);
}

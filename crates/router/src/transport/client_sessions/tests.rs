use super::super::event_source::ReadyEvents;
use super::*;
use crate::memory_budget::Reservation;
use crate::status_row::StatusRow;
use calloop::EventLoop;
use cleatgw_testbed::stand_ins::{login, packet, query, request};
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};

const READABLE: Readiness = Readiness { readable: true, ..Readiness::EMPTY };
/// The command byte of a ping.
const PING: u8 = 0x0e;
/// The length of a packet's header on the wire, in bytes.
const HEADER_LENGTH: usize = 4;
/// The length of an OK packet with its header on the wire, in bytes.
const OK_PACKET_LENGTH: usize = 11;

/// The listener and its sessions on real sockets; the test runs their turns and sets their clock.
struct Harness {
    _event_loop: EventLoop<'static, ReadyEvents>,
    sessions: ClientSessions,
    address: SocketAddr,
    now: f64,
    input: TurnInput,
}

impl Harness {
    fn new(max_sessions: usize) -> Harness {
        Harness::with_limits(&MemoryLimits::new(1 << 20, 2 * max_sessions))
    }

    fn with_limits(limits: &MemoryLimits) -> Harness {
        let event_loop = EventLoop::try_new().unwrap();
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let sessions = ClientSessions::open(&event_loop.handle(), any_port, limits).unwrap();
        let address = sessions.listener.as_ref().unwrap().socket.local_addr().unwrap();
        Harness { _event_loop: event_loop, sessions, address, now: 100.0, input: TurnInput::default() }
    }

    /// Every session reads the available bytes and handles what it can.
    fn turn(&mut self) {
        for id in self.sessions.sessions.keys().copied().collect::<Vec<_>>() {
            self.sessions.process_session(id, READABLE, true, self.now, &mut self.input);
        }
        self.sessions.read_new_sessions(true, self.now, &mut self.input);
    }

    /// Runs turns until the client has received this many bytes, the end of the stream, or an error.
    fn receive(&mut self, client: &mut TcpStream, length: usize) -> std::io::Result<Vec<u8>> {
        client.set_read_timeout(Some(std::time::Duration::from_millis(5))).unwrap();
        let mut received = Vec::new();
        for _ in 0..2000 {
            self.turn();
            let mut bytes = vec![0; length - received.len()];
            match client.read(&mut bytes) {
                Ok(0) => return Ok(received),
                Ok(read) => received.extend(&bytes[..read]),
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                Err(error) => return Err(error),
            }
            if received.len() == length {
                return Ok(received);
            }
        }
        panic!("received {} of {length} bytes", received.len());
    }

    /// Runs turns until this many requests have arrived.
    fn turn_until_requests(&mut self, count: usize) {
        for _ in 0..2000 {
            self.turn();
            if self.input.statements.len() >= count {
                return;
            }
            std::thread::sleep(std::time::Duration::from_millis(1));
        }
        panic!("{} of {count} requests have arrived", self.input.statements.len());
    }

    /// The sessions whose requests have arrived, in the order of arrival.
    fn requesting_sessions(&self) -> Vec<SessionId> {
        self.input.statements.iter().map(|statement| statement.session).collect()
    }

    /// Connects a client and logs it in.
    fn connect_client(&mut self) -> (TcpStream, SessionId) {
        let mut client = TcpStream::connect(self.address).unwrap();
        client.set_nodelay(true).unwrap();
        let before: Vec<SessionId> = self.sessions.sessions.keys().copied().collect();
        self.sessions.accept(self.now);
        let id = self.sessions.sessions.keys().copied().find(|id| !before.contains(id)).unwrap();
        client.write_all(&login()).unwrap();
        let header = self.receive(&mut client, HEADER_LENGTH).unwrap();
        let greeting_length = usize::from(header[0]);
        self.receive(&mut client, greeting_length + OK_PACKET_LENGTH).unwrap();
        (client, id)
    }
}

#[test]
fn a_session_whose_request_has_just_arrived_is_not_closed_to_free_a_place() {
    let mut harness = Harness::new(2);
    let (mut busy_client, busy) = harness.connect_client();
    let (_idle_client, idle) = harness.connect_client();
    harness.now += 1.0;
    // The session that has been idle for longest has a request that arrived after the last read.
    harness.sessions.sessions.get_mut(&busy).unwrap().active_at = 99.0;
    busy_client.write_all(&query(&request("look", 5000, "x"))).unwrap();
    let _third = TcpStream::connect(harness.address).unwrap();
    harness.sessions.accept(harness.now);
    let is_open = |id: &SessionId| harness.sessions.sessions.contains_key(id);
    assert_eq!((is_open(&busy), is_open(&idle)), (true, false));
    harness.turn();
    assert_eq!(harness.requesting_sessions(), [busy]);
}

#[test]
fn when_every_session_has_unread_input_none_is_closed_and_the_new_connection_waits() {
    let mut harness = Harness::new(2);
    let (mut querying, _) = harness.connect_client();
    let (mut pinging, _) = harness.connect_client();
    harness.now += 1.0;
    querying.write_all(&query(&request("look", 5000, "x"))).unwrap();
    pinging.write_all(&packet(0, &[PING])).unwrap();
    let _third = TcpStream::connect(harness.address).unwrap();
    harness.sessions.accept(harness.now);
    assert_eq!((harness.sessions.sessions.len(), harness.sessions.can_accept_now()), (2, false));
    // The session that sent a ping may be closed once it has its answer.
    assert_eq!(harness.receive(&mut pinging, OK_PACKET_LENGTH).unwrap().len(), OK_PACKET_LENGTH);
    harness.sessions.accept(harness.now);
    assert_eq!((harness.sessions.sessions.len(), harness.sessions.counters.sessions_evicted), (2, 1));
    assert_eq!(harness.input.statements.len(), 1);
}

/// A request that is read after this side was shut down must not be begun: its answer could not be sent any more. Its
/// bytes must still be read, since closing a connection with unread bytes resets it.
#[test]
fn at_a_planned_stop_a_request_that_crosses_the_shutdown_is_neither_begun_nor_reset() {
    let mut harness = Harness::new(8);
    let (mut crossing, _) = harness.connect_client();
    let (idle, _) = harness.connect_client();
    assert!(!harness.sessions.close_gracefully(harness.now));
    crossing.write_all(&query(&request("look", 5000, "x"))).unwrap();
    assert!(
        harness.receive(&mut crossing, 1).unwrap().is_empty(),
        "the stream must end without an error or bytes"
    );
    assert!(harness.input.statements.is_empty());
    assert!(TcpStream::connect(harness.address).is_err(), "no new connection may be accepted");
    drop((crossing, idle));
    while !harness.sessions.sessions.is_empty() {
        harness.turn();
    }
    assert!(
        harness.sessions.close_gracefully(harness.now),
        "the stop must finish once all clients have closed"
    );
}

/// Requests that arrive between the turn's reading and its end are handled: on an idle session, and on a new connection
/// together with its login.
#[test]
fn at_a_planned_stop_a_request_that_arrives_after_the_turns_reading_is_handled_on_an_idle_session_and_on_a_new_one(
) {
    let mut harness = Harness::new(8);
    let (mut requesting_client, requesting) = harness.connect_client();
    let (_idle_client, idle) = harness.connect_client();
    requesting_client.write_all(&query(&request("look", 5000, "x"))).unwrap();
    let mut new_client = TcpStream::connect(harness.address).unwrap();
    new_client.write_all(&[login(), query(&request("look", 5000, "x"))].concat()).unwrap();
    assert!(
        !harness.sessions.close_gracefully(harness.now),
        "the stop must not finish while a new client has no session"
    );
    harness.turn();
    let sessions = harness.requesting_sessions();
    assert!(
        sessions.len() == 2 && sessions.contains(&requesting) && !sessions.contains(&idle),
        "the two sessions with requests must be handled, not {sessions:?}"
    );
    // The same without a new connection: a request that has just arrived is read before its session would be closed.
    for id in sessions {
        harness.sessions.answer(id, Answer::Failed, harness.now);
    }
    harness.turn();
    requesting_client.write_all(&query(&request("look", 5000, "x"))).unwrap();
    assert!(!harness.sessions.close_gracefully(harness.now));
    harness.turn();
    assert_eq!(harness.input.statements.last().map(|statement| statement.session), Some(requesting));
    assert_eq!(harness.input.statements.len(), 3);
}

#[test]
fn at_a_planned_stop_a_request_from_before_the_shutdown_is_handled_and_an_unresponsive_client_delays_nothing()
{
    let mut harness = Harness::new(8);
    let (mut requesting, id) = harness.connect_client();
    let (_unresponsive, _) = harness.connect_client();
    // Two requests at once: the second is not handled yet when the first is answered.
    requesting.write_all(&query(&request("look", 5000, "x")).repeat(2)).unwrap();
    harness.turn();
    assert_eq!(harness.input.statements.len(), 1);
    assert!(!harness.sessions.close_gracefully(harness.now));
    harness.sessions.answer(id, Answer::Failed, harness.now);
    assert!(!harness.sessions.close_gracefully(harness.now));
    harness.turn();
    assert_eq!(harness.input.statements.len(), 2);
    harness.sessions.answer(id, Answer::Failed, harness.now);
    // The client has the full time to read the last answer, although the first closing began long before.
    harness.now += 5.0;
    assert!(!harness.sessions.close_gracefully(harness.now));
    assert!(!harness.sessions.close_gracefully(harness.now + 0.09));
    assert!(harness.sessions.close_gracefully(harness.now + 0.11));
    requesting.shutdown(Shutdown::Both).unwrap();
}

#[test]
fn no_session_is_closed_to_free_a_place_while_no_connection_waits() {
    let mut harness = Harness::new(2);
    let (_first, _) = harness.connect_client();
    let (_second, _) = harness.connect_client();
    harness.sessions.accept(harness.now);
    assert_eq!((harness.sessions.sessions.len(), harness.sessions.counters.sessions_evicted), (2, 0));
}

/// While the discovery service is unavailable, health checks connect, ping and disconnect repeatedly. Their sessions must
/// not accumulate.
#[test]
fn a_session_that_pings_before_any_engine_list_is_removed_when_its_client_disconnects() {
    let mut harness = Harness::new(8);
    let (mut client, id) = harness.connect_client();
    client.write_all(&packet(0, &[PING])).unwrap();
    let mut input = TurnInput::default();
    harness.sessions.process_session(id, READABLE, false, harness.now, &mut input);
    assert!(harness.sessions.sessions.contains_key(&id), "the session must wait for its answer");
    drop(client);
    for _ in 0..2000 {
        harness.sessions.process_session(id, READABLE, false, harness.now, &mut input);
        if !harness.sessions.sessions.contains_key(&id) {
            return;
        }
        std::thread::sleep(std::time::Duration::from_millis(1));
    }
    panic!("the session must be removed after its client has disconnected");
}

/// A client that reads a few bytes of its answer now and then may not keep its session open beyond the time-out for the
/// whole answer.
#[test]
fn a_client_that_reads_its_answer_slowly_is_closed_after_the_answer_timeout() {
    let mut harness = Harness::new(8);
    let (mut slow_client, id) = harness.connect_client();
    slow_client.write_all(&query(&request("look", 5000, "x"))).unwrap();
    while harness.input.statements.is_empty() {
        harness.turn();
    }
    // The answer is larger than the system's socket buffers on both sides.
    let row = [vec![b'x'; 5900], b"\tone\ttwo\n".to_vec()].concat();
    harness.sessions.answer(id, Answer::Completed(row.repeat(4000).into()), harness.now);
    let mut bytes = vec![0; 1 << 16];
    let (mut total_read, began_at) = (0, harness.now);
    while harness.sessions.sessions.contains_key(&id) {
        assert!(
            harness.now < began_at + 40.0,
            "the session must be closed by now, {total_read} bytes were read"
        );
        total_read += slow_client.read(&mut bytes).unwrap();
        harness.turn();
        let session = harness.sessions.sessions.get(&id).unwrap();
        assert!(session.has_unsent(), "the answer must not be written in full");
        assert_eq!(session.active_at, harness.now, "the session must not count as stalled");
        harness.now += 1.0;
        let (now, input) = (harness.now, &mut harness.input);
        harness.sessions.sweep(now, input);
    }
    assert!(
        harness.now >= began_at + 30.0,
        "the session must not be closed before 30 s, was closed after {} s",
        harness.now - began_at
    );
}

/// The first bytes of an error packet with the code of a rejection, behind its header.
fn is_rejection(packet: &[u8]) -> bool {
    if packet.len() < HEADER_LENGTH + 3 {
        return false;
    }
    let code = u16::from_le_bytes([packet[HEADER_LENGTH + 1], packet[HEADER_LENGTH + 2]]);
    packet[HEADER_LENGTH] == 0xff && code == 1040
}

/// Receives one whole packet.
fn receive_packet(harness: &mut Harness, client: &mut TcpStream) -> Vec<u8> {
    let header = harness.receive(client, HEADER_LENGTH).unwrap();
    let body = harness.receive(client, usize::from(header[0])).unwrap();
    [header, body].concat()
}

/// Guards against requests that together exceed the router's memory, whatever their number and length.
#[test]
fn a_request_that_finds_no_memory_is_rejected_and_admitted_once_others_have_ended() {
    let limits = MemoryLimits::new(1 << 20, 16);
    let mut harness = Harness::with_limits(&limits);
    let (mut client, id) = harness.connect_client();
    // Others leave less than a request needs.
    let others = limits.requests.reserve((1 << 17) - 1000).unwrap();
    client.write_all(&query(&request("look", 5000, "x"))).unwrap();
    let answer = receive_packet(&mut harness, &mut client);
    assert!(is_rejection(&answer), "{answer:?}");
    assert_eq!((harness.input.statements.len(), harness.sessions.counters.memory_shortages), (0, 1));
    drop(others);
    client.write_all(&query(&request("look", 5000, "x"))).unwrap();
    harness.turn_until_requests(1);
    assert_eq!(harness.requesting_sessions(), [id]);
    assert!(limits.requests.reserved() > 6000, "{}", limits.requests.reserved());
    // The reservation ends with the request.
    harness.input.statements.clear();
    assert_eq!(limits.requests.reserved(), 0);
}

/// Guards against packets that together exceed the router's memory while they arrive.
#[test]
fn a_long_packet_that_finds_no_memory_is_refused_with_an_error_while_short_ones_are_served() {
    let limits = MemoryLimits::new(1 << 20, 16);
    let mut harness = Harness::with_limits(&limits);
    let (mut long_client, long) = harness.connect_client();
    let (mut short_client, short) = harness.connect_client();
    let _others = limits.session_buffers.reserve(1 << 16).unwrap();
    long_client.write_all(&query(&request("look", 5000, &"x".repeat(12_000)))).unwrap();
    let answer = receive_packet(&mut harness, &mut long_client);
    assert!(is_rejection(&answer), "{answer:?}");
    // The rest of the packet is read and discarded, so that the answer is not lost in a reset.
    assert!(harness.receive(&mut long_client, 1).unwrap().is_empty(), "the stream must end without an error");
    short_client.write_all(&query(&request("look", 5000, "x"))).unwrap();
    harness.turn_until_requests(1);
    assert_eq!(harness.requesting_sessions(), [short]);
    assert!(harness.sessions.sessions.get(&long).is_none_or(|session| !session.is_waiting()));
    assert_eq!(harness.sessions.counters.memory_shortages, 1);
    let reserved = limits.session_buffers.reserved();
    assert!(reserved <= 1 << 16, "{reserved} bytes");
}

/// A client that reads nothing holds the memory of its answer. While others lack memory it has less time than otherwise.
#[test]
fn a_client_that_reads_nothing_is_closed_sooner_while_the_router_is_short_of_memory() {
    for is_short_of_memory in [false, true] {
        let mut harness = Harness::new(8);
        let (mut client, id) = harness.connect_client();
        client.write_all(&query(&request("look", 5000, "x"))).unwrap();
        harness.turn_until_requests(1);
        let row = [vec![b'x'; 5900], b"\tone\ttwo\n".to_vec()].concat();
        harness.sessions.answer(id, Answer::Completed(row.repeat(4000).into()), harness.now);
        harness.now += 2.0;
        if is_short_of_memory {
            harness.sessions.note_memory_shortage();
        }
        let (now, input) = (harness.now, &mut harness.input);
        harness.sessions.sweep(now, input);
        assert_eq!(harness.sessions.sessions.contains_key(&id), !is_short_of_memory);
    }
}

/// Requests that are sent at once may wait with the system until the session has room to read them. Their time to live
/// counts from when the first ones were read, as all of them may have arrived then.
#[test]
fn the_time_to_live_of_a_request_that_waited_unread_counts_from_the_first_read() {
    let limits = MemoryLimits::new(1 << 20, 16);
    let mut harness = Harness::with_limits(&limits);
    let (mut client, id) = harness.connect_client();
    let _others = limits.session_buffers.reserve(1 << 16).unwrap();
    let count = 40;
    let at_once: Vec<u8> = (0..count).flat_map(|_| query(&request("look", 5000, "x"))).collect();
    client.write_all(&at_once).unwrap();
    for number in 1..=count {
        harness.turn_until_requests(number);
        let SessionStatement { statement, memory, .. } = &mut harness.input.statements[number - 1];
        // The requests are not to run out of memory themselves.
        *memory = Reservation::default();
        let expected = 5.0 - (harness.now - 100.0);
        assert!((statement.time_to_live - expected).abs() < 1e-9, "request {number}");
        let held = harness.sessions.sessions[&id].buffered_input();
        assert!(held <= 2048, "{held} bytes are read ahead");
        harness.now += 0.1;
        harness.sessions.answer(id, Answer::Failed, harness.now);
    }
    // A request that is sent after all have been read counts from its own arrival.
    harness.turn();
    client.write_all(&query(&request("look", 5000, "x"))).unwrap();
    harness.turn_until_requests(count + 1);
    assert_eq!(harness.input.statements[count].statement.time_to_live, 5.0);
}

/// A packet that fills the input to its limit leaves nothing unread: the next request counts from its own arrival.
#[test]
fn the_time_to_live_of_a_request_behind_a_long_one_counts_from_its_own_arrival() {
    let mut harness = Harness::new(8);
    let (mut client, id) = harness.connect_client();
    // The session accepts just this long a packet.
    let overhead = query(&request("look", 5000, "")).len();
    let long = query(&request("look", 5000, &"x".repeat(16 * 1024 - overhead)));
    assert_eq!(long.len(), 16 * 1024);
    client.write_all(&long).unwrap();
    harness.turn_until_requests(1);
    harness.now += 1.0;
    // The next request arrives after the answer, before the session is processed again.
    harness.sessions.answer(id, Answer::Failed, harness.now);
    client.write_all(&query(&request("look", 5000, "x"))).unwrap();
    std::thread::sleep(std::time::Duration::from_millis(20));
    harness.turn_until_requests(2);
    assert_eq!(harness.input.statements[1].statement.time_to_live, 5.0);
}

/// Guards against status tables that together exceed the router's memory: many sessions ask, and read nothing.
#[test]
fn a_status_table_that_finds_no_memory_is_refused_and_sent_once_there_is_room() {
    let limits = MemoryLimits::new(1 << 20, 16);
    let mut harness = Harness::with_limits(&limits);
    let (mut client, _) = harness.connect_client();
    let row = StatusRow::new("tenant", "queued", "x".repeat(50));
    let rows = vec![row; 400];
    let others = limits.session_buffers.reserve(1 << 16).unwrap();
    let refusal = ask_for_table(&mut harness, &mut client, &rows);
    assert!(is_rejection(&refusal), "{refusal:?}");
    assert_eq!(limits.session_buffers.reserved(), 1 << 16);
    drop(others);
    let first_packet = ask_for_table(&mut harness, &mut client, &rows);
    assert_eq!(first_packet[HEADER_LENGTH..], [StatusRow::COLUMNS.len() as u8], "the number of columns");
    harness.turn();
    assert_eq!(harness.sessions.counters.memory_shortages, 1);
}

/// Asks for a status table, answers with these rows, and returns the first packet that the client receives.
fn ask_for_table(harness: &mut Harness, client: &mut TcpStream, rows: &[StatusRow]) -> Vec<u8> {
    client.write_all(&query("SHOW TEAMS")).unwrap();
    for _ in 0..2000 {
        harness.turn();
        if !harness.sessions.questions().is_empty() {
            break;
        }
        std::thread::sleep(std::time::Duration::from_millis(1));
    }
    assert_eq!(harness.sessions.questions(), [StatusTopic::Teams]);
    harness.sessions.answer_status(StatusTopic::Teams, Some(rows), harness.now);
    receive_packet(harness, client)
}

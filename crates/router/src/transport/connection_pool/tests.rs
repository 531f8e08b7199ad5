use super::super::event_source::{EventSource, ReadyEvents};
use super::super::sockets::{begin_connect, RegisteredStream};
use super::*;
use crate::memory_budget::MemoryBudget;
use crate::protocol::engine::{EngineRequest, MAX_BODY};
use crate::routing::types::{AttemptResult, Reply};
use calloop::EventLoop;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;

const LIMITS: ConnectionLimits =
    ConnectionLimits { connect_timeout: 0.25, idle_after: 30.0, max_attempts_per_connection: 100 };

/// A connection pool with the test's own clock, and a listener on which the test plays the engine.
struct PoolTest {
    _event_loop: EventLoop<'static, ReadyEvents>,
    pool: ConnectionPool,
    listener: TcpListener,
    address: SocketAddr,
    now: f64,
}

/// Budgets that no test exhausts by chance.
fn ample_budgets() -> EngineBudgets {
    EngineBudgets { requests: MemoryBudget::new(1 << 30), results: MemoryBudget::new(1 << 30) }
}

fn engine_request(id: &str) -> EngineRequest<'_> {
    EngineRequest {
        id,
        class: "look",
        wait: 9.0,
        idempotency_key: None,
        grant_mb: 0.0,
        lane: 1,
        statement: b"x",
    }
}

fn attempt(request: usize) -> AttemptId {
    AttemptId { request, number: 0 }
}

impl PoolTest {
    fn new() -> PoolTest {
        PoolTest::with_budgets(ample_budgets())
    }

    fn with_budgets(budgets: EngineBudgets) -> PoolTest {
        let event_loop = EventLoop::try_new().unwrap();
        let pool = ConnectionPool::new(&event_loop.handle(), LIMITS, 40, budgets);
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        PoolTest { _event_loop: event_loop, pool, listener, address, now: 100.0 }
    }

    fn dispatch(&mut self, request: usize) {
        self.dispatch_by(attempt(request), f64::INFINITY);
    }

    /// Dispatches an attempt to engine 1 that must be sent by `leave_by`.
    fn dispatch_by(&mut self, attempt: AttemptId, leave_by: f64) {
        self.dispatch_to(attempt, 1, leave_by);
    }

    fn dispatch_to(&mut self, attempt: AttemptId, engine: u64, leave_by: f64) {
        let id = format!("{:016x}", attempt.request);
        let request = engine_request(&id);
        let dispatch = Dispatch { attempt, engine, address: self.address, request, leave_by };
        self.pool.dispatch(dispatch, self.now);
    }

    /// Accepts the next connection as the engine, and waits until `first` has arrived on it.
    fn accept(&mut self, first: &str) -> TcpStream {
        self.listener.set_nonblocking(true).unwrap();
        for _ in 0..2000 {
            if let Ok((mut engine, _)) = self.listener.accept() {
                engine.set_nonblocking(false).unwrap();
                self.receive(&mut engine, first);
                return engine;
            }
            std::thread::sleep(std::time::Duration::from_millis(1));
        }
        panic!("no connection came");
    }

    /// Runs the pool until the engine has received `expected`.
    fn receive(&mut self, engine: &mut TcpStream, expected: &str) {
        self.received_until(engine, expected);
    }

    /// Runs the pool until the engine has received `expected`, and returns all that it has received meanwhile.
    fn received_until(&mut self, engine: &mut TcpStream, expected: &str) -> String {
        let mut text = String::new();
        engine.set_read_timeout(Some(std::time::Duration::from_millis(5))).unwrap();
        for _ in 0..2000 {
            self.run_turn();
            let mut bytes = [0; 4096];
            let read = engine.read(&mut bytes).unwrap_or(0);
            text.push_str(std::str::from_utf8(&bytes[..read]).unwrap());
            if text.contains(expected) {
                return text;
            }
        }
        panic!("{expected:?} is not in {text:?}");
    }

    /// Runs all connections once, then what follows in a turn of the event loop.
    fn run_turn(&mut self) {
        for id in self.pool.connections.all().map(|(id, _)| id).collect::<Vec<_>>() {
            self.pool.process_io(id, true, self.now);
        }
        self.pool.send_queued(self.now);
        self.pool.request_waiting_pages(self.now);
        self.pool.run_due(self.now);
    }

    /// Sends `text` as the engine and runs the pool until at least `count` attempts have ended, or gives up after 2000
    /// rounds. Returns the attempts that have ended.
    fn send_and_take_ended(
        &mut self,
        engine: &mut TcpStream,
        text: &str,
        count: usize,
    ) -> Vec<(usize, AttemptResult)> {
        engine.write_all(text.as_bytes()).unwrap();
        let mut ended = Vec::new();
        for _ in 0..2000 {
            self.run_turn();
            self.pool.take_ended(&mut ended);
            if ended.len() >= count {
                break;
            }
            std::thread::sleep(std::time::Duration::from_millis(1));
        }
        ended.into_iter().map(|ended| (ended.attempt.request, ended.result)).collect()
    }

    /// Runs the pool once, and returns the attempts that have ended.
    fn take_ended(&mut self) -> Vec<(usize, AttemptResult)> {
        self.run_turn();
        let mut ended = Vec::new();
        self.pool.take_ended(&mut ended);
        ended.into_iter().map(|ended| (ended.attempt.request, ended.result)).collect()
    }
}

/// An answer line of the engine protocol with its body.
fn answer(request: usize, word: &str, fields: &str, body: &str) -> String {
    format!("{request:016x} {word} {fields} {}\r\n{body}\r\n", body.len())
}

fn done() -> AttemptResult {
    Ok(Reply::Completed { rows: b"a\tb\tc\n".to_vec().into(), measured: None, memory_wait: 0.0 })
}

#[test]
fn a_cancelled_attempt_ends_when_the_engine_confirms_it_or_the_time_out_passes() {
    let mut test = PoolTest::new();
    test.dispatch(1);
    let mut engine = test.accept("GET");
    test.dispatch(2);
    test.pool.cancel(attempt(1), test.now);
    test.receive(&mut engine, &format!("DROP {:016x}\r\nPING {:016x}\r\n", 1, 1));
    assert_eq!(test.take_ended(), [], "the engine may not have read the cancellation yet");
    let ends = test.send_and_take_ended(&mut engine, &answer(1, "FIT", "-", ""), 1);
    assert_eq!(ends, [(1, Err(DeliveryFailure::Unanswered))]);
    test.pool.cancel(attempt(2), test.now);
    // An answer that crosses the cancellation does not count.
    engine.write_all(answer(2, "DONE", "-", "a\tb\tc\n").as_bytes()).unwrap();
    test.now += 0.09;
    assert_eq!(test.take_ended(), []);
    test.now += 0.02;
    assert_eq!(test.take_ended(), [(2, Err(DeliveryFailure::Unanswered))]);
    assert!(test.pool.due() > test.now, "nothing more is due");
}

#[test]
fn an_incomplete_answer_fails_its_connection_and_attempts_end_once_the_engine_can_notice() {
    let mut test = PoolTest::new();
    test.dispatch(1);
    let mut engine = test.accept("GET");
    test.dispatch(2);
    engine.write_all(&answer(1, "DONE", "-", "a\tb\tc\n").as_bytes()[..30]).unwrap();
    test.receive(&mut engine, "GET");
    test.now += 0.45;
    assert_eq!(test.take_ended(), []);
    assert!(test.pool.due() <= test.now + 0.06);
    test.now += 0.06;
    assert_eq!(test.take_ended(), [], "the engine may still run the attempts");
    assert_eq!((test.pool.connections.len(), test.pool.counters.engine_connections_malformed), (0, 1));
    test.now += 0.06;
    let mut ends = test.take_ended();
    ends.sort_by_key(|(request, _)| *request);
    assert_eq!(ends, [(1, Err(DeliveryFailure::Unanswered)), (2, Err(DeliveryFailure::Unanswered))]);
}

#[test]
fn duplicate_answers_and_answers_with_unknown_ids_end_no_attempt() {
    let mut test = PoolTest::new();
    test.dispatch(1);
    let mut engine = test.accept("GET");
    let (row, first_page) = ("a\tb\tc\n", answer(1, "DONE", "parts=3", "a\tb\tc\n"));
    let page = |number: usize| answer(1, "MORE", &format!("part_no={number}"), row);
    let answers =
        [answer(9, "DONE", "-", row), first_page.clone(), first_page, page(2), page(2), page(1), page(1)];
    let ends = test.send_and_take_ended(&mut engine, &answers.concat(), 1);
    let rows = row.repeat(3).into_bytes().into();
    let complete = Reply::Completed { rows, measured: None, memory_wait: 0.0 };
    assert_eq!(ends, [(1, Ok(complete))]);
    test.dispatch(2);
    assert_eq!(test.send_and_take_ended(&mut engine, &answer(2, "DONE", "-", row), 1), [(2, done())]);
    assert_eq!((test.pool.connections.len(), test.pool.counters.engine_connections_malformed), (1, 0));
}

/// The number of pages that were requested for an attempt, in what the engine received.
fn pages_requested(received: &str, request: usize) -> usize {
    received.matches(&format!("PAGE {request:016x} ")).count()
}

/// Guards against results that together exceed the router's memory: engines send a first page unasked, but further pages
/// only on request.
#[test]
fn further_pages_are_requested_only_as_far_as_there_is_memory_for_them_in_the_order_of_the_first_pages() {
    // There is room for the further pages of one result.
    let budgets = EngineBudgets { results: MemoryBudget::new(3 * MAX_BODY - 1), ..ample_budgets() };
    let results = budgets.results.clone();
    let mut test = PoolTest::with_budgets(budgets);
    test.dispatch(1);
    let mut engine = test.accept("GET");
    (2..=4).for_each(|request| test.dispatch(request));
    let row = "a\tb\tc\n";
    let first_pages: Vec<String> = (1..=4).map(|request| answer(request, "DONE", "parts=3", row)).collect();
    engine.write_all(first_pages.concat().as_bytes()).unwrap();
    let received = test.received_until(&mut engine, &format!("PAGE {:016x} 2", 1));
    assert_eq!((1..=4).map(|request| pages_requested(&received, request)).collect::<Vec<_>>(), [2, 0, 0, 0]);
    assert_eq!((results.reserved(), test.pool.counters.memory_shortages), (2 * MAX_BODY, 3));
    assert!(test.pool.is_short_of_memory());
    // A request that is cancelled while it waits holds up none behind it.
    test.pool.cancel(attempt(2), test.now);
    let pages = |request: usize| {
        [1, 2].map(|number| answer(request, "MORE", &format!("part_no={number}"), row)).concat()
    };
    // Less than the time after which a cancelled attempt ends unconfirmed.
    let wait = 0.0625;
    test.now += wait;
    let mut ends = test.send_and_take_ended(&mut engine, &pages(1), 1);
    let complete = |memory_wait| {
        Ok(Reply::Completed { rows: row.repeat(3).into_bytes().into(), measured: None, memory_wait })
    };
    assert_eq!(ends, [(1, complete(0.0))]);
    // The memory of a result is released with it.
    ends.clear();
    let received = test.received_until(&mut engine, &format!("PAGE {:016x} 2", 3));
    assert_eq!((2..=4).map(|request| pages_requested(&received, request)).collect::<Vec<_>>(), [0, 2, 0]);
    assert_eq!(test.send_and_take_ended(&mut engine, &pages(3), 1), [(3, complete(wait))]);
    test.received_until(&mut engine, &format!("PAGE {:016x} 2", 4));
    assert_eq!(test.send_and_take_ended(&mut engine, &pages(4), 1), [(4, complete(wait))]);
    assert!(!test.pool.is_short_of_memory());
    assert_eq!((results.reserved(), test.pool.counters.memory_shortages), (0, 3));
}

#[test]
fn an_attempt_whose_request_finds_no_memory_in_its_connection_was_never_sent() {
    let budgets = EngineBudgets { requests: MemoryBudget::new(0), ..ample_budgets() };
    let mut test = PoolTest::with_budgets(budgets);
    test.dispatch(1);
    let mut engine = test.accept("GET");
    let long = vec![b'x'; 100_000];
    let request = EngineRequest { statement: &long, ..engine_request("0000000000000002") };
    let (attempt, address) = (attempt(2), test.address);
    let dispatch = Dispatch { attempt, engine: 1, address, request, leave_by: f64::INFINITY };
    test.pool.dispatch(dispatch, test.now);
    assert_eq!(test.take_ended(), [(2, Err(DeliveryFailure::NeverSent))]);
    // The connection is sound: it carries the other attempt to its end.
    let ends = test.send_and_take_ended(&mut engine, &answer(1, "DONE", "-", "a\tb\tc\n"), 1);
    assert_eq!(ends, [(1, done())]);
    assert_eq!(test.pool.connections.len(), 1);
}

#[test]
fn an_unresponsive_connection_fails_once_its_engine_answers_on_another() {
    let mut test = PoolTest::new();
    test.dispatch(1);
    let mut engine = test.accept("GET");
    test.now += 0.3;
    test.pool.sweep(test.now);
    test.receive(&mut engine, "PING sign");
    test.now += 0.3;
    test.pool.sweep(test.now);
    let mut other = test.accept("PING sign");
    test.pool.sweep(test.now);
    assert_eq!(
        test.take_ended(),
        [],
        "a new connection that came up does not prove that the engine responds"
    );
    test.now += 0.01;
    test.send_and_take_ended(&mut other, "sign FIT - 0\r\n\r\n", 0);
    test.run_turn();
    test.pool.sweep(test.now);
    test.now += 0.06;
    assert_eq!(test.take_ended(), [(1, Err(DeliveryFailure::Unanswered))]);
    assert_eq!(test.pool.connections.len(), 1, "the other connection stays open");
}

/// A repeat of a deduplicated request waits for a connection that comes up just after the request's deduplication
/// window.
#[test]
fn an_attempt_is_not_sent_after_the_time_by_which_it_must_be() {
    let mut test = PoolTest::new();
    // Both wait for a connection that is up for the system, but that the pool has not processed yet.
    test.dispatch_by(attempt(1), test.now + 0.1);
    test.dispatch_by(attempt(2), test.now + 0.3);
    assert!(
        test.pool.due() <= test.now + 0.1 + 1e-9,
        "the end is due as soon as the attempt can't be sent any more"
    );
    test.now += 0.1;
    let mut engine = test.accept(&format!("GET {:016x}", 2));
    assert_eq!(test.take_ended(), [(1, Err(DeliveryFailure::NeverSent))]);
    test.dispatch(3);
    let mut received = Vec::new();
    engine.set_read_timeout(Some(std::time::Duration::from_millis(5))).unwrap();
    while !String::from_utf8_lossy(&received).contains(&format!("GET {:016x}", 3)) {
        test.run_turn();
        let mut bytes = [0; 4096];
        let read = engine.read(&mut bytes).unwrap_or(0);
        received.extend(&bytes[..read]);
    }
    assert!(!String::from_utf8_lossy(&received).contains(&format!("GET {:016x}", 1)));
    // On a connection that is up, an attempt whose time has passed is not sent either.
    test.dispatch_by(attempt(4), test.now);
    assert_eq!(test.take_ended(), [(4, Err(DeliveryFailure::NeverSent))]);
}

/// An engine rejects a request and then gets it again, and a duplicate of its first answer arrives late. If that
/// counted as the answer to the second attempt, it would wrongly prove that nothing ran, while that attempt runs.
#[test]
fn a_late_duplicate_of_an_answer_does_not_answer_the_next_attempt() {
    for (word, reply) in
        [("WAIT", Reply::EngineFull), ("BROKE", Reply::EngineError), ("PAST", Reply::DeadlinePassed)]
    {
        let mut test = PoolTest::new();
        test.dispatch(1);
        let mut engine = test.accept("GET");
        let first = answer(1, word, "-", "");
        assert_eq!(test.send_and_take_ended(&mut engine, &first, 1), [(1, Ok(reply))]);
        test.dispatch_by(AttemptId { request: 1, number: 1 }, f64::INFINITY);
        let mut other = test.accept("GET");
        engine.write_all(first.as_bytes()).unwrap();
        test.dispatch(2);
        assert_eq!(test.take_ended(), [], "{word}");
        assert_eq!(
            test.send_and_take_ended(&mut other, &answer(1, "DONE", "-", "a\tb\tc\n"), 1),
            [(1, done())]
        );
    }
}

/// An engine starts to drain while the connection that an attempt waits for comes up.
#[test]
fn a_withdrawn_attempt_is_not_sent_when_its_connection_comes_up() {
    let mut test = PoolTest::new();
    test.dispatch(1);
    test.pool.withdraw_unsent(2);
    test.pool.withdraw_unsent(1);
    let mut ended = Vec::new();
    test.pool.take_ended(&mut ended);
    let ended: Vec<_> = ended.into_iter().map(|ended| (ended.attempt, ended.result)).collect();
    assert_eq!(ended, [(attempt(1), Err(DeliveryFailure::NeverSent))]);
    // The connection comes up all the same, and attempts that were sent on it are not withdrawn.
    test.dispatch(2);
    let mut engine = test.accept(&format!("GET {:016x}", 2));
    test.pool.withdraw_unsent(1);
    assert_eq!(test.send_and_take_ended(&mut engine, &answer(2, "DONE", "-", "a\tb\tc\n"), 1), [(2, done())]);
}

/// A client leaves while its attempt waits for a connection.
#[test]
fn an_attempt_cancelled_while_it_waits_for_a_connection_is_never_sent() {
    let mut test = PoolTest::new();
    test.dispatch(1);
    test.dispatch(2);
    test.pool.cancel(attempt(1), test.now);
    let mut engine = test.accept("GET");
    assert_eq!(test.take_ended(), [(1, Err(DeliveryFailure::NeverSent))]);
    test.dispatch(3);
    let mut received = String::new();
    engine.set_read_timeout(Some(std::time::Duration::from_millis(5))).unwrap();
    for _ in 0..2000 {
        test.run_turn();
        let mut bytes = [0; 4096];
        let read = engine.read(&mut bytes).unwrap_or(0);
        received.push_str(std::str::from_utf8(&bytes[..read]).unwrap());
        if received.contains(&format!("GET {:016x}", 3)) {
            break;
        }
    }
    assert!(received.contains(&format!("GET {:016x}", 3)) && !received.contains("DROP"), "{received}");
}

/// A pool with `size` connections, three to each engine. All are up and share one socket, whose other end is returned
/// so that it stays open.
fn pool_with_connections(size: u64) -> (PoolTest, TcpStream) {
    let mut test = PoolTest::new();
    test.pool.max_connections = size as usize;
    let stream = Rc::new(TcpStream::connect(test.address).unwrap());
    stream.set_nonblocking(true).unwrap();
    let (other_end, _) = test.listener.accept().unwrap();
    let source = EventSource::EngineConnection(u64::MAX);
    let token = begin_connect(&test.pool.handle, test.address, source).unwrap().token;
    for id in 0..size {
        let registered = RegisteredStream { token, stream: stream.clone() };
        let connection =
            EngineConnection::new(registered, id / 3, test.address, test.now + 0.25, &ample_budgets());
        test.pool.connections.add(id, connection);
        test.pool.process_io(id, false, test.now);
    }
    test.pool.next_id = size;
    (test, other_end)
}

/// How many lookups of connections an action takes.
fn count_lookups<T>(test: &mut PoolTest, action: impl FnOnce(&mut PoolTest) -> T) -> u64 {
    let before = test.pool.connections.lookups();
    action(test);
    test.pool.connections.lookups() - before
}

fn run_idle_turn(test: &mut PoolTest) {
    test.pool.run_due(test.now);
    test.pool.due();
    assert_eq!(test.pool.unfinished().count(), 0);
    test.pool.take_ended(&mut Vec::new());
}

/// Dispatching an attempt, running a turn and acting on one engine look up only the connections concerned, whether the
/// pool has 30 connections or 3,000.
#[test]
fn an_action_on_one_engine_looks_up_its_connections_alone() {
    for size in [30, 3000] {
        let (mut test, _other_end) = pool_with_connections(size);
        for request in 0..20 {
            let dispatch = |test: &mut PoolTest| test.dispatch_to(attempt(request), 7, f64::INFINITY);
            assert!(count_lookups(&mut test, dispatch) <= 6, "{size} connections");
        }
        assert_eq!(count_lookups(&mut test, run_idle_turn), 0, "a turn with nothing due, {size} connections");
        assert!(count_lookups(&mut test, |test| test.pool.withdraw_unsent(7)) <= 6, "{size} connections");
        // The engine's third connection carries the attempts, so two are closed. Of the three connections opened
        // next, the last one exceeds the limit; the idle connection to close is then found without a search.
        assert!(
            count_lookups(&mut test, |test| test.pool.close_idle(7, test.now)) <= 5,
            "{size} connections"
        );
        assert_eq!(test.pool.connections.len() as u64, size - 2);
        for (engine, id) in [(size, size), (size + 1, size + 1), (size + 2, size + 2)] {
            let dispatch =
                |test: &mut PoolTest| test.dispatch_to(attempt(id as usize), engine, f64::INFINITY);
            assert!(count_lookups(&mut test, dispatch) <= 4, "{size} connections");
        }
        assert_eq!(
            (test.pool.connections.len() as u64, test.pool.connections.oldest_idle()),
            (size, Some(1))
        );
        // A connection that falls due is looked up, and no other.
        test.dispatch_to(attempt(9999), size + 3, test.now + 0.1);
        test.now += 0.1;
        assert!(count_lookups(&mut test, run_idle_turn) <= 3, "{size} connections");
        let mut ended = Vec::new();
        test.pool.take_ended(&mut ended);
        assert_eq!(test.pool.connections.len() as u64, size);
    }
}

/// A sweep takes the same number of lookups for each connection that awaits its engine, however many there are. That
/// holds also when no engine responds and the other connections to each engine are searched. For connections without
/// open attempts a sweep takes no lookups.
#[test]
fn a_sweep_takes_a_constant_number_of_lookups_per_connection() {
    let mut lookups_per_connection = Vec::new();
    for size in [30, 300, 3000] {
        let (mut test, _other_end) = pool_with_connections(size);
        assert_eq!(
            count_lookups(&mut test, |test| test.pool.sweep(test.now)),
            0,
            "{size} connections without open attempts"
        );
        test.pool.limits.max_attempts_per_connection = 1;
        for request in 0..size {
            test.dispatch_to(attempt(request as usize), request / 3, f64::INFINITY);
        }
        let not_silent = count_lookups(&mut test, |test| test.pool.sweep(test.now));
        test.now += 0.3;
        let pinged = count_lookups(&mut test, |test| test.pool.sweep(test.now));
        test.now += 0.3;
        let unresponsive = count_lookups(&mut test, |test| test.pool.sweep(test.now));
        let known =
            test.pool.connections.all().filter(|(_, connection)| connection.known_unresponsive).count();
        assert_eq!(known as u64, size, "all are found to be unresponsive");
        lookups_per_connection
            .push([not_silent, pinged, unresponsive].map(|lookups| lookups as f64 / size as f64));
    }
    assert!(lookups_per_connection[0].iter().all(|lookups| *lookups <= 10.0), "{lookups_per_connection:?}");
    assert!(
        lookups_per_connection.iter().all(|lookups| *lookups == lookups_per_connection[0]),
        "{lookups_per_connection:?}"
    );
}

/// Engines that behave at random: they accept connections, and answer, answer in part, reject, close, or stay silent.
struct RandomEngines {
    listeners: Vec<TcpListener>,
    /// The accepted connections, each with its unanswered lines.
    connections: Vec<(TcpStream, Vec<String>)>,
    random: u64,
}

impl RandomEngines {
    /// A random number below `limit`.
    fn below(&mut self, limit: usize) -> usize {
        self.random = self.random.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        (self.random >> 33) as usize % limit
    }

    /// Accepts and reads all connections, then answers or closes one of them.
    fn act(&mut self) {
        for listener in &self.listeners {
            while let Ok((engine, _)) = listener.accept() {
                engine.set_nonblocking(true).unwrap();
                self.connections.push((engine, Vec::new()));
            }
        }
        for (engine, lines) in &mut self.connections {
            let mut bytes = [0; 4096];
            let read = engine.read(&mut bytes).unwrap_or(0);
            let text = String::from_utf8_lossy(&bytes[..read]);
            let received =
                text.split("\r\n").filter(|line| line.starts_with("GET ") || line.starts_with("PING "));
            lines.extend(received.map(String::from));
        }
        if self.connections.is_empty() {
            return;
        }
        let (index, action) = (self.below(self.connections.len()), self.below(40));
        if action == 0 {
            self.connections.remove(index);
            return;
        }
        let (engine, lines) = &mut self.connections[index];
        for line in lines.drain(..) {
            let id = line.split(' ').nth(1).unwrap();
            let word = ["DONE", "DONE", "WAIT", "BROKE"][action % 4];
            let row = if word == "DONE" { "a\tb\tc\n" } else { "" };
            let answer = match line.starts_with("PING") {
                true => format!("{id} FIT - 0\r\n\r\n"),
                false => format!("{id} {word} - {}\r\n{row}\r\n", row.len()),
            };
            let length = if action == 1 { 8 } else { answer.len() };
            let _ = engine.write_all(&answer.as_bytes()[..length]);
        }
    }
}

/// Compares what the index returns with a scan over all connections. Returns how many connections were found for an
/// attempt, due, idle, unfinished and known to be unresponsive.
fn compare_index_with_scan(
    pool: &ConnectionPool,
    addresses: &[SocketAddr],
    request: usize,
    now: f64,
) -> [usize; 5] {
    let all = || pool.connections.all();
    let mut found = 0;
    for (engine, address) in (0..5).flat_map(|engine| addresses.iter().map(move |address| (engine, *address)))
    {
        let mut indexed: Vec<u64> = pool.connections.to_engine(engine).map(|(id, _)| id).collect();
        indexed.sort();
        let mut scanned: Vec<u64> =
            all().filter(|(_, connection)| connection.engine == engine).map(|(id, _)| id).collect();
        scanned.sort();
        assert_eq!(indexed, scanned);
        for (number, leave_by) in [(request, f64::INFINITY), (request, now), (usize::MAX, f64::INFINITY)] {
            let attempt = format!("{number:016x}");
            let fits = |connection: &EngineConnection| {
                let has_address = connection.engine == engine && connection.address == address;
                has_address
                    && (leave_by == f64::INFINITY || !connection.has_unsent())
                    && connection.can_take(&attempt, &pool.limits, now)
            };
            let scanned = all()
                .filter(|(_, connection)| fits(connection))
                .max_by_key(|(id, connection)| (connection.is_up(), *id));
            let scanned = scanned.map(|(id, _)| id);
            let request = engine_request(&attempt);
            let attempt = AttemptId { request: number, number: 0 };
            let dispatch = Dispatch { attempt, engine, address, request, leave_by };
            assert_eq!(pool.find(&dispatch, now), scanned);
            found += usize::from(scanned.is_some());
        }
    }
    let sorted = |ids: &mut dyn Iterator<Item = u64>| {
        let mut ids = ids.collect::<Vec<_>>();
        ids.sort();
        ids
    };
    let due = |connection: &EngineConnection| connection.due(pool.limits.idle_after);
    let next_due = all().map(|(_, connection)| due(connection)).fold(f64::INFINITY, f64::min);
    let due_now = sorted(&mut all().filter(|(_, connection)| now >= due(connection)).map(|(id, _)| id));
    let idle = sorted(&mut all().filter(|(_, connection)| connection.load() == 0).map(|(id, _)| id));
    let unresponsive = all().filter(|(_, connection)| connection.known_unresponsive).count();
    let awaiting_engine =
        sorted(&mut all().filter(|(_, connection)| connection.is_awaiting_engine()).map(|(id, _)| id));
    assert_eq!(sorted(&mut pool.connections.awaiting_engine().into_iter()), awaiting_engine);
    assert!(all().all(|(_, connection)| connection.is_awaiting_engine()
        || !(connection.known_unresponsive || connection.is_unresponsive(&pool.limits, now))));
    let unfinished =
        sorted(&mut all().filter(|(_, connection)| connection.is_unfinished()).map(|(id, _)| id));
    assert_eq!(
        (pool.connections.next_due(), pool.connections.oldest_idle()),
        (next_due, idle.first().copied())
    );
    assert_eq!(sorted(&mut pool.connections.due_by(now).into_iter()), due_now);
    assert_eq!(sorted(&mut pool.connections.unfinished()), unfinished);
    [found, due_now.len(), idle.len(), unfinished.len(), unresponsive]
}

/// One of the addresses accepts a single connection; further ones to it never come up.
#[test]
fn the_index_returns_what_a_scan_over_all_connections_finds() {
    // A single seed does not reach every case, because the order of iteration over all connections differs from run to
    // run.
    let (mut totals, mut counter_totals) = ([0; 5], [0; 3]);
    for seed in 1..=12 {
        let event_loop: EventLoop<ReadyEvents> = EventLoop::try_new().unwrap();
        let limits =
            ConnectionLimits { connect_timeout: 0.25, idle_after: 2.0, max_attempts_per_connection: 3 };
        let mut pool = ConnectionPool::new(&event_loop.handle(), limits, 25, ample_budgets());
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        socket.listen(0).unwrap();
        let full_listener = TcpListener::from(socket);
        let _backlog_filler = TcpStream::connect(full_listener.local_addr().unwrap()).unwrap();
        let listeners: Vec<_> = (0..3).map(|_| TcpListener::bind("127.0.0.1:0").unwrap()).collect();
        listeners.iter().for_each(|listener| listener.set_nonblocking(true).unwrap());
        let addresses =
            listeners.iter().chain([&full_listener]).map(|listener| listener.local_addr().unwrap());
        let addresses: Vec<_> = addresses.collect();
        let mut engines = RandomEngines { listeners, connections: Vec::new(), random: seed };
        let (mut now, mut ended) = (100.0, Vec::new());
        for step in 0..1200 {
            now += [0.0, 0.002, 0.01, 0.05, 0.3][[0, 1, 1, 2, 2, 2, 3, 3, 4][engines.below(9)]];
            let (request, engine) = (engines.below(60), engines.below(5));
            let recent = AttemptId { request: step - engines.below(30).min(step), number: 0 };
            match engines.below(12) {
                0..=4 => {
                    let id = format!("{request:016x}");
                    let address = addresses[(engine + usize::from(engines.below(8) == 0)) % addresses.len()];
                    let leave_by = [f64::INFINITY, now + 0.1][usize::from(engines.below(4) == 0)];
                    let request = engine_request(&id);
                    let attempt = AttemptId { request: step, number: 0 };
                    let engine = engine as u64;
                    pool.dispatch(Dispatch { attempt, engine, address, request, leave_by }, now);
                }
                5 => pool.cancel(recent, now),
                6 => pool.change_lane(recent, 2, now),
                7 => pool.sweep(now),
                8 if engines.below(10) == 0 => pool.close_idle(engine as u64, now),
                8 if engines.below(4) == 0 => pool.withdraw_unsent(engine as u64),
                9 => pool.run_due(now),
                _ => {
                    let ids = pool.connections.all().map(|(id, _)| id).collect::<Vec<_>>();
                    let chosen = ids.into_iter().filter(|_| engines.below(4) > 0).collect::<Vec<_>>();
                    chosen.into_iter().for_each(|id| pool.process_io(id, true, now));
                }
            }
            engines.act();
            pool.take_ended(&mut ended);
            let compared = compare_index_with_scan(&pool, &addresses, request, now);
            totals.iter_mut().zip(compared).for_each(|(total, count)| *total += count);
        }
        let counters = [
            pool.counters.engine_connections,
            pool.counters.engine_connections_failed,
            pool.counters.engine_connections_malformed,
        ];
        counter_totals.iter_mut().zip(counters).for_each(|(total, count)| *total += count);
    }
    assert!(totals.iter().all(|total| *total > 100), "{totals:?}");
    assert!(
        counter_totals[0] > 1000 && counter_totals[1] > 100 && counter_totals[2] > 10,
        "{counter_totals:?}"
    );
}

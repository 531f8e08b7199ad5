use super::super::event_source::{EventSource, ReadyEvents};
use super::super::sockets::{begin_connect, RegisteredStream};
use super::*;
use crate::protocol::engine::EngineRequest;
use crate::routing::types::{AttemptResult, Reply};
use calloop::EventLoop;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;

const STATED: ConnectionLimits =
    ConnectionLimits { connect_time_out: 0.25, idle_after: 30.0, max_attempts_per_connection: 100 };

/// Connections to one engine, whose side is played by the story, on the story's clock.
struct Story {
    _turns: EventLoop<'static, ReadyEvents>,
    pool: ConnectionPool,
    listener: TcpListener,
    address: SocketAddr,
    now: f64,
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

impl Story {
    fn new() -> Story {
        let turns = EventLoop::try_new().unwrap();
        let pool = ConnectionPool::new(&turns.handle(), STATED, 40);
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        Story { _turns: turns, pool, listener, address, now: 100.0 }
    }

    fn dispatch(&mut self, request: usize) {
        self.attempt_by(attempt(request), f64::INFINITY);
    }

    /// An attempt that must have left by then.
    fn attempt_by(&mut self, attempt: AttemptId, leave_by: f64) {
        self.attempt_to(attempt, 1, leave_by);
    }

    fn attempt_to(&mut self, attempt: AttemptId, engine: u64, leave_by: f64) {
        let id = format!("{:016x}", attempt.request);
        let request = engine_request(&id);
        let dispatch = Dispatch { attempt, engine, address: self.address, request, leave_by };
        self.pool.dispatch(dispatch, self.now);
    }

    /// The engine's side of the next connection, with what is said on it first.
    fn accepted(&mut self, first: &str) -> TcpStream {
        self.listener.set_nonblocking(true).unwrap();
        for _ in 0..2000 {
            if let Ok((mut far, _)) = self.listener.accept() {
                far.set_nonblocking(false).unwrap();
                self.hears(&mut far, first);
                return far;
            }
            std::thread::sleep(std::time::Duration::from_millis(1));
        }
        panic!("no connection came");
    }

    /// Works until the engine has read these words.
    fn hears(&mut self, far: &mut TcpStream, words: &str) {
        let mut text = String::new();
        far.set_read_timeout(Some(std::time::Duration::from_millis(5))).unwrap();
        for _ in 0..2000 {
            self.work();
            let mut bytes = [0; 4096];
            let read = far.read(&mut bytes).unwrap_or(0);
            text.push_str(std::str::from_utf8(&bytes[..read]).unwrap());
            if text.contains(words) {
                return;
            }
        }
        panic!("{words:?} is not in {text:?}");
    }

    fn work(&mut self) {
        for id in self.pool.connections.all().map(|(id, _)| id).collect::<Vec<_>>() {
            self.pool.work(id, true, self.now);
        }
        self.pool.send_queued(self.now);
        self.pool.run_due(self.now);
    }

    /// The ends that have come once the engine has said this.
    fn says(&mut self, far: &mut TcpStream, words: &str, ends: usize) -> Vec<(usize, AttemptResult)> {
        far.write_all(words.as_bytes()).unwrap();
        let mut ended = Vec::new();
        for _ in 0..2000 {
            self.work();
            self.pool.take_ended(&mut ended);
            if ended.len() >= ends {
                break;
            }
            std::thread::sleep(std::time::Duration::from_millis(1));
        }
        ended.into_iter().map(|ended| (ended.attempt.request, ended.result)).collect()
    }

    fn ends(&mut self) -> Vec<(usize, AttemptResult)> {
        self.work();
        let mut ended = Vec::new();
        self.pool.take_ended(&mut ended);
        ended.into_iter().map(|ended| (ended.attempt.request, ended.result)).collect()
    }
}

fn answer(request: usize, word: &str, fields: &str, body: &str) -> String {
    format!("{request:016x} {word} {fields} {}\r\n{body}\r\n", body.len())
}

fn done() -> AttemptResult {
    Ok(Reply::Completed { rows: b"a\tb\tc\n".to_vec(), measured: None })
}

#[test]
fn what_is_given_up_is_over_when_its_engine_has_read_so_or_has_had_time_to() {
    let mut story = Story::new();
    story.dispatch(1);
    let mut far = story.accepted("GET");
    story.dispatch(2);
    story.pool.cancel(attempt(1), story.now);
    story.hears(&mut far, &format!("DROP {:016x}\r\nPING {:016x}\r\n", 1, 1));
    assert_eq!(story.ends(), [], "the engine may not have read it yet");
    let ends = story.says(&mut far, &answer(1, "FIT", "-", ""), 1);
    assert_eq!(ends, [(1, Err(DeliveryFailure::Unanswered))]);
    story.pool.cancel(attempt(2), story.now);
    // An answer that crosses it is none.
    far.write_all(answer(2, "DONE", "-", "a\tb\tc\n").as_bytes()).unwrap();
    story.now += 0.09;
    assert_eq!(story.ends(), []);
    story.now += 0.02;
    assert_eq!(story.ends(), [(2, Err(DeliveryFailure::Unanswered))]);
    assert!(story.pool.due() > story.now, "nothing is left to wait for");
}

#[test]
fn an_answer_that_stops_short_ends_its_connection_and_is_told_once_the_engine_sees_it() {
    let mut story = Story::new();
    story.dispatch(1);
    let mut far = story.accepted("GET");
    story.dispatch(2);
    far.write_all(&answer(1, "DONE", "-", "a\tb\tc\n").as_bytes()[..30]).unwrap();
    story.hears(&mut far, "GET");
    story.now += 0.45;
    assert_eq!(story.ends(), []);
    assert!(story.pool.due() <= story.now + 0.06);
    story.now += 0.06;
    assert_eq!(story.ends(), [], "its engine may run them yet");
    assert_eq!((story.pool.connections.len(), story.pool.counters.links_malformed), (0, 1));
    story.now += 0.06;
    let mut ends = story.ends();
    ends.sort_by_key(|(request, _)| *request);
    assert_eq!(ends, [(1, Err(DeliveryFailure::Unanswered)), (2, Err(DeliveryFailure::Unanswered))]);
}

#[test]
fn second_copies_and_answers_under_unknown_ids_end_nothing() {
    let mut story = Story::new();
    story.dispatch(1);
    let mut far = story.accepted("GET");
    let (row, first) = ("a\tb\tc\n", answer(1, "DONE", "parts=3", "a\tb\tc\n"));
    let page = |number: usize| answer(1, "MORE", &format!("part_no={number}"), row);
    let words = [answer(9, "DONE", "-", row), first.clone(), first, page(2), page(2), page(1), page(1)];
    let ends = story.says(&mut far, &words.concat(), 1);
    let whole = Reply::Completed { rows: row.repeat(3).into_bytes(), measured: None };
    assert_eq!(ends, [(1, Ok(whole))]);
    story.dispatch(2);
    assert_eq!(story.says(&mut far, &answer(2, "DONE", "-", row), 1), [(2, done())]);
    assert_eq!((story.pool.connections.len(), story.pool.counters.links_malformed), (1, 0));
}

#[test]
fn a_connection_without_a_sign_ends_once_its_engine_speaks_on_another() {
    let mut story = Story::new();
    story.dispatch(1);
    let mut far = story.accepted("GET");
    story.now += 0.3;
    story.pool.sweep(story.now);
    story.hears(&mut far, "PING sign");
    story.now += 0.3;
    story.pool.sweep(story.now);
    let mut other = story.accepted("PING sign");
    story.pool.sweep(story.now);
    assert_eq!(story.ends(), [], "a connection that came up is no sign");
    story.now += 0.01;
    story.says(&mut other, "sign FIT - 0\r\n\r\n", 0);
    story.work();
    story.pool.sweep(story.now);
    story.now += 0.06;
    assert_eq!(story.ends(), [(1, Err(DeliveryFailure::Unanswered))]);
    assert_eq!(story.pool.connections.len(), 1, "the other goes on");
}

/// Hard case: a repeat of a deduplicated request waits for a connection that comes up just after its window.
#[test]
fn what_must_have_left_by_some_time_does_not_leave_later() {
    let mut story = Story::new();
    // It takes the connection that the story has not looked at yet: up for the system, and not for us.
    story.attempt_by(attempt(1), story.now + 0.1);
    story.attempt_by(attempt(2), story.now + 0.3);
    assert!(story.pool.due() <= story.now + 0.1 + 1e-9, "it is told as soon as it can't leave any more");
    story.now += 0.1;
    let mut far = story.accepted(&format!("GET {:016x}", 2));
    assert_eq!(story.ends(), [(1, Err(DeliveryFailure::NeverSent))]);
    story.dispatch(3);
    let mut heard = Vec::new();
    far.set_read_timeout(Some(std::time::Duration::from_millis(5))).unwrap();
    while !String::from_utf8_lossy(&heard).contains(&format!("GET {:016x}", 3)) {
        story.work();
        let mut bytes = [0; 4096];
        let read = far.read(&mut bytes).unwrap_or(0);
        heard.extend(&bytes[..read]);
    }
    assert!(!String::from_utf8_lossy(&heard).contains(&format!("GET {:016x}", 1)));
    // On one that is up it is sent in time or not at all.
    story.attempt_by(attempt(4), story.now);
    assert_eq!(story.ends(), [(4, Err(DeliveryFailure::NeverSent))]);
}

/// Hard case: an engine turns a request away, gets it again, and a second copy of its first answer comes late. Taken for the
/// second attempt's own, it would prove that nothing ran while that attempt runs.
#[test]
fn a_second_copy_of_an_answer_that_comes_late_is_no_answer_to_the_next_attempt() {
    for (word, reply) in
        [("WAIT", Reply::EngineFull), ("BROKE", Reply::EngineError), ("PAST", Reply::DeadlinePassed)]
    {
        let mut story = Story::new();
        story.dispatch(1);
        let mut far = story.accepted("GET");
        let first = answer(1, word, "-", "");
        assert_eq!(story.says(&mut far, &first, 1), [(1, Ok(reply))]);
        story.attempt_by(AttemptId { request: 1, number: 1 }, f64::INFINITY);
        let mut other = story.accepted("GET");
        far.write_all(first.as_bytes()).unwrap();
        story.dispatch(2);
        assert_eq!(story.ends(), [], "{word}");
        assert_eq!(story.says(&mut other, &answer(1, "DONE", "-", "a\tb\tc\n"), 1), [(1, done())]);
    }
}

/// Hard case: an engine is told to drain while the connection that an attempt waits for comes up.
#[test]
fn what_waits_for_a_connection_does_not_leave_once_it_is_called_back() {
    let mut story = Story::new();
    story.dispatch(1);
    story.pool.withdraw_unsent(2);
    story.pool.withdraw_unsent(1);
    let mut ended = Vec::new();
    story.pool.take_ended(&mut ended);
    let ended: Vec<_> = ended.into_iter().map(|ended| (ended.attempt, ended.result)).collect();
    assert_eq!(ended, [(attempt(1), Err(DeliveryFailure::NeverSent))]);
    // The connection comes up all the same, and what is on it is not touched.
    story.dispatch(2);
    let mut far = story.accepted(&format!("GET {:016x}", 2));
    story.pool.withdraw_unsent(1);
    assert_eq!(story.says(&mut far, &answer(2, "DONE", "-", "a\tb\tc\n"), 1), [(2, done())]);
}

/// Hard case: a client leaves while its attempt waits for a connection.
#[test]
fn what_is_given_up_while_it_waits_for_a_connection_never_leaves() {
    let mut story = Story::new();
    story.dispatch(1);
    story.dispatch(2);
    story.pool.cancel(attempt(1), story.now);
    let mut far = story.accepted("GET");
    assert_eq!(story.ends(), [(1, Err(DeliveryFailure::NeverSent))]);
    story.dispatch(3);
    let mut heard = String::new();
    far.set_read_timeout(Some(std::time::Duration::from_millis(5))).unwrap();
    for _ in 0..2000 {
        story.work();
        let mut bytes = [0; 4096];
        let read = far.read(&mut bytes).unwrap_or(0);
        heard.push_str(std::str::from_utf8(&bytes[..read]).unwrap());
        if heard.contains(&format!("GET {:016x}", 3)) {
            break;
        }
    }
    assert!(heard.contains(&format!("GET {:016x}", 3)) && !heard.contains("DROP"), "{heard}");
}

/// So many connections, three to an engine, all up and all on one socket, whose far side is kept.
fn many(size: u64) -> (Story, TcpStream) {
    let mut story = Story::new();
    story.pool.max_connections = size as usize;
    let near = Rc::new(TcpStream::connect(story.address).unwrap());
    near.set_nonblocking(true).unwrap();
    let (far, _) = story.listener.accept().unwrap();
    let source = EventSource::EngineConnection(u64::MAX);
    let token = begin_connect(&story.pool.handle, story.address, source).unwrap().token;
    for id in 0..size {
        let stream = RegisteredStream { token, stream: near.clone() };
        let connection = EngineConnection::new(stream, id / 3, story.address, story.now + 0.25);
        story.pool.connections.add(id, connection);
        story.pool.work(id, false, story.now);
    }
    story.pool.next_id = size;
    (story, far)
}

/// How many looks at connections this takes.
fn looks<T>(story: &mut Story, what: impl FnOnce(&mut Story) -> T) -> u64 {
    let before = story.pool.connections.looked_at();
    what(story);
    story.pool.connections.looked_at() - before
}

fn turn(story: &mut Story) {
    story.pool.run_due(story.now);
    story.pool.due();
    assert_eq!(story.pool.unfinished().count(), 0);
    story.pool.take_ended(&mut Vec::new());
}

/// An attempt, a turn and what is done to one engine look at its connections alone, whether there are 30 of all or 3,000.
#[test]
fn what_concerns_one_engine_looks_at_its_connections_alone() {
    for size in [30, 3000] {
        let (mut story, _far) = many(size);
        for request in 0..20 {
            let attempt = |story: &mut Story| story.attempt_to(attempt(request), 7, f64::INFINITY);
            assert!(looks(&mut story, attempt) <= 6, "of {size}");
        }
        assert_eq!(looks(&mut story, turn), 0, "a turn with nothing due, of {size}");
        assert!(looks(&mut story, |story| story.pool.withdraw_unsent(7)) <= 6, "of {size}");
        // Its third one carries the attempts; room for a connection to an engine without one is found at once.
        assert!(looks(&mut story, |story| story.pool.close_idle(7, story.now)) <= 5, "of {size}");
        assert_eq!(story.pool.connections.len() as u64, size - 2);
        for (engine, id) in [(size, size), (size + 1, size + 1), (size + 2, size + 2)] {
            let attempt = |story: &mut Story| story.attempt_to(attempt(id as usize), engine, f64::INFINITY);
            assert!(looks(&mut story, attempt) <= 4, "of {size}");
        }
        assert_eq!(
            (story.pool.connections.len() as u64, story.pool.connections.oldest_idle()),
            (size, Some(1))
        );
        // One that falls due is looked at, and no other.
        story.attempt_to(attempt(9999), size + 3, story.now + 0.1);
        story.now += 0.1;
        assert!(looks(&mut story, turn) <= 3, "of {size}");
        let mut ended = Vec::new();
        story.pool.take_ended(&mut ended);
        assert_eq!(story.pool.connections.len() as u64, size);
    }
}

/// A look over those that wait for their engines takes the same for each of them, also when none gives a sign and each
/// engine's others are looked at; over those that wait for nothing it takes none.
#[test]
fn a_sweep_looks_at_each_connection_as_often_however_many_there_are() {
    let mut each = Vec::new();
    for size in [30, 300, 3000] {
        let (mut story, _far) = many(size);
        assert_eq!(looks(&mut story, |story| story.pool.sweep(story.now)), 0, "{size} wait for nothing");
        story.pool.limits.max_attempts_per_connection = 1;
        for request in 0..size {
            story.attempt_to(attempt(request as usize), request / 3, f64::INFINITY);
        }
        let quiet = looks(&mut story, |story| story.pool.sweep(story.now));
        story.now += 0.3;
        let asks = looks(&mut story, |story| story.pool.sweep(story.now));
        story.now += 0.3;
        let mute = looks(&mut story, |story| story.pool.sweep(story.now));
        let known = story.pool.connections.all().filter(|(_, connection)| connection.known_mute).count();
        assert_eq!(known as u64, size, "all are known to give no sign");
        each.push([quiet, asks, mute].map(|looks| looks as f64 / size as f64));
    }
    assert!(each[0].iter().all(|looks| *looks <= 10.0), "{each:?}");
    assert!(each.iter().all(|looks| *looks == each[0]), "{each:?}");
}

/// The engines' side of a random story: they accept, answer, answer in part, turn away, close, or say nothing.
struct Wild {
    listeners: Vec<TcpListener>,
    fars: Vec<(TcpStream, Vec<String>)>,
    chance: u64,
}

impl Wild {
    fn below(&mut self, most: usize) -> usize {
        self.chance = self.chance.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        (self.chance >> 33) as usize % most
    }

    fn act(&mut self) {
        for listener in &self.listeners {
            while let Ok((far, _)) = listener.accept() {
                far.set_nonblocking(true).unwrap();
                self.fars.push((far, Vec::new()));
            }
        }
        for (far, asked) in &mut self.fars {
            let mut bytes = [0; 4096];
            let read = far.read(&mut bytes).unwrap_or(0);
            let text = String::from_utf8_lossy(&bytes[..read]);
            let words =
                text.split("\r\n").filter(|line| line.starts_with("GET ") || line.starts_with("PING "));
            asked.extend(words.map(String::from));
        }
        if self.fars.is_empty() {
            return;
        }
        let (far, fate) = (self.below(self.fars.len()), self.below(40));
        if fate == 0 {
            self.fars.remove(far);
            return;
        }
        let (far, asked) = &mut self.fars[far];
        for line in asked.drain(..) {
            let id = line.split(' ').nth(1).unwrap();
            let word = ["DONE", "DONE", "WAIT", "BROKE"][fate % 4];
            let row = if word == "DONE" { "a\tb\tc\n" } else { "" };
            let answer = match line.starts_with("PING") {
                true => format!("{id} FIT - 0\r\n\r\n"),
                false => format!("{id} {word} - {}\r\n{row}\r\n", row.len()),
            };
            let part = if fate == 1 { 8 } else { answer.len() };
            let _ = far.write_all(&answer.as_bytes()[..part]);
        }
    }
}

/// What the filing gives against a plain walk over all; how many were found, due, idle, unfinished and mute.
fn compared(pool: &ConnectionPool, addresses: &[SocketAddr], request: usize, now: f64) -> [usize; 5] {
    let all = || pool.connections.all();
    let mut found = 0;
    for (engine, address) in (0..5).flat_map(|engine| addresses.iter().map(move |address| (engine, *address)))
    {
        let mut here: Vec<u64> = pool.connections.to_engine(engine).map(|(id, _)| id).collect();
        here.sort();
        let mut walked: Vec<u64> =
            all().filter(|(_, connection)| connection.engine == engine).map(|(id, _)| id).collect();
        walked.sort();
        assert_eq!(here, walked);
        for (number, leave_by) in [(request, f64::INFINITY), (request, now), (usize::MAX, f64::INFINITY)] {
            let attempt = format!("{number:016x}");
            let fits = |connection: &EngineConnection| {
                let here = connection.engine == engine && connection.address == address;
                here && (leave_by == f64::INFINITY || !connection.has_unsent())
                    && connection.can_take(&attempt, &pool.limits, now)
            };
            let walked = all()
                .filter(|(_, connection)| fits(connection))
                .max_by_key(|(id, connection)| (connection.is_up(), *id));
            let walked = walked.map(|(id, _)| id);
            let request = engine_request(&attempt);
            let attempt = AttemptId { request: number, number: 0 };
            let dispatch = Dispatch { attempt, engine, address, request, leave_by };
            assert_eq!(pool.find(&dispatch, now), walked);
            found += usize::from(walked.is_some());
        }
    }
    let sorted = |ids: &mut dyn Iterator<Item = u64>| {
        let mut ids = ids.collect::<Vec<_>>();
        ids.sort();
        ids
    };
    let due = |connection: &EngineConnection| connection.due(pool.limits.idle_after);
    let first = all().map(|(_, connection)| due(connection)).fold(f64::INFINITY, f64::min);
    let late = sorted(&mut all().filter(|(_, connection)| now >= due(connection)).map(|(id, _)| id));
    let idle = sorted(&mut all().filter(|(_, connection)| connection.load() == 0).map(|(id, _)| id));
    let known = all().filter(|(_, connection)| connection.known_mute).count();
    let awaited = sorted(&mut all().filter(|(_, connection)| connection.is_awaited()).map(|(id, _)| id));
    assert_eq!(sorted(&mut pool.connections.awaited().into_iter()), awaited);
    assert!(all().all(|(_, connection)| connection.is_awaited()
        || !(connection.known_mute || connection.is_mute(&pool.limits, now))));
    let unfinished =
        sorted(&mut all().filter(|(_, connection)| connection.is_unfinished()).map(|(id, _)| id));
    assert_eq!((pool.connections.next_due(), pool.connections.oldest_idle()), (first, idle.first().copied()));
    assert_eq!(sorted(&mut pool.connections.due_by(now).into_iter()), late);
    assert_eq!(sorted(&mut pool.connections.unfinished()), unfinished);
    [found, late.len(), idle.len(), unfinished.len(), known]
}

/// One of the addresses takes a single connection; others to it come up never.
#[test]
fn what_is_filed_is_what_a_walk_over_all_connections_finds() {
    // Of each seed alone not all of it comes: the order of a look over all differs from run to run.
    let (mut seen, mut counted) = ([0; 5], [0; 3]);
    for seed in 1..=12 {
        let turns: EventLoop<ReadyEvents> = EventLoop::try_new().unwrap();
        let stated =
            ConnectionLimits { connect_time_out: 0.25, idle_after: 2.0, max_attempts_per_connection: 3 };
        let mut pool = ConnectionPool::new(&turns.handle(), stated, 25);
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        socket.listen(0).unwrap();
        let full = TcpListener::from(socket);
        let _fills = TcpStream::connect(full.local_addr().unwrap()).unwrap();
        let listeners: Vec<_> = (0..3).map(|_| TcpListener::bind("127.0.0.1:0").unwrap()).collect();
        listeners.iter().for_each(|listener| listener.set_nonblocking(true).unwrap());
        let addresses = listeners.iter().chain([&full]).map(|listener| listener.local_addr().unwrap());
        let addresses: Vec<_> = addresses.collect();
        let mut wild = Wild { listeners, fars: Vec::new(), chance: seed };
        let (mut now, mut ended) = (100.0, Vec::new());
        for step in 0..1200 {
            now += [0.0, 0.002, 0.01, 0.05, 0.3][[0, 1, 1, 2, 2, 2, 3, 3, 4][wild.below(9)]];
            let (request, engine) = (wild.below(60), wild.below(5));
            let recent = AttemptId { request: step - wild.below(30).min(step), number: 0 };
            match wild.below(12) {
                0..=4 => {
                    let id = format!("{request:016x}");
                    let address = addresses[(engine + usize::from(wild.below(8) == 0)) % addresses.len()];
                    let leave_by = [f64::INFINITY, now + 0.1][usize::from(wild.below(4) == 0)];
                    let request = engine_request(&id);
                    let attempt = AttemptId { request: step, number: 0 };
                    let engine = engine as u64;
                    pool.dispatch(Dispatch { attempt, engine, address, request, leave_by }, now);
                }
                5 => pool.cancel(recent, now),
                6 => pool.change_lane(recent, 2, now),
                7 => pool.sweep(now),
                8 if wild.below(10) == 0 => pool.close_idle(engine as u64, now),
                8 if wild.below(4) == 0 => pool.withdraw_unsent(engine as u64),
                9 => pool.run_due(now),
                _ => {
                    let ids = pool.connections.all().map(|(id, _)| id).collect::<Vec<_>>();
                    let some = ids.into_iter().filter(|_| wild.below(4) > 0).collect::<Vec<_>>();
                    some.into_iter().for_each(|id| pool.work(id, true, now));
                }
            }
            wild.act();
            pool.take_ended(&mut ended);
            let more = compared(&pool, &addresses, request, now);
            seen.iter_mut().zip(more).for_each(|(seen, more)| *seen += more);
        }
        let counters = [pool.counters.links, pool.counters.links_failed, pool.counters.links_malformed];
        counted.iter_mut().zip(counters).for_each(|(counted, more)| *counted += more);
    }
    assert!(seen.iter().all(|seen| *seen > 100), "{seen:?}");
    assert!(counted[0] > 1000 && counted[1] > 100 && counted[2] > 10, "{counted:?}");
}

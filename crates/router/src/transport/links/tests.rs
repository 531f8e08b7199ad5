use super::*;
use calloop::EventLoop;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};

const STATED: LinkLimits = LinkLimits { connect_time_out: 0.25, idle_after: 30.0, pushes_each: 100 };

/// Connections to one engine, whose side is played by the story, on the story's clock.
struct Story {
    _turns: EventLoop<'static, super::super::Ready>,
    links: Links,
    listener: TcpListener,
    address: SocketAddr,
    now: f64,
}

fn push(job: usize) -> PushId {
    PushId { job, number: 0 }
}

impl Story {
    fn new() -> Story {
        let turns = EventLoop::try_new().unwrap();
        let links = Links::new(&turns.handle(), STATED, 40);
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        Story { _turns: turns, links, listener, address, now: 100.0 }
    }

    fn push(&mut self, job: usize) {
        self.push_by(push(job), f64::INFINITY);
    }

    /// A push that must have left by then.
    fn push_by(&mut self, push: PushId, leave_by: f64) {
        let id = format!("{:016x}", push.job);
        let ask = Ask {
            id: &id,
            category: "look",
            wait: 9.0,
            receipt: None,
            grant_mb: 0.0,
            lane: 1,
            statement: b"x",
        };
        self.links.push(push, 1, self.address, &ask, leave_by, self.now);
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
        for id in self.links.links.keys().copied().collect::<Vec<_>>() {
            self.links.work(id, true, self.now);
        }
        self.links.time_passed(self.now);
    }

    /// The ends that have come once the engine has said this.
    fn says(&mut self, far: &mut TcpStream, words: &str, ends: usize) -> Vec<(usize, Outcome)> {
        far.write_all(words.as_bytes()).unwrap();
        let mut ended = Vec::new();
        for _ in 0..2000 {
            self.work();
            self.links.ended(&mut ended);
            if ended.len() >= ends {
                break;
            }
            std::thread::sleep(std::time::Duration::from_millis(1));
        }
        ended.into_iter().map(|(push, outcome)| (push.job, outcome)).collect()
    }

    fn ends(&mut self) -> Vec<(usize, Outcome)> {
        self.work();
        let mut ended = Vec::new();
        self.links.ended(&mut ended);
        ended.into_iter().map(|(push, outcome)| (push.job, outcome)).collect()
    }
}

fn answer(job: usize, word: &str, fields: &str, body: &str) -> String {
    format!("{job:016x} {word} {fields} {}\r\n{body}\r\n", body.len())
}

fn done() -> Outcome {
    Ok(crate::routing::Reply::Done { rows: b"a\tb\tc\n".to_vec(), told: None })
}

#[test]
fn what_is_given_up_is_over_when_its_engine_has_read_so_or_has_had_time_to() {
    let mut story = Story::new();
    story.push(1);
    let mut far = story.accepted("GET");
    story.push(2);
    story.links.give_up(push(1), story.now);
    story.hears(&mut far, &format!("DROP {:016x}\r\nPING {:016x}\r\n", 1, 1));
    assert_eq!(story.ends(), [], "the engine may not have read it yet");
    let ends = story.says(&mut far, &answer(1, "FIT", "-", ""), 1);
    assert_eq!(ends, [(1, Err(Failure::Sent))]);
    story.links.give_up(push(2), story.now);
    // An answer that crosses it is none.
    far.write_all(answer(2, "DONE", "-", "a\tb\tc\n").as_bytes()).unwrap();
    story.now += 0.09;
    assert_eq!(story.ends(), []);
    story.now += 0.02;
    assert_eq!(story.ends(), [(2, Err(Failure::Sent))]);
    assert!(story.links.due() > story.now, "nothing is left to wait for");
}

#[test]
fn an_answer_that_stops_short_ends_its_connection_and_is_told_once_the_engine_sees_it() {
    let mut story = Story::new();
    story.push(1);
    let mut far = story.accepted("GET");
    story.push(2);
    far.write_all(&answer(1, "DONE", "-", "a\tb\tc\n").as_bytes()[..30]).unwrap();
    story.hears(&mut far, "GET");
    story.now += 0.45;
    assert_eq!(story.ends(), []);
    assert!(story.links.due() <= story.now + 0.06);
    story.now += 0.06;
    assert_eq!(story.ends(), [], "its engine may run them yet");
    assert_eq!((story.links.links.len(), story.links.counters.links_malformed), (0, 1));
    story.now += 0.06;
    let mut ends = story.ends();
    ends.sort_by_key(|(job, _)| *job);
    assert_eq!(ends, [(1, Err(Failure::Sent)), (2, Err(Failure::Sent))]);
}

#[test]
fn second_copies_and_answers_under_unknown_ids_end_nothing() {
    let mut story = Story::new();
    story.push(1);
    let mut far = story.accepted("GET");
    let (row, first) = ("a\tb\tc\n", answer(1, "DONE", "parts=3", "a\tb\tc\n"));
    let page = |number: usize| answer(1, "MORE", &format!("part_no={number}"), row);
    let words = [answer(9, "DONE", "-", row), first.clone(), first, page(2), page(2), page(1), page(1)];
    let ends = story.says(&mut far, &words.concat(), 1);
    let whole = crate::routing::Reply::Done { rows: row.repeat(3).into_bytes(), told: None };
    assert_eq!(ends, [(1, Ok(whole))]);
    story.push(2);
    assert_eq!(story.says(&mut far, &answer(2, "DONE", "-", row), 1), [(2, done())]);
    assert_eq!((story.links.links.len(), story.links.counters.links_malformed), (1, 0));
}

#[test]
fn a_connection_without_a_sign_ends_once_its_engine_speaks_on_another() {
    let mut story = Story::new();
    story.push(1);
    let mut far = story.accepted("GET");
    story.now += 0.3;
    story.links.sweep(story.now);
    story.hears(&mut far, "PING sign");
    story.now += 0.3;
    story.links.sweep(story.now);
    let mut other = story.accepted("PING sign");
    story.links.sweep(story.now);
    assert_eq!(story.ends(), [], "a connection that came up is no sign");
    story.now += 0.01;
    story.says(&mut other, "sign FIT - 0\r\n\r\n", 0);
    story.work();
    story.links.sweep(story.now);
    story.now += 0.06;
    assert_eq!(story.ends(), [(1, Err(Failure::Sent))]);
    assert_eq!(story.links.links.len(), 1, "the other goes on");
}

/// Hard case: a repeat of a receipted job waits for a connection that comes up just after its window.
#[test]
fn what_must_have_left_by_some_time_does_not_leave_later() {
    let mut story = Story::new();
    // It takes the connection that the story has not looked at yet: up for the system, and not for us.
    story.push_by(push(1), story.now + 0.1);
    story.push_by(push(2), story.now + 0.3);
    assert!(story.links.due() <= story.now + 0.1 + 1e-9, "it is told as soon as it can't leave any more");
    story.now += 0.1;
    let mut far = story.accepted(&format!("GET {:016x}", 2));
    assert_eq!(story.ends(), [(1, Err(Failure::NeverSent))]);
    story.push(3);
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
    story.push_by(push(4), story.now);
    assert_eq!(story.ends(), [(4, Err(Failure::NeverSent))]);
}

/// Hard case: an engine turns a job away, gets it again, and a second copy of its first answer comes late. Taken for the
/// second push's own, it would prove that nothing ran while that push runs.
#[test]
fn a_second_copy_of_an_answer_that_comes_late_is_no_answer_to_the_next_push() {
    for (word, reply) in [
        ("WAIT", crate::routing::Reply::Full),
        ("BROKE", crate::routing::Reply::Erred),
        ("PAST", crate::routing::Reply::TooLate),
    ] {
        let mut story = Story::new();
        story.push(1);
        let mut far = story.accepted("GET");
        let first = answer(1, word, "-", "");
        assert_eq!(story.says(&mut far, &first, 1), [(1, Ok(reply))]);
        story.push_by(PushId { job: 1, number: 1 }, f64::INFINITY);
        let mut other = story.accepted("GET");
        far.write_all(first.as_bytes()).unwrap();
        story.push(2);
        assert_eq!(story.ends(), [], "{word}");
        assert_eq!(story.says(&mut other, &answer(1, "DONE", "-", "a\tb\tc\n"), 1), [(1, done())]);
    }
}

/// Hard case: an engine is told to drain while the connection that a push waits for comes up.
#[test]
fn what_waits_for_a_connection_does_not_leave_once_it_is_called_back() {
    let mut story = Story::new();
    story.push(1);
    story.links.call_back(2);
    story.links.call_back(1);
    let mut ended = Vec::new();
    story.links.ended(&mut ended);
    assert_eq!(ended, [(push(1), Err(Failure::NeverSent))]);
    // The connection comes up all the same, and what is on it is not touched.
    story.push(2);
    let mut far = story.accepted(&format!("GET {:016x}", 2));
    story.links.call_back(1);
    assert_eq!(story.says(&mut far, &answer(2, "DONE", "-", "a\tb\tc\n"), 1), [(2, done())]);
}

/// Hard case: a client leaves while its push waits for a connection.
#[test]
fn what_is_given_up_while_it_waits_for_a_connection_never_leaves() {
    let mut story = Story::new();
    story.push(1);
    story.push(2);
    story.links.give_up(push(1), story.now);
    let mut far = story.accepted("GET");
    assert_eq!(story.ends(), [(1, Err(Failure::NeverSent))]);
    story.push(3);
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

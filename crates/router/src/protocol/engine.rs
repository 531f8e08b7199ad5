//! The engine protocol: requests from a gateway to an engine, and the engine's answers.

use super::pairs;
use cleatgw::MeasuredCost;
use std::io::Write as _;
use std::ops::Range;

/// The longest head line of an answer, in bytes.
const MAX_LINE: usize = 1024;
/// The longest body of an answer, in bytes: the protocol's limit on a page.
pub const MAX_BODY: usize = 6000;
/// The longest result, in bytes: twice the protocol's limit.
pub const MAX_RESULT: usize = 96 * 1024;
/// The longest answer, in bytes: a head line, a body, and the line end behind it.
pub const MAX_ANSWER: usize = MAX_LINE + MAX_BODY + 2;
/// Pages of one result, at most.
const MAX_PAGES: usize = 64;
/// Number of columns in each row of a result.
pub const COLUMNS: usize = 3;

/// What is wrong with a malformed answer.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
#[error("{0}")]
pub struct Malformed(pub &'static str);

/// A request to an engine to run a statement.
#[derive(Debug)]
pub struct EngineRequest<'a> {
    pub id: &'a str,
    pub class: &'a str,
    /// How long the gateway will wait for the answer, in seconds. [`EncodedRequest`] does not hold it; the sender computes the
    /// attempt's deadline from it.
    pub wait: f64,
    pub idempotency_key: Option<&'a str>,
    /// The memory grant, in megabytes. 0 if there is none.
    pub grant_mb: f64,
    /// The priority lane, 0 to 3. A higher number is a faster lane.
    pub lane: u8,
    pub statement: &'a [u8],
}

fn write_line(out: &mut Vec<u8>, text: std::fmt::Arguments) {
    out.write_fmt(text).expect("writing to memory does not fail");
    out.extend(b"\r\n");
}

/// An encoded request without its waiting time, which counts from the moment the request is sent and is therefore filled in
/// by [`Self::write`].
pub struct EncodedRequest {
    before_wait: Vec<u8>,
    after_wait: Vec<u8>,
}

impl EncodedRequest {
    pub fn new(request: &EngineRequest) -> EncodedRequest {
        let before_wait = format!("GET {} queue={},budget=", request.id, request.class).into_bytes();
        let mut after_wait = Vec::new();
        if let Some(idempotency_key) = request.idempotency_key {
            write!(after_wait, ",uniq={idempotency_key}").expect("writing to memory does not fail");
        }
        if request.grant_mb > 0.0 {
            write!(after_wait, ",grant={}", request.grant_mb.ceil() as u64)
                .expect("writing to memory does not fail");
        }
        write_line(&mut after_wait, format_args!(",rank={} {}", request.lane, request.statement.len()));
        after_wait.extend(request.statement);
        after_wait.extend(b"\r\n");
        EncodedRequest { before_wait, after_wait }
    }

    /// Writes the request. `wait` is how long the gateway will wait for the answer, in seconds.
    pub fn write(&self, out: &mut Vec<u8>, wait: f64) {
        let wait_ms = (wait * 1e3).ceil().max(1.0) as u64;
        out.extend(&self.before_wait);
        write!(out, "{wait_ms}").expect("writing to memory does not fail");
        out.extend(&self.after_wait);
    }
}

/// Cancels the request.
pub fn write_cancel(out: &mut Vec<u8>, id: &str) {
    write_line(out, format_args!("DROP {id}"));
}

/// Changes the priority lane of the request.
pub fn write_lane(out: &mut Vec<u8>, id: &str, lane: u8) {
    write_line(out, format_args!("RANK {id} {lane}"));
}

/// Asks for a further page of the request's result.
pub fn write_page_request(out: &mut Vec<u8>, id: &str, number: usize) {
    write_line(out, format_args!("PAGE {id} {number}"));
}

/// Tells the engine that all pages of the result have arrived. Sent only for results of more than one page.
pub fn write_close(out: &mut Vec<u8>, id: &str) {
    write_line(out, format_args!("CLOSE {id}"));
}

/// Sends a ping, to test whether the connection works. The engine answers with the same tag.
pub fn write_ping(out: &mut Vec<u8>, tag: &str) {
    write_line(out, format_args!("PING {tag}"));
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AnswerKind {
    /// `DONE`: the request is completed; the body is the first page of its result.
    Completed,
    /// `WAIT`: the engine is full and did not take the request.
    EngineFull,
    /// `BROKE`: the request failed at the engine.
    EngineError,
    /// `PAST`: the request's deadline passed at the engine.
    DeadlinePassed,
    /// `MORE`: a further page of the result.
    Page,
    /// `FIT`: the answer to a ping.
    Pong,
    /// A word that this gateway does not know. It does not end the request.
    Unknown,
}

/// An answer from an engine.
#[derive(Debug, PartialEq)]
pub struct Answer<'a> {
    /// The id of the request, or the tag of the ping.
    pub id: &'a str,
    pub kind: AnswerKind,
    /// The work that the request needed, in milliseconds. None if the field is absent or invalid.
    pub work: Option<f64>,
    /// The most memory that the request held at a time, in megabytes. None if the field is absent or invalid.
    pub peak: Option<f64>,
    /// How many pages the result has. None if the field is absent, which means one page.
    pub pages: Option<usize>,
    /// The number of the page in the body. None if the field is absent, which means the first page, number 0.
    pub page: Option<usize>,
    pub body: &'a [u8],
    /// Bytes of the input that the answer occupies.
    pub length: usize,
}

/// Parses the first answer in the input. Returns none while it is incomplete.
///
/// # Errors
/// The head line is too long, is not UTF-8, or does not consist of four words; the body length, the page count or the page number
/// is not a number; or the body is too long or is not followed by a line end. An invalid `work` or `peak` is not an error, but
/// counts as absent.
pub fn parse_answer(input: &[u8]) -> Result<Option<Answer<'_>>, Malformed> {
    let head = &input[..input.len().min(MAX_LINE)];
    let Some(line_end) = head.windows(2).position(|pair| pair == b"\r\n") else {
        return if input.len() < MAX_LINE {
            Ok(None)
        } else {
            Err(Malformed("no line end within the longest line"))
        };
    };
    let text = std::str::from_utf8(&head[..line_end]).map_err(|_| Malformed("a line that is not UTF-8"))?;
    let words: Vec<&str> = text.split(' ').collect();
    let [id, word, fields, length] = words[..] else {
        return Err(Malformed("a line that does not have four words"));
    };
    let kind = match word {
        "DONE" => AnswerKind::Completed,
        "WAIT" => AnswerKind::EngineFull,
        "BROKE" => AnswerKind::EngineError,
        "PAST" => AnswerKind::DeadlinePassed,
        "MORE" => AnswerKind::Page,
        "FIT" => AnswerKind::Pong,
        _ => AnswerKind::Unknown,
    };
    let body_length: usize = length.parse().map_err(|_| Malformed("a body length that is not a number"))?;
    if body_length > MAX_BODY {
        return Err(Malformed("a body that is too long"));
    }
    let body = line_end + 2..line_end + 2 + body_length;
    let Some(terminator) = input.get(body.end..body.end + 2) else { return Ok(None) };
    if terminator != b"\r\n" {
        return Err(Malformed("a body that does not end where its length says"));
    }
    let field = |name: &str| pairs(fields).find(|(key, _)| *key == name).map(|(_, value)| value);
    let quantity = |name| field(name)?.parse::<f64>().ok().filter(|value| value.is_finite() && *value >= 0.0);
    let count = |name| match field(name) {
        None => Ok(None),
        Some(text) => text
            .parse::<usize>()
            .map(Some)
            .map_err(|_| Malformed("a page count or page number that is not a number")),
    };
    Ok(Some(Answer {
        id,
        kind,
        work: quantity("work"),
        peak: quantity("peak"),
        pages: count("parts")?,
        page: count("part_no")?,
        length: body.end + 2,
        body: &input[body],
    }))
}

/// The rows of one or more joined pages, without their line ends. Each page must be empty or end with a line end, as
/// [`Pages::add`] checks.
pub fn rows(pages: &[u8]) -> impl Iterator<Item = &[u8]> {
    pages.split_inclusive(|&byte| byte == b'\n').map(|row| &row[..row.len() - 1])
}

/// The values of a row.
pub fn columns(row: &[u8]) -> impl Iterator<Item = &[u8]> {
    row.split(|&byte| byte == b'\t')
}

/// Collects the pages of one result, in whatever order they arrive.
#[derive(Debug)]
pub struct Pages {
    pages: Vec<Option<Vec<u8>>>,
    /// Pages that have not arrived.
    missing: usize,
    /// Bytes of all pages that have arrived.
    bytes: usize,
    /// The work and memory that the request needed, as the answer with the first page says.
    pub measured: Option<MeasuredCost>,
}

impl Pages {
    /// Begins a result of `count` pages with its first page.
    ///
    /// # Errors
    /// The number of pages is 0 or too large, or the first page is invalid.
    pub fn new(count: usize, first: &[u8]) -> Result<Pages, Malformed> {
        if count == 0 || count > MAX_PAGES {
            return Err(Malformed("a page count that is 0 or too large"));
        }
        let mut pages = Pages { pages: vec![None; count], missing: count, bytes: 0, measured: None };
        pages.add(0, first)?;
        Ok(pages)
    }

    /// Adds the page with this number.
    ///
    /// # Errors
    /// The page ends within a row, a row has the wrong number of columns, the number is beyond the last page, or the result
    /// becomes too long.
    pub fn add(&mut self, number: usize, page: &[u8]) -> Result<(), Malformed> {
        if !page.is_empty() && !page.ends_with(b"\n") {
            return Err(Malformed("a page that ends within a row"));
        }
        if rows(page).any(|row| columns(row).count() != COLUMNS) {
            return Err(Malformed("a row with the wrong number of columns"));
        }
        match self.pages.get_mut(number) {
            None => return Err(Malformed("a page that was not requested")),
            // A duplicate is ignored.
            Some(Some(_)) => return Ok(()),
            Some(empty) => *empty = Some(page.to_vec()),
        }
        self.bytes += page.len();
        if self.bytes > MAX_RESULT {
            return Err(Malformed("a result that is too long"));
        }
        self.missing -= 1;
        Ok(())
    }

    /// The numbers of the pages after the first, which must be requested.
    pub fn after_first(&self) -> Range<usize> {
        1..self.pages.len()
    }

    /// The most bytes that the pages which have not arrived can have together.
    pub fn max_missing_bytes(&self) -> usize {
        (self.missing * MAX_BODY).min(MAX_RESULT.saturating_sub(self.bytes))
    }

    /// Takes the joined pages once all of them have arrived.
    pub fn take_complete(&mut self) -> Option<Vec<u8>> {
        if self.missing > 0 {
            return None;
        }
        let mut pages = std::mem::take(&mut self.pages).into_iter().flatten();
        let mut joined = pages.next()?;
        joined.reserve_exact(self.bytes - joined.len());
        pages.for_each(|page| joined.extend(page));
        Some(joined)
    }
}

#[cfg(test)]
mod tests;

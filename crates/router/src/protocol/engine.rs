//! The engines' lines: what a gateway asks, and what an engine answers.

use super::pairs;
use cleatgw::MeasuredCost;
use std::io::Write as _;
use std::ops::Range;

/// A page holds less, a result no more than some of them: what is longer is no answer of an engine's.
const LONGEST_LINE: usize = 1024;
const LONGEST_BODY: usize = 16 * 1024;
const LONGEST_RESULT: usize = 96 * 1024;
const MOST_PAGES: usize = 64;
pub const COLUMNS: usize = 3;

/// Bytes that no engine sends, and what is wrong with them.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
#[error("{0}")]
pub struct Malformed(pub &'static str);

/// A request as an engine is asked to run it.
#[derive(Debug)]
pub struct EngineRequest<'a> {
    pub id: &'a str,
    pub class: &'a str,
    /// How long the gateway will wait, in seconds.
    pub wait: f64,
    pub idempotency_key: Option<&'a str>,
    pub grant_mb: f64,
    pub lane: u8,
    pub statement: &'a [u8],
}

fn line(out: &mut Vec<u8>, words: std::fmt::Arguments) {
    out.write_fmt(words).expect("memory takes all");
    out.extend(b"\r\n");
}

/// A request that is written but for how long the gateway waits, as that is counted from when it leaves.
pub struct EncodedRequest {
    before: Vec<u8>,
    behind: Vec<u8>,
}

impl EncodedRequest {
    pub fn new(request: &EngineRequest) -> EncodedRequest {
        let before = format!("GET {} queue={},budget=", request.id, request.class).into_bytes();
        let mut behind = Vec::new();
        if let Some(idempotency_key) = request.idempotency_key {
            write!(behind, ",uniq={idempotency_key}").expect("memory takes all");
        }
        if request.grant_mb > 0.0 {
            write!(behind, ",grant={}", request.grant_mb.ceil() as u64).expect("memory takes all");
        }
        line(&mut behind, format_args!(",rank={} {}", request.lane, request.statement.len()));
        behind.extend(request.statement);
        behind.extend(b"\r\n");
        EncodedRequest { before, behind }
    }

    /// Writes it with so many seconds to wait.
    pub fn write(&self, out: &mut Vec<u8>, wait: f64) {
        let wait = (wait * 1e3).ceil().max(1.0) as u64;
        out.extend(&self.before);
        write!(out, "{wait}").expect("memory takes all");
        out.extend(&self.behind);
    }
}

pub fn give_up(out: &mut Vec<u8>, id: &str) {
    line(out, format_args!("DROP {id}"));
}

pub fn lane(out: &mut Vec<u8>, id: &str, lane: u8) {
    line(out, format_args!("RANK {id} {lane}"));
}

pub fn page(out: &mut Vec<u8>, id: &str, number: usize) {
    line(out, format_args!("PAGE {id} {number}"));
}

pub fn close(out: &mut Vec<u8>, id: &str) {
    line(out, format_args!("CLOSE {id}"));
}

/// Asks whether the connection works.
pub fn ping(out: &mut Vec<u8>, tag: &str) {
    line(out, format_args!("PING {tag}"));
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AnswerKind {
    Done,
    Wait,
    Broke,
    Past,
    More,
    Fit,
    /// A word that this gateway does not know; it ends nothing.
    Other,
}

#[derive(Debug, PartialEq)]
pub struct Answer<'a> {
    pub id: &'a str,
    pub kind: AnswerKind,
    /// Milliseconds of work and megabytes of memory that the request needed.
    pub work: Option<f64>,
    pub peak: Option<f64>,
    pub pages: Option<usize>,
    pub page: Option<usize>,
    pub body: &'a [u8],
    /// How much of the input it took.
    pub taken: usize,
}

/// The first answer of the input, or none yet.
pub fn answer(input: &[u8]) -> Result<Option<Answer<'_>>, Malformed> {
    let head = &input[..input.len().min(LONGEST_LINE)];
    let Some(end) = head.windows(2).position(|pair| pair == b"\r\n") else {
        return if input.len() < LONGEST_LINE { Ok(None) } else { Err(Malformed("a line without end")) };
    };
    let text = std::str::from_utf8(&head[..end]).map_err(|_| Malformed("a line that is no text"))?;
    let words: Vec<&str> = text.split(' ').collect();
    let [id, word, fields, length] = words[..] else { return Err(Malformed("a line not of four words")) };
    let kind = match word {
        "DONE" => AnswerKind::Done,
        "WAIT" => AnswerKind::Wait,
        "BROKE" => AnswerKind::Broke,
        "PAST" => AnswerKind::Past,
        "MORE" => AnswerKind::More,
        "FIT" => AnswerKind::Fit,
        _ => AnswerKind::Other,
    };
    let length: usize = length.parse().map_err(|_| Malformed("a length that is no number"))?;
    if length > LONGEST_BODY {
        return Err(Malformed("a body that is too long"));
    }
    let body = end + 2..end + 2 + length;
    let Some(close) = input.get(body.end..body.end + 2) else { return Ok(None) };
    if close != b"\r\n" {
        return Err(Malformed("a body that is longer than its length"));
    }
    let field = |name: &str| pairs(fields).find(|(key, _)| *key == name).map(|(_, value)| value);
    let amount = |name| field(name)?.parse::<f64>().ok().filter(|value| value.is_finite() && *value >= 0.0);
    let count = |name| match field(name) {
        None => Ok(None),
        Some(text) => text.parse::<usize>().map(Some).map_err(|_| Malformed("a page number that is none")),
    };
    Ok(Some(Answer {
        id,
        kind,
        work: amount("work"),
        peak: amount("peak"),
        pages: count("parts")?,
        page: count("part_no")?,
        taken: body.end + 2,
        body: &input[body],
    }))
}

/// The rows of pages.
pub fn rows(pages: &[u8]) -> impl Iterator<Item = &[u8]> {
    pages.split_inclusive(|&byte| byte == b'\n').map(|row| &row[..row.len() - 1])
}

pub fn columns(row: &[u8]) -> impl Iterator<Item = &[u8]> {
    row.split(|&byte| byte == b'\t')
}

/// The pages of one result, in whatever order they come.
#[derive(Debug)]
pub struct Pages {
    pages: Vec<Option<Vec<u8>>>,
    missing: usize,
    bytes: usize,
    /// What the request needed, as the first page says.
    pub measured: Option<MeasuredCost>,
}

impl Pages {
    pub fn new(count: usize, first: &[u8]) -> Result<Pages, Malformed> {
        if count == 0 || count > MOST_PAGES {
            return Err(Malformed("a number of pages that no result has"));
        }
        let mut pages = Pages { pages: vec![None; count], missing: count, bytes: 0, measured: None };
        pages.add(0, first)?;
        Ok(pages)
    }

    pub fn add(&mut self, number: usize, page: &[u8]) -> Result<(), Malformed> {
        if !page.is_empty() && !page.ends_with(b"\n") {
            return Err(Malformed("a page that ends within a row"));
        }
        if rows(page).any(|row| columns(row).count() != COLUMNS) {
            return Err(Malformed("a row that has not its columns"));
        }
        match self.pages.get_mut(number) {
            None => return Err(Malformed("a page that was not asked for")),
            // A second copy changes nothing.
            Some(Some(_)) => return Ok(()),
            Some(place) => *place = Some(page.to_vec()),
        }
        self.bytes += page.len();
        if self.bytes > LONGEST_RESULT {
            return Err(Malformed("a result that is too long"));
        }
        self.missing -= 1;
        Ok(())
    }

    /// The numbers of the pages to ask for, after the first.
    pub fn others(&self) -> Range<usize> {
        1..self.pages.len()
    }

    /// All rows, once the last page is there.
    pub fn take_complete(&mut self) -> Option<Vec<u8>> {
        (self.missing == 0).then(|| self.pages.iter_mut().filter_map(Option::take).flatten().collect())
    }
}

#[cfg(test)]
mod tests;

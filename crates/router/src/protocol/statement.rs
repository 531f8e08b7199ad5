//! Statements: the fields comment ahead of a request, its table group, and what drivers send beside requests.

use super::pairs;
use std::collections::HashSet;

/// What a statement asks for.
#[derive(Debug, PartialEq)]
pub enum Statement {
    Query(ParsedStatement),
    /// Withdraws what a session has open; the session too is to end where not only the query is meant.
    Kill {
        session: u32,
        query_only: bool,
    },
    /// What an operator asks for: `SHOW ANNOUNCEMENTS`, `SHOW Tenants`, `SHOW CLUSTER`, `SHOW Leader roles`, `SHOW STORE`.
    Question(Question),
    /// Answered with OK: there is no state that it could change.
    Harmless,
}

/// How something stands.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Question {
    Announcements,
    Teams,
    Cluster,
    Roles,
    Store,
}

/// A request as its client asks for it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ParsedStatement {
    pub id: String,
    pub class: String,
    /// How long the client waits, in seconds.
    pub time_to_live: f64,
    pub tenant: Option<String>,
    pub idempotency_key: Option<String>,
    pub work: Option<f64>,
    pub memory_mb: Option<f64>,
    pub table_group: Option<u64>,
    /// Without the comment that holds the fields.
    pub text: Vec<u8>,
}

/// Why nothing can be made of a statement. Its client is told so in these words.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum StatementError {
    #[error("the statement is empty")]
    Empty,
    /// Not even a constant is answered with a result set: a client may take that for an engine's.
    #[error("no fields comment ahead of the statement: a job needs op, call and ttl there")]
    NoFields,
    #[error("KILL: expected a connection id")]
    NoConnectionId,
    /// A field is missing, stands there twice, or has a value that does not fit.
    #[error("field {field}: expected {expected}, got \"{got}\"")]
    Field { field: &'static str, expected: String, got: String },
    #[error("field call: expected an id that is not in use, got \"{id}\"")]
    IdInUse { id: String },
    #[error("field dedupe: expected a mark against repeats, as {class} needs one")]
    MissingIdempotencyKey { class: String },
}

impl StatementError {
    /// The class is none of those that are known.
    pub fn unknown_class(got: String, known: &[String]) -> StatementError {
        StatementError::unknown("op", got, known)
    }

    /// The tenant is none of those that are known.
    pub fn unknown_tenant(got: String, known: &[String]) -> StatementError {
        StatementError::unknown("org", got, known)
    }

    fn unknown(field: &'static str, got: String, known: &[String]) -> StatementError {
        StatementError::Field { field, expected: format!("one of {}", known.join(" ")), got }
    }
}

/// What is more than a day, or more than any machine has, is out of range.
const LONGEST_MS: f64 = 86_400e3;
const MOST_MB: f64 = 16e6;
const MS_PER_S: f64 = 1e3;

/// Reads a statement.
///
/// # Errors
/// Why nothing can be made of it.
pub fn read(statement: &[u8]) -> Result<Statement, StatementError> {
    if let Some((fields, rest)) = fields_comment(statement) {
        return query(fields, rest).map(Statement::Query);
    }
    let tokens = tokens(statement);
    let word = |at: usize| tokens.get(at).map_or("", |token| token.word());
    let is = |at: usize, wanted: &str| word(at).eq_ignore_ascii_case(wanted);
    match word(0).to_ascii_uppercase().as_str() {
        "KILL" => {
            let at = if is(1, "QUERY") || is(1, "CONNECTION") { 2 } else { 1 };
            let session = word(at).parse().map_err(|_| StatementError::NoConnectionId)?;
            Ok(Statement::Kill { session, query_only: is(1, "QUERY") })
        }
        "SHOW" if is(1, "ANNOUNCEMENTS") && tokens.len() == 2 => {
            Ok(Statement::Question(Question::Announcements))
        }
        "SHOW" if is(1, "TEAMS") && tokens.len() == 2 => Ok(Statement::Question(Question::Teams)),
        "SHOW" if is(1, "CLUSTER") && tokens.len() == 2 => Ok(Statement::Question(Question::Cluster)),
        "SHOW" if is(1, "DUTIES") && tokens.len() == 2 => Ok(Statement::Question(Question::Roles)),
        "SHOW" if is(1, "STORE") && tokens.len() == 2 => Ok(Statement::Question(Question::Store)),
        "SET" | "USE" | "BEGIN" | "START" | "COMMIT" | "ROLLBACK" => Ok(Statement::Harmless),
        "" => Err(StatementError::Empty),
        _ => Err(StatementError::NoFields),
    }
}

/// The inside of a comment that holds fields, and what follows it.
fn fields_comment(statement: &[u8]) -> Option<(&str, &[u8])> {
    let inside = statement.trim_ascii_start().strip_prefix(b"/*")?;
    let end = inside.windows(2).position(|pair| pair == b"*/")?;
    let fields = std::str::from_utf8(&inside[..end]).ok()?;
    // The blank that parts them belongs to the comment.
    let rest = &inside[end + 2..];
    let known = ["op", "call", "ttl"];
    let any = pairs(fields).any(|(name, _)| known.contains(&name.trim()));
    any.then_some((fields, rest.strip_prefix(b" ").unwrap_or(rest)))
}

/// The fields of a comment, by their names.
struct Fields<'a>(&'a str);

impl<'a> Fields<'a> {
    fn all(&self, name: &'static str) -> Vec<&'a str> {
        let named = pairs(self.0).filter(|(key, _)| key.trim() == name);
        named.map(|(_, value)| value.trim()).collect()
    }

    fn error(&self, field: &'static str, expected: &str) -> StatementError {
        let got = self.all(field).join(" and ");
        StatementError::Field { field, expected: expected.to_string(), got }
    }

    /// A field that may be absent, and fits if it is there.
    fn optional(
        &self,
        field: &'static str,
        expected: &str,
        fits: fn(&str) -> bool,
    ) -> Result<Option<&'a str>, StatementError> {
        match self.all(field)[..] {
            [] => Ok(None),
            [value] if fits(value) => Ok(Some(value)),
            _ => Err(self.error(field, expected)),
        }
    }

    fn required(
        &self,
        field: &'static str,
        expected: &str,
        fits: fn(&str) -> bool,
    ) -> Result<&'a str, StatementError> {
        self.optional(field, expected, fits)?.ok_or_else(|| self.error(field, expected))
    }

    /// A number above 0; 0 counts as absent.
    fn number(&self, field: &'static str, expected: &str, most: f64) -> Result<Option<f64>, StatementError> {
        let Some(text) = self.optional(field, expected, |_| true)? else { return Ok(None) };
        match text.parse::<f64>() {
            Ok(value) if (0.0..=most).contains(&value) => Ok(Some(value).filter(|value| *value > 0.0)),
            _ => Err(self.error(field, expected)),
        }
    }
}

/// A word of 1 to 64 printable characters without `=`.
fn is_plain(text: &str) -> bool {
    (1..=64).contains(&text.len()) && text.bytes().all(|byte| byte.is_ascii_graphic() && byte != b'=')
}

fn is_id(text: &str) -> bool {
    text.len() == 16 && text.bytes().all(|byte| byte.is_ascii_hexdigit())
}

/// Every field that is there must be fit for use: what is not is no usual client's, and engines would fail it.
fn query(fields: &str, text: &[u8]) -> Result<ParsedStatement, StatementError> {
    if text.trim_ascii().is_empty() {
        return Err(StatementError::Empty);
    }
    let fields = Fields(fields);
    let id = fields.required("call", "16 hex digits", is_id)?;
    let class = fields.required("op", "a category", is_plain)?;
    let time_to_live_ms = fields.number("ttl", "milliseconds", LONGEST_MS)?;
    let time_to_live_ms = time_to_live_ms.ok_or_else(|| fields.error("ttl", "milliseconds"))?;
    let tenant = fields.optional("org", "a tenant", is_plain)?;
    let idempotency_key = fields.optional("dedupe", "a mark against repeats", is_plain)?;
    let work_ms = fields.number("work", "milliseconds", LONGEST_MS)?;
    Ok(ParsedStatement {
        id: id.to_string(),
        class: class.to_string(),
        time_to_live: time_to_live_ms / MS_PER_S,
        tenant: tenant.map(str::to_string),
        idempotency_key: idempotency_key.map(str::to_string),
        work: work_ms.map(|ms| ms / MS_PER_S),
        memory_mb: fields.number("mb", "megabytes", MOST_MB)?,
        table_group: table_group(text),
        text: text.to_vec(),
    })
}

/// A piece of a statement; comments and blanks are none.
#[derive(Debug, PartialEq)]
enum Token<'a> {
    AnswerKind(&'a str),
    /// A name in back quotes.
    Quoted(&'a str),
    Text(&'a str),
    Sign(u8),
}

impl<'a> Token<'a> {
    fn word(&self) -> &'a str {
        match self {
            Token::AnswerKind(word) => word,
            _ => "",
        }
    }

    fn name(&self) -> Option<&'a str> {
        match self {
            Token::AnswerKind(name) | Token::Quoted(name) => Some(name),
            _ => None,
        }
    }

    fn is(&self, word: &str) -> bool {
        self.word().eq_ignore_ascii_case(word)
    }
}

/// Where a quoted piece that begins at `at` ends: behind its closing quote, or with the statement.
fn quoted_end(text: &[u8], at: usize) -> usize {
    let quote = text[at];
    let mut next = at + 1;
    while next < text.len() {
        match text[next] {
            b'\\' if quote != b'`' => next += 1,
            byte if byte == quote && text.get(next + 1) == Some(&quote) => next += 1,
            byte if byte == quote => return next + 1,
            _ => {}
        }
        next += 1;
    }
    text.len()
}

fn find(text: &[u8], from: usize, what: &[u8]) -> usize {
    let rest = text.get(from..).unwrap_or(b"");
    rest.windows(what.len()).position(|part| part == what).map_or(text.len(), |at| from + at + what.len())
}

fn tokens(text: &[u8]) -> Vec<Token<'_>> {
    let part = |from: usize, to: usize| std::str::from_utf8(text.get(from..to).unwrap_or(b"")).unwrap_or("");
    let in_word = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'_' | b'$' | 0x80..);
    let mut tokens = Vec::new();
    let mut at = 0;
    while let Some(&byte) = text.get(at) {
        let next = text.get(at + 1).copied();
        let end = match byte {
            b' ' | b'\t' | b'\r' | b'\n' | 0x0b | 0x0c => at + 1,
            b'#' => find(text, at, b"\n"),
            b'-' if next == Some(b'-') && text.get(at + 2).is_none_or(|byte| byte.is_ascii_whitespace()) => {
                find(text, at, b"\n")
            }
            // What MySQL runs although it stands in a comment is a part of the statement.
            b'/' if next == Some(b'*') && text.get(at + 2) == Some(&b'!') => {
                let digits = text[at + 3..].iter().take_while(|byte| byte.is_ascii_digit()).count();
                at + 3 + digits
            }
            b'*' if next == Some(b'/') => at + 2,
            b'/' if next == Some(b'*') => find(text, at + 2, b"*/"),
            b'\'' | b'"' | b'`' => {
                let end = quoted_end(text, at);
                let inside = part(at + 1, (end - 1).max(at + 1));
                tokens.push(if byte == b'`' { Token::Quoted(inside) } else { Token::Text(inside) });
                end
            }
            _ if in_word(byte) => {
                let end = at + text[at..].iter().take_while(|&&byte| in_word(byte)).count();
                tokens.push(Token::AnswerKind(part(at, end)));
                end
            }
            sign => {
                tokens.push(Token::Sign(sign));
                at + 1
            }
        };
        at = end;
    }
    tokens
}

/// The group of tables in a schema's name: the number behind its last underscore.
fn group_of(schema: &str) -> Option<u64> {
    let (name, digits) = schema.rsplit_once('_')?;
    let digital = !name.is_empty() && digits.bytes().all(|byte| byte.is_ascii_digit());
    digits.parse().ok().filter(|_| digital)
}

/// The table group that a statement reads or writes, by the schemas that stand where tables do.
fn table_group(statement: &[u8]) -> Option<u64> {
    let tokens = tokens(statement);
    let sign = |at: usize, sign: u8| tokens.get(at) == Some(&Token::Sign(sign));
    let qualified = |at: usize| {
        let schema =
            tokens.get(at)?.name().filter(|_| sign(at + 1, b'.') && (at == 0 || !sign(at - 1, b'.')))?;
        tokens.get(at + 2)?.name().map(|_| schema)
    };
    // In each open parenthesis: whether it holds a query, and whether tables are listed there just now.
    let mut open = vec![(true, false)];
    let (mut tables, mut names, mut aliases) = (Vec::new(), Vec::new(), HashSet::new());
    for (at, token) in tokens.iter().enumerate() {
        let depth = open.len() - 1;
        let (in_query, lists) = open[depth];
        match token {
            Token::Sign(b'(') => {
                let query =
                    ["SELECT", "WITH"].iter().any(|word| tokens.get(at + 1).is_some_and(|t| t.is(word)));
                let table = at > 0 && place_of_table(&tokens[at - 1], lists);
                open.push((query || table, table && !query));
                if table && !query && qualified(at + 1).is_some() {
                    tables.push(at + 1);
                }
            }
            Token::Sign(b')') if depth > 0 => drop(open.pop()),
            token => {
                let ends = [
                    "WHERE", "GROUP", "ORDER", "HAVING", "LIMIT", "SET", "VALUES", "UNION", "SELECT", "ON",
                    "USING",
                ];
                let begins = ["FROM", "JOIN", "INTO", "UPDATE", "TABLE"];
                if in_query && begins.iter().any(|word| token.is(word)) {
                    open[depth].1 = true;
                } else if ends.iter().any(|word| token.is(word)) {
                    open[depth].1 = false;
                }
                if place_of_table(token, open[depth].1) && in_query && qualified(at + 1).is_some() {
                    tables.push(at + 1);
                    let behind = at + 4;
                    let alias = if tokens.get(behind).is_some_and(|token| token.is("AS")) {
                        behind + 1
                    } else {
                        behind
                    };
                    aliases.extend(tokens.get(alias).and_then(Token::name));
                }
            }
        }
        names.extend(qualified(at).map(|_| at));
    }
    let named = |at: &usize| qualified(*at).filter(|schema| !schema.eq_ignore_ascii_case("staging"));
    let placed = tables.iter().filter_map(named).find_map(group_of);
    placed
        .or_else(|| names.iter().filter_map(named).filter(|name| !aliases.contains(name)).find_map(group_of))
}

/// Whether a table may stand behind this token.
fn place_of_table(token: &Token, lists: bool) -> bool {
    let words =
        ["FROM", "JOIN", "INTO", "UPDATE", "TABLE", "STRAIGHT_JOIN", "IGNORE", "LOW_PRIORITY", "ONLY"];
    lists && (words.iter().any(|word| token.is(word)) || matches!(token, Token::Sign(b',' | b'(')))
}

#[cfg(test)]
mod tests;

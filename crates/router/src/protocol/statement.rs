//! Statements: the fields comment ahead of a request, its table group, and what drivers send beside requests.

mod table_group;
mod tokens;

use super::pairs;
use table_group::table_group;
use tokens::tokens;

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

#[cfg(test)]
mod tests;

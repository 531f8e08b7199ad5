//! Parses statements: requests, which begin with a comment that holds their fields, and the statements that operators
//! and drivers send besides requests.

mod table_group;
mod tokens;

use super::pairs;
use table_group::table_group;
use tokens::tokens;

/// A parsed statement.
#[derive(Debug, PartialEq)]
pub enum Statement {
    /// A request.
    Query(ParsedStatement),
    /// Withdraws the open request of a session. The session ends too unless `query_only` is set.
    Kill { session: u32, query_only: bool },
    /// An operator's request for a status table: `SHOW ANNOUNCEMENTS`, `SHOW TEAMS`, `SHOW CLUSTER`, `SHOW DUTIES` or
    /// `SHOW STORE`.
    Show(StatusTopic),
    /// A statement that would set session or transaction state, such as `SET`, `USE` or `COMMIT`. It is answered with
    /// OK, as the gateway keeps no such state.
    NoOp,
}

/// What a status table is about.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum StatusTopic {
    Announcements,
    /// The tenants, which are called teams in statements and files.
    Teams,
    Cluster,
    /// The leader roles, which are called duties in statements and files.
    Roles,
    Store,
}

/// A request as its client sent it: a statement with a fields comment.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ParsedStatement {
    pub id: String,
    pub class: String,
    /// How long the client waits for the answer, in seconds.
    pub time_to_live: f64,
    pub tenant: Option<String>,
    pub idempotency_key: Option<String>,
    /// The client's estimate of the work, in seconds.
    pub work: Option<f64>,
    /// The client's estimate of the memory, in megabytes.
    pub memory_mb: Option<f64>,
    pub table_group: Option<u64>,
    /// The statement without the comment that holds the fields.
    pub text: Vec<u8>,
}

impl ParsedStatement {
    /// The length of all its texts together, in bytes.
    pub fn texts_len(&self) -> usize {
        let optional_len = |text: &Option<String>| text.as_ref().map_or(0, String::len);
        self.id.len()
            + self.class.len()
            + optional_len(&self.tenant)
            + optional_len(&self.idempotency_key)
            + self.text.len()
    }
}

/// Why a statement is refused. The message is sent to the client.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum StatementError {
    #[error("the statement is empty")]
    Empty,
    /// A statement without fields that is not answered by the gateway itself. Not even a constant is answered with a
    /// result set, since a client could take that for an engine's answer.
    #[error("no fields comment ahead of the statement: a job needs op, call and ttl there")]
    NoFields,
    #[error("KILL: expected a connection id")]
    NoConnectionId,
    /// A field is missing, occurs more than once, or has an invalid value.
    #[error("field {field}: expected {expected}, got \"{got}\"")]
    Field { field: &'static str, expected: String, got: String },
    #[error("field call: expected an id that is not in use, got \"{id}\"")]
    IdInUse { id: String },
    #[error("field dedupe: expected a mark against repeats, as {class} needs one")]
    MissingIdempotencyKey { class: String },
}

impl StatementError {
    /// The request class is not one of the known ones.
    pub fn unknown_class(got: String, known: &[String]) -> StatementError {
        StatementError::unknown("op", got, known)
    }

    /// The tenant is not one of the known ones.
    pub fn unknown_tenant(got: String, known: &[String]) -> StatementError {
        StatementError::unknown("org", got, known)
    }

    fn unknown(field: &'static str, got: String, known: &[String]) -> StatementError {
        StatementError::Field { field, expected: format!("one of {}", known.join(" ")), got }
    }
}

/// Upper limits of the fields: a day, and more memory than any machine has.
const MAX_MS: f64 = 86_400e3;
const MAX_MB: f64 = 16e6;
const MS_PER_S: f64 = 1e3;

/// Parses a statement.
///
/// # Errors
/// The statement is empty, a field is missing or invalid, a `KILL` has no connection id, or a statement without fields
/// is not one that the gateway answers itself.
pub fn parse(statement: &[u8]) -> Result<Statement, StatementError> {
    if let Some((fields, rest)) = fields_comment(statement) {
        return parse_request(fields, rest).map(Statement::Query);
    }
    let tokens = tokens(statement);
    let word = |index: usize| tokens.get(index).map_or("", |token| token.word());
    let is = |index: usize, keyword: &str| word(index).eq_ignore_ascii_case(keyword);
    match word(0).to_ascii_uppercase().as_str() {
        "KILL" => {
            let id_index = if is(1, "QUERY") || is(1, "CONNECTION") { 2 } else { 1 };
            let session = word(id_index).parse().map_err(|_| StatementError::NoConnectionId)?;
            Ok(Statement::Kill { session, query_only: is(1, "QUERY") })
        }
        "SHOW" if is(1, "ANNOUNCEMENTS") && tokens.len() == 2 => {
            Ok(Statement::Show(StatusTopic::Announcements))
        }
        "SHOW" if is(1, "TEAMS") && tokens.len() == 2 => Ok(Statement::Show(StatusTopic::Teams)),
        "SHOW" if is(1, "CLUSTER") && tokens.len() == 2 => Ok(Statement::Show(StatusTopic::Cluster)),
        "SHOW" if is(1, "DUTIES") && tokens.len() == 2 => Ok(Statement::Show(StatusTopic::Roles)),
        "SHOW" if is(1, "STORE") && tokens.len() == 2 => Ok(Statement::Show(StatusTopic::Store)),
        "SET" | "USE" | "BEGIN" | "START" | "COMMIT" | "ROLLBACK" => Ok(Statement::NoOp),
        "" => Err(StatementError::Empty),
        _ => Err(StatementError::NoFields),
    }
}

/// The text inside a leading comment that holds fields, and the statement after it. None if there is no such comment.
fn fields_comment(statement: &[u8]) -> Option<(&str, &[u8])> {
    let after_open = statement.trim_ascii_start().strip_prefix(b"/*")?;
    let end = after_open.windows(2).position(|pair| pair == b"*/")?;
    let fields = std::str::from_utf8(&after_open[..end]).ok()?;
    let rest = &after_open[end + 2..];
    let known = ["op", "call", "ttl"];
    let has_fields = pairs(fields).any(|(name, _)| known.contains(&name.trim()));
    // The space after the comment is removed with it.
    has_fields.then_some((fields, rest.strip_prefix(b" ").unwrap_or(rest)))
}

/// The `name=value` fields of a comment.
struct Fields<'a>(&'a str);

impl<'a> Fields<'a> {
    /// The values of all fields with this name.
    fn values(&self, name: &'static str) -> Vec<&'a str> {
        let fields = pairs(self.0).filter(|(key, _)| key.trim() == name);
        fields.map(|(_, value)| value.trim()).collect()
    }

    fn error(&self, field: &'static str, expected: &str) -> StatementError {
        let got = self.values(field).join(" and ");
        StatementError::Field { field, expected: expected.to_string(), got }
    }

    /// The value of a field. None if the field is absent. A field that occurs twice or whose value is not valid is an
    /// error.
    fn optional(
        &self,
        field: &'static str,
        expected: &str,
        is_valid: fn(&str) -> bool,
    ) -> Result<Option<&'a str>, StatementError> {
        match self.values(field)[..] {
            [] => Ok(None),
            [value] if is_valid(value) => Ok(Some(value)),
            _ => Err(self.error(field, expected)),
        }
    }

    fn required(
        &self,
        field: &'static str,
        expected: &str,
        is_valid: fn(&str) -> bool,
    ) -> Result<&'a str, StatementError> {
        self.optional(field, expected, is_valid)?.ok_or_else(|| self.error(field, expected))
    }

    /// The value of a numeric field, up to `max`. 0 counts as absent.
    fn number(&self, field: &'static str, expected: &str, max: f64) -> Result<Option<f64>, StatementError> {
        let Some(text) = self.optional(field, expected, |_| true)? else { return Ok(None) };
        match text.parse::<f64>() {
            Ok(value) if (0.0..=max).contains(&value) => Ok(Some(value).filter(|value| *value > 0.0)),
            _ => Err(self.error(field, expected)),
        }
    }
}

/// Whether the text consists of 1 to 64 printable characters without spaces and `=`.
fn is_plain(text: &str) -> bool {
    (1..=64).contains(&text.len()) && text.bytes().all(|byte| byte.is_ascii_graphic() && byte != b'=')
}

/// Whether the text is a request id.
fn is_id(text: &str) -> bool {
    text.len() == 16 && text.bytes().all(|byte| byte.is_ascii_hexdigit())
}

/// Parses a request. Fields with unknown names are ignored. Every known field that is present must be valid: the usual
/// clients send no invalid fields, and engines would fail such a request.
fn parse_request(fields: &str, text: &[u8]) -> Result<ParsedStatement, StatementError> {
    if text.trim_ascii().is_empty() {
        return Err(StatementError::Empty);
    }
    let fields = Fields(fields);
    let id = fields.required("call", "16 hex digits", is_id)?;
    let class = fields.required("op", "a category", is_plain)?;
    let time_to_live_ms = fields.number("ttl", "milliseconds", MAX_MS)?;
    let time_to_live_ms = time_to_live_ms.ok_or_else(|| fields.error("ttl", "milliseconds"))?;
    let tenant = fields.optional("org", "a tenant", is_plain)?;
    let idempotency_key = fields.optional("dedupe", "a mark against repeats", is_plain)?;
    let work_ms = fields.number("work", "milliseconds", MAX_MS)?;
    Ok(ParsedStatement {
        id: id.to_string(),
        class: class.to_string(),
        time_to_live: time_to_live_ms / MS_PER_S,
        tenant: tenant.map(str::to_string),
        idempotency_key: idempotency_key.map(str::to_string),
        work: work_ms.map(|ms| ms / MS_PER_S),
        memory_mb: fields.number("mb", "megabytes", MAX_MB)?,
        table_group: table_group(text),
        text: text.to_vec(),
    })
}

#[cfg(test)]
mod tests;

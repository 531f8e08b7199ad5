//! Reads the fields of a line from left to right. Errors state the line, the field, what was expected and what was
//! there.

use crate::error::WireError;
use std::str::FromStr;

/// The maximum number of characters of a malformed field that an error quotes.
const MAX_QUOTED_CHARS: usize = 40;

/// The fields of one line. Each method that reads a field reads the next one; `field` is its name for errors. These
/// methods fail if the field is malformed, and, unless it is optional, if it is missing.
pub struct Fields<'a> {
    /// The number of the line, from 1.
    line: u64,
    message: &'a str,
    /// What has not been read yet; `None` at the end of the line.
    rest: Option<&'a str>,
}

impl<'a> Fields<'a> {
    pub fn new(line: u64, text: &'a str) -> Self {
        let (message, rest) = match text.split_once(' ') {
            Some((message, rest)) => (message, Some(rest)),
            None => (text, None),
        };
        Fields { line, message, rest }
    }

    /// The name of the message, which is the first word of the line.
    pub fn message(&self) -> &'a str {
        self.message
    }

    /// An error about a field of this line.
    pub fn error(&self, field: &'static str, expected: impl Into<String>, got: &str) -> WireError {
        WireError::Field {
            line: self.line,
            message: self.message.to_string(),
            field,
            expected: expected.into(),
            got: got.chars().take(MAX_QUOTED_CHARS).collect(),
        }
    }

    /// The next field. `None` if it is `-`, empty or missing.
    pub fn text(&mut self) -> Option<&'a str> {
        let rest = self.rest?;
        let (field, rest) = match rest.split_once(' ') {
            Some((field, rest)) => (field, Some(rest)),
            None => (rest, None),
        };
        self.rest = rest;
        (field != "-" && !field.is_empty()).then_some(field)
    }

    /// The rest of the line.
    pub fn remainder(&mut self) -> &'a str {
        self.rest.take().unwrap_or("")
    }

    pub fn required(&mut self, field: &'static str, expected: &str) -> Result<&'a str, WireError> {
        self.text().ok_or_else(|| self.error(field, expected, "nothing"))
    }

    pub fn optional<T: FromStr>(
        &mut self,
        field: &'static str,
        expected: &str,
    ) -> Result<Option<T>, WireError> {
        match self.text() {
            None => Ok(None),
            Some(text) => text.parse().map(Some).map_err(|_| self.error(field, expected, text)),
        }
    }

    pub fn integer(&mut self, field: &'static str) -> Result<u64, WireError> {
        let text = self.required(field, "a whole number")?;
        text.parse().map_err(|_| self.error(field, "a whole number", text))
    }

    pub fn optional_integer(&mut self, field: &'static str) -> Result<Option<u64>, WireError> {
        self.optional(field, "a whole number")
    }

    pub fn optional_number(&mut self, field: &'static str) -> Result<Option<f64>, WireError> {
        match self.optional::<f64>(field, "a number")? {
            Some(number) if !number.is_finite() => {
                Err(self.error(field, "a finite number", &number.to_string()))
            }
            number => Ok(number),
        }
    }

    pub fn flag(&mut self, field: &'static str) -> Result<bool, WireError> {
        match self.required(field, "1 or 0")? {
            "1" => Ok(true),
            "0" => Ok(false),
            other => Err(self.error(field, "1 or 0", other)),
        }
    }
}

//! Reading the wire's lines: fields by name, with a plain complaint naming line, field and expectation.

use cleatgw_deployment_config::Complaint;

/// One line, taken apart from left to right.
pub struct Fields<'a> {
    line: u64,
    message: &'a str,
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

    pub fn message(&self) -> &'a str {
        self.message
    }

    pub fn complain(&self, field: &str, expected: &str, got: &str) -> Complaint {
        let got: String = got.chars().take(40).collect();
        Complaint(format!(
            "line {}: {}: field {field}: expected {expected}, got \"{got}\"",
            self.line, self.message
        ))
    }

    /// The next field; `-` and a missing one are absent.
    pub fn text(&mut self) -> Option<&'a str> {
        let rest = self.rest?;
        let (field, rest) = match rest.split_once(' ') {
            Some((field, rest)) => (field, Some(rest)),
            None => (rest, None),
        };
        self.rest = rest;
        (field != "-" && !field.is_empty()).then_some(field)
    }

    /// All that is left of the line.
    pub fn remainder(&mut self) -> &'a str {
        self.rest.take().unwrap_or("")
    }

    pub fn need(&mut self, field: &str, expected: &str) -> Result<&'a str, Complaint> {
        self.text().ok_or_else(|| self.complain(field, expected, "nothing"))
    }

    pub fn maybe<T: std::str::FromStr>(
        &mut self,
        field: &str,
        expected: &str,
    ) -> Result<Option<T>, Complaint> {
        match self.text() {
            None => Ok(None),
            Some(text) => text.parse().map(Some).map_err(|_| self.complain(field, expected, text)),
        }
    }

    pub fn whole(&mut self, field: &str) -> Result<u64, Complaint> {
        let text = self.need(field, "a whole number")?;
        text.parse().map_err(|_| self.complain(field, "a whole number", text))
    }

    pub fn number(&mut self, field: &str) -> Result<Option<f64>, Complaint> {
        match self.maybe::<f64>(field, "a number")? {
            Some(number) if !number.is_finite() => {
                Err(self.complain(field, "a finite number", &number.to_string()))
            }
            number => Ok(number),
        }
    }

    pub fn flag(&mut self, field: &str) -> Result<bool, Complaint> {
        match self.need(field, "1 or 0")? {
            "1" => Ok(true),
            "0" => Ok(false),
            other => Err(self.complain(field, "1 or 0", other)),
        }
    }
}

/// Microseconds on the wire, seconds inside.
pub fn seconds(micros: u64) -> f64 {
    micros as f64 / 1e6
}

pub fn micros(seconds: f64) -> u64 {
    (seconds * 1e6).round().max(0.0) as u64
}

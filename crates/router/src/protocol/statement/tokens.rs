//! Splits a statement into tokens.

/// A token of a statement. Comments and white space are not tokens.
#[derive(Debug, PartialEq)]
pub enum Token<'a> {
    Word(&'a str),
    /// A name in backquotes.
    Quoted(&'a str),
    /// A string literal.
    Text(&'a str),
    /// Any other single character.
    Sign(u8),
}

impl<'a> Token<'a> {
    /// The text of a word. Empty for other tokens.
    pub fn word(&self) -> &'a str {
        match self {
            Token::Word(word) => word,
            _ => "",
        }
    }

    /// The name that the token may be: a word or a quoted name.
    pub fn name(&self) -> Option<&'a str> {
        match self {
            Token::Word(name) | Token::Quoted(name) => Some(name),
            _ => None,
        }
    }

    /// Whether the token is one of these keywords.
    pub fn is_one_of(&self, keywords: &[&str]) -> bool {
        keywords.iter().any(|keyword| self.is(keyword))
    }

    /// Whether the token is this keyword, in upper or lower case.
    pub fn is(&self, keyword: &str) -> bool {
        self.word().eq_ignore_ascii_case(keyword)
    }
}

/// The end of the quoted text that begins at `start`: after its closing quote, or the end of the statement if there is none.
fn quoted_end(text: &[u8], start: usize) -> usize {
    let quote = text[start];
    let mut next = start + 1;
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

/// The position after the first `terminator` from `from` on, or the end of the text if there is none.
fn end_after(text: &[u8], from: usize, terminator: &[u8]) -> usize {
    let rest = text.get(from..).unwrap_or(b"");
    let offset = rest.windows(terminator.len()).position(|part| part == terminator);
    offset.map_or(text.len(), |offset| from + offset + terminator.len())
}

/// Splits a statement into tokens.
pub fn tokens(text: &[u8]) -> Vec<Token<'_>> {
    let slice = |from: usize, to: usize| std::str::from_utf8(text.get(from..to).unwrap_or(b"")).unwrap_or("");
    let is_word_byte = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'_' | b'$' | 0x80..);
    let mut tokens = Vec::new();
    let mut start = 0;
    while let Some(&byte) = text.get(start) {
        let next = text.get(start + 1).copied();
        let end = match byte {
            b' ' | b'\t' | b'\r' | b'\n' | 0x0b | 0x0c => start + 1,
            b'#' => end_after(text, start, b"\n"),
            b'-' if next == Some(b'-')
                && text.get(start + 2).is_none_or(|byte| byte.is_ascii_whitespace()) =>
            {
                end_after(text, start, b"\n")
            }
            // MySQL executes the content of `/*! ... */` comments, so it is part of the statement. Only the comment's opening with
            // its version number and its end are skipped.
            b'/' if next == Some(b'*') && text.get(start + 2) == Some(&b'!') => {
                let digits = text[start + 3..].iter().take_while(|byte| byte.is_ascii_digit()).count();
                start + 3 + digits
            }
            b'*' if next == Some(b'/') => start + 2,
            b'/' if next == Some(b'*') => end_after(text, start + 2, b"*/"),
            b'\'' | b'"' | b'`' => {
                let end = quoted_end(text, start);
                let inner = slice(start + 1, (end - 1).max(start + 1));
                tokens.push(if byte == b'`' { Token::Quoted(inner) } else { Token::Text(inner) });
                end
            }
            _ if is_word_byte(byte) => {
                let end = start + text[start..].iter().take_while(|&&byte| is_word_byte(byte)).count();
                tokens.push(Token::Word(slice(start, end)));
                end
            }
            sign => {
                tokens.push(Token::Sign(sign));
                start + 1
            }
        };
        start = end;
    }
    tokens
}

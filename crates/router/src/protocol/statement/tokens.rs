//! The pieces of a statement.

/// A piece of a statement; comments and blanks are none.
#[derive(Debug, PartialEq)]
pub enum Token<'a> {
    Word(&'a str),
    /// A name in back quotes.
    Quoted(&'a str),
    Text(&'a str),
    Sign(u8),
}

impl<'a> Token<'a> {
    pub fn word(&self) -> &'a str {
        match self {
            Token::Word(word) => word,
            _ => "",
        }
    }

    pub fn name(&self) -> Option<&'a str> {
        match self {
            Token::Word(name) | Token::Quoted(name) => Some(name),
            _ => None,
        }
    }

    /// It is one of these keywords.
    pub fn is_one_of(&self, keywords: &[&str]) -> bool {
        keywords.iter().any(|keyword| self.is(keyword))
    }

    pub fn is(&self, word: &str) -> bool {
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

pub fn tokens(text: &[u8]) -> Vec<Token<'_>> {
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
                tokens.push(Token::Word(part(at, end)));
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

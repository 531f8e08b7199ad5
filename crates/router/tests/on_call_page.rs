//! Checks that the code writes every log line and counter named in the tables of `docs/on-call.md`.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

const ROOT: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../..");
/// Crates whose code does not run in the router process.
const NON_ROUTER_CRATES: [&str; 2] = ["testbed", "simulator-adapter"];
/// Files and folders whose string literals are not log text: counter names, protocol messages and command-line options.
const PATHS_WITHOUT_LOG_TEXT: [&str; 3] = ["counters.rs", "protocol", "cli.rs"];
/// Minimum length in bytes of a compared part of a line; shorter parts could match almost any literal.
const MIN_PART_LENGTH: usize = 3;
/// Beginnings of the log lines that the code composes from several literals (levels, reasons, states, errors).
/// Every other line has to come from a single literal.
const COMPOSED_LINE_PREFIXES: [&str; 13] = [
    "announce ",
    "bgp ",
    "router ",
    "cluster",
    "majority",
    "recovery",
    "cleatgw: ",
    "engine ",
    "connection to ",
    "the configuration is",
    "the service file is",
    "the teams file is",
    "a routing peer's session",
];
/// Maximum number of literals from which one part of a composed line may be assembled.
const MAX_PHRASES: usize = 4;

/// The texts that the code may write: its string literals, split at their format arguments, and its identifiers.
struct SourceTexts {
    literals: BTreeSet<Vec<String>>,
    identifiers: BTreeSet<String>,
}

impl SourceTexts {
    /// Reads all source files except those with an excluded file or folder name in their path.
    fn read(excluded_names: &[&str]) -> SourceTexts {
        let mut texts = SourceTexts { literals: BTreeSet::new(), identifiers: BTreeSet::new() };
        for file in source_files() {
            let mut names = file.components().map(|name| name.as_os_str().to_string_lossy());
            if !names.any(|name| excluded_names.contains(&&*name)) {
                texts.add(&fs::read_to_string(file).expect("the source file is readable"));
            }
        }
        texts
    }

    fn add(&mut self, source: &str) {
        for (index, part) in split_code_and_literals(source).into_iter().enumerate() {
            if index % 2 == 1 {
                self.literals.insert(split_at_arguments(&part));
            } else {
                let is_separator = |c: char| !c.is_alphanumeric() && c != '_';
                self.identifiers.extend(part.split(is_separator).map(str::to_string));
            }
        }
    }

    /// Whether one piece of a literal contains the part.
    fn writes(&self, part: &str) -> bool {
        self.literals.iter().flatten().any(|piece| piece.contains(part))
    }

    /// Whether a single literal contains all of these parts in this order.
    fn writes_in_order(&self, parts: &[String]) -> bool {
        self.literals.iter().any(|literal| {
            let mut pieces = literal.iter().peekable();
            parts.iter().all(|part| {
                while pieces.next_if(|piece| !piece.contains(part.as_str())).is_some() {}
                pieces.peek().is_some()
            })
        })
    }

    /// Whether a literal contains the phrase, or the phrase is the name of an enum variant that may be printed.
    fn has_phrase(&self, phrase: &str) -> bool {
        let is_variant = phrase.starts_with(char::is_uppercase) && self.identifiers.contains(phrase);
        is_variant || self.writes(phrase)
    }

    /// Whether the part can be composed from at most [`MAX_PHRASES`] literals, each of which contains a phrase of it.
    fn composes(&self, part: &str) -> bool {
        let segments = part.split([':', ',', ';']).map(str::trim);
        segments.filter(|segment| segment.len() >= MIN_PART_LENGTH).all(|segment| {
            let words: Vec<&str> = segment.split(' ').collect();
            self.phrase_count(&words).is_some_and(|count| count <= MAX_PHRASES)
        })
    }

    /// The number of phrases that the words split into when each phrase, from left to right, is as long as possible.
    /// `None` if a word occurs in no literal.
    fn phrase_count(&self, words: &[&str]) -> Option<usize> {
        if words.is_empty() {
            return Some(0);
        }
        let longest = (1..=words.len()).rev().find(|&length| self.has_phrase(&words[..length].join(" ")))?;
        self.phrase_count(&words[longest..]).map(|rest| rest + 1)
    }
}

/// The router's Rust source files, without unit test files.
fn source_files() -> Vec<PathBuf> {
    let root = Path::new(ROOT);
    let mut folders = vec![root.join("src")];
    for entry in fs::read_dir(root.join("crates")).expect("the crates folder is readable") {
        let entry = entry.expect("the folder entry is readable");
        let name = entry.file_name().to_string_lossy().into_owned();
        if !NON_ROUTER_CRATES.contains(&name.as_str()) {
            folders.push(entry.path().join("src"));
        }
    }
    let mut files = Vec::new();
    while let Some(folder) = folders.pop() {
        for entry in fs::read_dir(folder).expect("the folder is readable") {
            let path = entry.expect("the folder entry is readable").path();
            let name = path.file_name().unwrap_or_default().to_string_lossy().into_owned();
            if path.is_dir() {
                folders.push(path);
            } else if name.ends_with(".rs") && !name.ends_with("tests.rs") {
                files.push(path);
            }
        }
    }
    files
}

/// Splits a source text into code and string literals, which alternate and begin with code. Comments are removed.
fn split_code_and_literals(source: &str) -> Vec<String> {
    let code: Vec<&str> = source.lines().map(|line| line.split("//").next().unwrap_or("")).collect();
    let code = code.join("\n").replace("'\"'", "").replace("b'\"'", "");
    let mut parts = vec![String::new()];
    let mut characters = code.chars();
    while let Some(character) = characters.next() {
        match character {
            '"' => parts.push(String::new()),
            '\\' => {
                let escaped = characters.next();
                parts.last_mut().expect("the list starts with one part").extend(escaped);
            }
            other => parts.last_mut().expect("the list starts with one part").push(other),
        }
    }
    parts
}

/// The trimmed parts of a format string between its arguments, without parts shorter than [`MIN_PART_LENGTH`].
fn split_at_arguments(literal: &str) -> Vec<String> {
    let pieces = literal.split('{').map(|piece| piece.split_once('}').map_or(piece, |(_, rest)| rest));
    pieces.map(|piece| piece.trim().to_string()).filter(|piece| piece.len() >= MIN_PART_LENGTH).collect()
}

/// The code spans in the first column of every table whose first heading begins with one of the given words.
fn table_code_spans(page: &str, headings: &[&str]) -> Vec<String> {
    let mut spans = Vec::new();
    let mut is_selected_table = false;
    let lines: Vec<&str> = page.lines().collect();
    for (index, line) in lines.iter().enumerate() {
        let Some(row) = line.strip_prefix('|') else { continue };
        let first_cell = row.split(" | ").next().unwrap_or("");
        let is_heading = lines.get(index + 1).is_some_and(|next| next.starts_with("| ---"));
        if is_heading {
            is_selected_table = headings.iter().any(|heading| first_cell.trim().starts_with(heading));
        } else if is_selected_table {
            spans.extend(first_cell.split('`').skip(1).step_by(2).map(str::to_string));
        }
    }
    spans
}

/// The literal parts of a line as the page quotes it, without placeholders (`N`, `WHY`, `…`) and key-value pairs
/// (`peer=…`).
fn literal_parts(span: &str) -> Vec<String> {
    let mut parts = vec![String::new()];
    for word in span.split(' ') {
        let bare = word.trim_matches(|c: char| !c.is_alphanumeric());
        let is_placeholder = bare.chars().all(|c| c.is_ascii_uppercase() || c.is_numeric() || c == '_');
        if is_placeholder || word.contains('…') || word.contains('=') {
            parts.push(String::new());
        } else {
            let part = parts.last_mut().expect("the list starts with one part");
            part.push_str(word);
            part.push(' ');
        }
    }
    let trimmed = parts.iter().map(|part| part.trim().trim_matches([':', ',', ';']).to_string());
    trimmed.filter(|part| part.len() >= MIN_PART_LENGTH).collect()
}

/// The quoted lines of the page that the code does not write.
fn unwritten_lines(page: &str, texts: &SourceTexts) -> Vec<String> {
    let mut spans = table_code_spans(page, &["line"]);
    spans.retain(|span| {
        let parts = literal_parts(span);
        let is_counter = span.chars().all(|c| c.is_ascii_lowercase() || c == '_') && span.contains('_');
        let is_composed = COMPOSED_LINE_PREFIXES.iter().any(|prefix| span.starts_with(prefix))
            && parts.iter().all(|part| texts.writes(part) || texts.composes(part));
        !is_counter && !is_composed && !texts.writes_in_order(&parts)
    });
    spans
}

fn read_page() -> String {
    fs::read_to_string(Path::new(ROOT).join("docs/on-call.md")).expect("docs/on-call.md is readable")
}

#[test]
fn log_lines_that_the_on_call_page_names_are_written_by_the_code() {
    let page = read_page();
    let texts = SourceTexts::read(&PATHS_WITHOUT_LOG_TEXT);
    assert!(table_code_spans(&page, &["line"]).len() > 50, "too few quoted entries found in the tables");
    assert_eq!(unwritten_lines(&page, &texts), Vec::<String>::new());
}

#[test]
fn counters_that_the_on_call_page_names_exist() {
    let texts = SourceTexts::read(&[]);
    let spans = table_code_spans(&read_page(), &["counter", "line or counter"]);
    let is_counter = |span: &&String| span.chars().all(|c| c.is_ascii_lowercase() || c == '_');
    let counters: Vec<&String> = spans.iter().filter(is_counter).collect();
    assert!(counters.len() > 40, "too few quoted entries found in the tables");
    for counter in counters {
        assert!(
            texts.writes(counter) || texts.identifiers.contains(counter),
            "counter {counter} is not in the code"
        );
    }
}

/// Guards against a check that accepts every line: lines that differ from written ones, whose words partly occur
/// elsewhere in the code, have to be reported as unwritten.
#[test]
fn lines_that_no_code_writes_are_reported() {
    let texts = SourceTexts::read(&PATHS_WITHOUT_LOG_TEXT);
    let unwritten_in_table = |line: &str| {
        unwritten_lines(&format!("| line | it means |\n| --- | --- |\n| `{line}` | |\n"), &texts)
    };
    assert!(unwritten_in_table("engine N ejected: G of W attempts good").is_empty());
    for line in [
        "engine N has gone mouldy: G of W",
        "engine N doubted: G of W attempts good",
        "connection to ADDRESS: no answer to a ping, with N pushes",
        "SIGTERM: stopping, N jobs open",
        "coming back: N further pushes and M receipts from before the restart still count",
        "duty D is ours, epoch E",
        "a push that is not legal was not made",
        "turning back: N held",
        "notice board lost: WHY; keeping the engine list of event N",
    ] {
        assert!(!unwritten_in_table(line).is_empty(), "not reported as unwritten: {line}");
    }
}

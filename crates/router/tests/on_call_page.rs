//! The log lines and counters that `docs/on-call.md` names are ones that the code writes.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

const ROOT: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../..");
/// Crates whose code does not run in the router.
const NOT_IN_THE_ROUTER: [&str; 2] = ["testbed", "simulator-adapter"];
/// Files whose literals are no log text: names of counters, what crosses to others, options.
const NO_LOG_TEXT: [&str; 3] = ["counters.rs", "protocol", "cli.rs"];
/// Parts of a line that are shorter than this could stand anywhere.
const MIN_PART: usize = 3;
/// How lines begin that are put together from several literals (levels, reasons, states, errors); all others are one.
const PUT_TOGETHER: [&str; 13] = [
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
/// A part of such a line is put together from no more literals than these.
const MAX_PHRASES: usize = 4;

/// The texts that the code may write: its string literals, cut at their arguments, and its identifiers.
struct SourceTexts {
    literals: BTreeSet<Vec<String>>,
    identifiers: BTreeSet<String>,
}

impl SourceTexts {
    /// Of all files but those under the names that are left out.
    fn read(left_out: &[&str]) -> SourceTexts {
        let mut texts = SourceTexts { literals: BTreeSet::new(), identifiers: BTreeSet::new() };
        for file in source_files() {
            let mut names = file.components().map(|name| name.as_os_str().to_string_lossy());
            if !names.any(|name| left_out.contains(&&*name)) {
                texts.add(&fs::read_to_string(file).expect("it can be read"));
            }
        }
        texts
    }

    fn add(&mut self, source: &str) {
        for (index, part) in split_at_quotes(source).into_iter().enumerate() {
            if index % 2 == 1 {
                self.literals.insert(cut_at_arguments(&part));
            } else {
                let is_separator = |c: char| !c.is_alphanumeric() && c != '_';
                self.identifiers.extend(part.split(is_separator).map(str::to_string));
            }
        }
    }

    fn writes(&self, part: &str) -> bool {
        self.literals.iter().flatten().any(|piece| piece.contains(part))
    }

    /// One literal holds these parts, in their order.
    fn writes_in_order(&self, parts: &[String]) -> bool {
        self.literals.iter().any(|literal| {
            let mut pieces = literal.iter().peekable();
            parts.iter().all(|part| {
                while pieces.next_if(|piece| !piece.contains(part.as_str())).is_some() {}
                pieces.peek().is_some()
            })
        })
    }

    /// It stands in a literal, or is the name of a variant that is printed.
    fn has_phrase(&self, phrase: &str) -> bool {
        let is_variant = phrase.starts_with(char::is_uppercase) && self.identifiers.contains(phrase);
        is_variant || self.writes(phrase)
    }

    /// A part that is put together from a few literals, each of which holds a phrase of it.
    fn puts_together(&self, part: &str) -> bool {
        let segments = part.split([':', ',', ';']).map(str::trim);
        segments.filter(|segment| segment.len() >= MIN_PART).all(|segment| {
            let words: Vec<&str> = segment.split(' ').collect();
            self.phrases(&words).is_some_and(|phrases| phrases <= MAX_PHRASES)
        })
    }

    /// How many phrases the words are, each as long as it can be; none where one of them stands nowhere.
    fn phrases(&self, words: &[&str]) -> Option<usize> {
        if words.is_empty() {
            return Some(0);
        }
        let longest = (1..=words.len()).rev().find(|&length| self.has_phrase(&words[..length].join(" ")))?;
        self.phrases(&words[longest..]).map(|rest| rest + 1)
    }
}

fn source_files() -> Vec<PathBuf> {
    let root = Path::new(ROOT);
    let mut folders = vec![root.join("src")];
    for entry in fs::read_dir(root.join("crates")).expect("there are crates") {
        let entry = entry.expect("it can be listed");
        let name = entry.file_name().to_string_lossy().into_owned();
        if !NOT_IN_THE_ROUTER.contains(&name.as_str()) {
            folders.push(entry.path().join("src"));
        }
    }
    let mut files = Vec::new();
    while let Some(folder) = folders.pop() {
        for entry in fs::read_dir(folder).expect("it is a folder") {
            let path = entry.expect("it can be listed").path();
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

/// The code and the string literals of a source, in turn; comments count as neither.
fn split_at_quotes(source: &str) -> Vec<String> {
    let code: Vec<&str> = source.lines().map(|line| line.split("//").next().unwrap_or("")).collect();
    let code = code.join("\n").replace("'\"'", "").replace("b'\"'", "");
    let mut parts = vec![String::new()];
    let mut characters = code.chars();
    while let Some(character) = characters.next() {
        match character {
            '"' => parts.push(String::new()),
            '\\' => {
                let escaped = characters.next();
                parts.last_mut().expect("there is one").extend(escaped);
            }
            other => parts.last_mut().expect("there is one").push(other),
        }
    }
    parts
}

/// The parts of a format string between its arguments.
fn cut_at_arguments(literal: &str) -> Vec<String> {
    let pieces = literal.split('{').map(|piece| piece.split_once('}').map_or(piece, |(_, rest)| rest));
    pieces.map(|piece| piece.trim().to_string()).filter(|piece| piece.len() >= MIN_PART).collect()
}

/// The spans of code in the first cells of tables whose head begins with one of these words.
fn spans_of_tables(page: &str, heads: &[&str]) -> Vec<String> {
    let mut spans = Vec::new();
    let mut is_wanted = false;
    let lines: Vec<&str> = page.lines().collect();
    for (index, line) in lines.iter().enumerate() {
        let Some(row) = line.strip_prefix('|') else { continue };
        let first = row.split(" | ").next().unwrap_or("");
        let is_head = lines.get(index + 1).is_some_and(|next| next.starts_with("| ---"));
        if is_head {
            is_wanted = heads.iter().any(|head| first.trim().starts_with(head));
        } else if is_wanted {
            spans.extend(first.split('`').skip(1).step_by(2).map(str::to_string));
        }
    }
    spans
}

/// The literal parts of a line as the page writes it: without placeholders (`N`, `WHY`, `…`) and pairs (`peer=…`).
fn literal_parts(span: &str) -> Vec<String> {
    let mut parts = vec![String::new()];
    for word in span.split(' ') {
        let bare = word.trim_matches(|c: char| !c.is_alphanumeric());
        let is_placeholder = bare.chars().all(|c| c.is_ascii_uppercase() || c.is_numeric() || c == '_');
        if is_placeholder || word.contains('…') || word.contains('=') {
            parts.push(String::new());
        } else {
            let part = parts.last_mut().expect("there is one");
            part.push_str(word);
            part.push(' ');
        }
    }
    let trimmed = parts.iter().map(|part| part.trim().trim_matches([':', ',', ';']).to_string());
    trimmed.filter(|part| part.len() >= MIN_PART).collect()
}

/// The lines of the page that no code writes.
fn unwritten(page: &str, texts: &SourceTexts) -> Vec<String> {
    let mut spans = spans_of_tables(page, &["line"]);
    spans.retain(|span| {
        let parts = literal_parts(span);
        let is_counter = span.chars().all(|c| c.is_ascii_lowercase() || c == '_') && span.contains('_');
        let is_put_together = PUT_TOGETHER.iter().any(|beginning| span.starts_with(beginning))
            && parts.iter().all(|part| texts.writes(part) || texts.puts_together(part));
        !is_counter && !is_put_together && !texts.writes_in_order(&parts)
    });
    spans
}

fn page() -> String {
    fs::read_to_string(Path::new(ROOT).join("docs/on-call.md")).expect("the page is there")
}

#[test]
fn log_lines_that_the_on_call_page_names_are_written_by_the_code() {
    let page = page();
    let texts = SourceTexts::read(&NO_LOG_TEXT);
    assert!(spans_of_tables(&page, &["line"]).len() > 50, "the tables are found");
    assert_eq!(unwritten(&page, &texts), Vec::<String>::new());
}

#[test]
fn counters_that_the_on_call_page_names_exist() {
    let texts = SourceTexts::read(&[]);
    let spans = spans_of_tables(&page(), &["counter", "line or counter"]);
    let is_counter = |span: &&String| span.chars().all(|c| c.is_ascii_lowercase() || c == '_');
    let counters: Vec<&String> = spans.iter().filter(is_counter).collect();
    assert!(counters.len() > 40, "the tables are found");
    for counter in counters {
        assert!(texts.writes(counter) || texts.identifiers.contains(counter), "{counter}");
    }
}

/// What is put in to see that it is found: lines of former versions, whose words still stand elsewhere in the code, and one that
/// never was.
#[test]
fn lines_that_no_code_writes_are_found() {
    let texts = SourceTexts::read(&NO_LOG_TEXT);
    let unwritten_of =
        |line: &str| unwritten(&format!("| line | it means |\n| --- | --- |\n| `{line}` | |\n"), &texts);
    assert!(unwritten_of("engine N ejected: G of W attempts good").is_empty());
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
        assert!(!unwritten_of(line).is_empty(), "{line}");
    }
}

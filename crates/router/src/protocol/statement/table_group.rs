//! The table group that a statement reads or writes, by the schemas that stand where tables do.

use super::tokens::{tokens, Token};
use std::collections::HashSet;

/// A schema that has no group of its own.
const STAGING: &str = "staging";
/// Behind these, tables are listed.
const BEFORE_TABLES: [&str; 5] = ["FROM", "JOIN", "INTO", "UPDATE", "TABLE"];
/// Behind these, a table may stand.
const BEFORE_A_TABLE: [&str; 9] =
    ["FROM", "JOIN", "INTO", "UPDATE", "TABLE", "STRAIGHT_JOIN", "IGNORE", "LOW_PRIORITY", "ONLY"];
/// These end a list of tables.
const BEHIND_TABLES: [&str; 11] =
    ["WHERE", "GROUP", "ORDER", "HAVING", "LIMIT", "SET", "VALUES", "UNION", "SELECT", "ON", "USING"];
/// These begin a query.
const QUERIES: [&str; 2] = ["SELECT", "WITH"];

/// The group of tables in a schema's name: the number behind its last underscore.
fn group_of(schema: &str) -> Option<u64> {
    let (name, digits) = schema.rsplit_once('_')?;
    let digital = !name.is_empty() && digits.bytes().all(|byte| byte.is_ascii_digit());
    digits.parse().ok().filter(|_| digital)
}

/// The table group of a statement: that of the first table that has one, or else of the first qualified name that is no
/// alias.
pub fn table_group(statement: &[u8]) -> Option<u64> {
    let tokens = tokens(statement);
    let mut scanner = Scanner::new(&tokens);
    for index in 0..tokens.len() {
        scanner.scan(index);
    }
    scanner.group_of_tables().or_else(|| scanner.group_of_names())
}

/// What stands in an open parenthesis.
#[derive(Clone, Copy)]
struct Scope {
    /// It holds a query.
    is_query: bool,
    /// Tables are listed there just now.
    lists_tables: bool,
}

/// Goes over the tokens of a statement once.
struct Scanner<'a> {
    tokens: &'a [Token<'a>],
    /// The innermost open parenthesis last; the statement itself first.
    scopes: Vec<Scope>,
    /// Where qualified names stand as tables.
    tables: Vec<usize>,
    /// Where qualified names stand at all.
    names: Vec<usize>,
    aliases: HashSet<&'a str>,
}

impl<'a> Scanner<'a> {
    fn new(tokens: &'a [Token<'a>]) -> Scanner<'a> {
        let statement = Scope { is_query: true, lists_tables: false };
        Scanner {
            tokens,
            scopes: vec![statement],
            tables: Vec::new(),
            names: Vec::new(),
            aliases: HashSet::new(),
        }
    }

    fn scan(&mut self, index: usize) {
        match &self.tokens[index] {
            Token::Sign(b'(') => self.open_parenthesis(index),
            Token::Sign(b')') if self.scopes.len() > 1 => drop(self.scopes.pop()),
            _ => self.scan_token(index),
        }
        if self.qualified_schema(index).is_some() {
            self.names.push(index);
        }
    }

    fn open_parenthesis(&mut self, index: usize) {
        let lists_tables = self.scope().lists_tables;
        let next = self.tokens.get(index + 1);
        let is_query = next.is_some_and(|token| token.is_one_of(&QUERIES));
        let is_table = index > 0 && is_place_of_table(&self.tokens[index - 1], lists_tables);
        let scope = Scope { is_query: is_query || is_table, lists_tables: is_table && !is_query };
        self.scopes.push(scope);
        if scope.lists_tables && self.qualified_schema(index + 1).is_some() {
            self.tables.push(index + 1);
        }
    }

    fn scan_token(&mut self, index: usize) {
        let token = &self.tokens[index];
        let mut scope = self.scope();
        if scope.is_query && token.is_one_of(&BEFORE_TABLES) {
            scope.lists_tables = true;
        } else if token.is_one_of(&BEHIND_TABLES) {
            scope.lists_tables = false;
        }
        if let Some(innermost) = self.scopes.last_mut() {
            *innermost = scope;
        }
        let is_place = is_place_of_table(token, scope.lists_tables);
        if is_place && scope.is_query && self.qualified_schema(index + 1).is_some() {
            self.tables.push(index + 1);
            self.aliases.extend(self.alias_behind(index + 4));
        }
    }

    fn scope(&self) -> Scope {
        self.scopes.last().copied().unwrap_or(Scope { is_query: true, lists_tables: false })
    }

    /// The alias of a table, where one may stand at this index.
    fn alias_behind(&self, index: usize) -> Option<&'a str> {
        let has_keyword = self.tokens.get(index).is_some_and(|token| token.is("AS"));
        let alias = if has_keyword { index + 1 } else { index };
        self.tokens.get(alias).and_then(Token::name)
    }

    fn has_sign(&self, index: usize, sign: u8) -> bool {
        self.tokens.get(index) == Some(&Token::Sign(sign))
    }

    /// The schema of a qualified name that begins at this index.
    fn qualified_schema(&self, index: usize) -> Option<&'a str> {
        let schema = self.tokens.get(index)?.name()?;
        if !self.has_sign(index + 1, b'.') || (index > 0 && self.has_sign(index - 1, b'.')) {
            return None;
        }
        self.tokens.get(index + 2)?.name().map(|_| schema)
    }

    fn schema_with_group(&self, index: usize) -> Option<&'a str> {
        self.qualified_schema(index).filter(|schema| !schema.eq_ignore_ascii_case(STAGING))
    }

    fn group_of_tables(&self) -> Option<u64> {
        let mut schemas = self.tables.iter().filter_map(|&index| self.schema_with_group(index));
        schemas.find_map(group_of)
    }

    fn group_of_names(&self) -> Option<u64> {
        let schemas = self.names.iter().filter_map(|&index| self.schema_with_group(index));
        schemas.filter(|schema| !self.aliases.contains(schema)).find_map(group_of)
    }
}

/// Whether a table may stand behind this token.
fn is_place_of_table(token: &Token, lists_tables: bool) -> bool {
    let is_place = token.is_one_of(&BEFORE_A_TABLE) || matches!(token, Token::Sign(b',' | b'('));
    lists_tables && is_place
}

//! Finds the table group that a statement reads or writes, from the schemas of the tables it names.

use super::tokens::{tokens, Token};
use std::collections::HashSet;

/// A schema that belongs to no table group.
const STAGING: &str = "staging";
/// Keywords that begin a list of tables.
const BEFORE_TABLES: [&str; 5] = ["FROM", "JOIN", "INTO", "UPDATE", "TABLE"];
/// Keywords that a table may directly follow.
const BEFORE_A_TABLE: [&str; 9] =
    ["FROM", "JOIN", "INTO", "UPDATE", "TABLE", "STRAIGHT_JOIN", "IGNORE", "LOW_PRIORITY", "ONLY"];
/// Keywords that end a list of tables.
const AFTER_TABLES: [&str; 11] =
    ["WHERE", "GROUP", "ORDER", "HAVING", "LIMIT", "SET", "VALUES", "UNION", "SELECT", "ON", "USING"];
/// Keywords that begin a query.
const QUERY_KEYWORDS: [&str; 2] = ["SELECT", "WITH"];

/// The table group of a schema: the number after the last underscore of its name.
fn group_of(schema: &str) -> Option<u64> {
    let (name, digits) = schema.rsplit_once('_')?;
    let is_number = !name.is_empty() && digits.bytes().all(|byte| byte.is_ascii_digit());
    digits.parse().ok().filter(|_| is_number)
}

/// The table group of a statement: that of the first table that has one, or else that of the first qualified name whose schema
/// part is not a table alias.
pub fn table_group(statement: &[u8]) -> Option<u64> {
    let tokens = tokens(statement);
    let mut scanner = Scanner::new(&tokens);
    for index in 0..tokens.len() {
        scanner.scan(index);
    }
    scanner.group_of_tables().or_else(|| scanner.group_of_names())
}

/// The state inside an open parenthesis, or of the statement outside of all parentheses.
#[derive(Clone, Copy)]
struct Scope {
    /// Whether it is a query or a parenthesised list of tables, in which keywords such as FROM begin a list of tables. False for
    /// function arguments, as in `EXTRACT(DAY FROM x)`.
    can_list_tables: bool,
    /// Whether the scan is within a list of tables.
    lists_tables: bool,
}

/// Scans the tokens of a statement once and notes where tables and other qualified names are.
struct Scanner<'a> {
    tokens: &'a [Token<'a>],
    /// One per open parenthesis, the innermost last. The first is the statement itself.
    scopes: Vec<Scope>,
    /// Token indices of qualified names in the place of a table.
    tables: Vec<usize>,
    /// Token indices of all qualified names.
    names: Vec<usize>,
    aliases: HashSet<&'a str>,
}

impl<'a> Scanner<'a> {
    fn new(tokens: &'a [Token<'a>]) -> Scanner<'a> {
        let statement = Scope { can_list_tables: true, lists_tables: false };
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
        let is_query = next.is_some_and(|token| token.is_one_of(&QUERY_KEYWORDS));
        let is_table = index > 0 && is_place_of_table(&self.tokens[index - 1], lists_tables);
        let scope = Scope { can_list_tables: is_query || is_table, lists_tables: is_table && !is_query };
        self.scopes.push(scope);
        if scope.lists_tables && self.qualified_schema(index + 1).is_some() {
            self.tables.push(index + 1);
        }
    }

    fn scan_token(&mut self, index: usize) {
        let token = &self.tokens[index];
        let mut scope = self.scope();
        if scope.can_list_tables && token.is_one_of(&BEFORE_TABLES) {
            scope.lists_tables = true;
        } else if token.is_one_of(&AFTER_TABLES) {
            scope.lists_tables = false;
        }
        if let Some(innermost) = self.scopes.last_mut() {
            *innermost = scope;
        }
        let is_place = is_place_of_table(token, scope.lists_tables);
        if is_place && scope.can_list_tables && self.qualified_schema(index + 1).is_some() {
            self.tables.push(index + 1);
            // The qualified name has three tokens: the schema, the dot and the table.
            self.aliases.extend(self.alias_at(index + 4));
        }
    }

    fn scope(&self) -> Scope {
        self.scopes.last().copied().unwrap_or(Scope { can_list_tables: true, lists_tables: false })
    }

    /// The word at this index, or the one after AS: the table's alias, if it has one. A keyword there is returned too, which does
    /// no harm, since it is not the schema of a qualified name.
    fn alias_at(&self, index: usize) -> Option<&'a str> {
        let has_keyword = self.tokens.get(index).is_some_and(|token| token.is("AS"));
        let alias_index = if has_keyword { index + 1 } else { index };
        self.tokens.get(alias_index).and_then(Token::name)
    }

    fn has_sign(&self, index: usize, sign: u8) -> bool {
        self.tokens.get(index) == Some(&Token::Sign(sign))
    }

    /// The schema of the qualified name that begins at this index, if one does.
    fn qualified_schema(&self, index: usize) -> Option<&'a str> {
        let schema = self.tokens.get(index)?.name()?;
        if !self.has_sign(index + 1, b'.') || (index > 0 && self.has_sign(index - 1, b'.')) {
            return None;
        }
        self.tokens.get(index + 2)?.name().map(|_| schema)
    }

    /// The schema of the qualified name at this index. None also for the staging schema, which belongs to no group.
    fn schema_except_staging(&self, index: usize) -> Option<&'a str> {
        self.qualified_schema(index).filter(|schema| !schema.eq_ignore_ascii_case(STAGING))
    }

    /// The group of the first table that has one.
    fn group_of_tables(&self) -> Option<u64> {
        let mut schemas = self.tables.iter().filter_map(|&index| self.schema_except_staging(index));
        schemas.find_map(group_of)
    }

    /// The group of the first qualified name that has one and whose schema part is not an alias.
    fn group_of_names(&self) -> Option<u64> {
        let schemas = self.names.iter().filter_map(|&index| self.schema_except_staging(index));
        schemas.filter(|schema| !self.aliases.contains(schema)).find_map(group_of)
    }
}

/// Whether a table may directly follow this token.
fn is_place_of_table(token: &Token, lists_tables: bool) -> bool {
    let is_place = token.is_one_of(&BEFORE_A_TABLE) || matches!(token, Token::Sign(b',' | b'('));
    lists_tables && is_place
}

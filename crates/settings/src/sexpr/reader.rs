//! The reader of one text.

use super::syntax::{find_limit_violation, parse_forms};
use super::{Block, Diagnostic, Node, Problem};
use std::cell::RefCell;

/// A text that is being read, and the problems found in it so far.
pub struct Reader<'a> {
    file: &'a str,
    text: &'a str,
    diagnostics: RefCell<Vec<Diagnostic>>,
}

impl<'a> Reader<'a> {
    /// Creates a reader of `text`; `file` is its name in diagnostics.
    pub fn new(file: &'a str, text: &'a str) -> Reader<'a> {
        Reader { file, text, diagnostics: RefCell::default() }
    }

    /// Reports a problem at a byte offset.
    pub fn report(&self, position: usize, key: &str, problem: impl Into<Problem>) {
        let (line, column) = line_and_column(self.text, position);
        let (file, key, problem) = (self.file.to_owned(), key.to_owned(), problem.into());
        self.diagnostics.borrow_mut().push(Diagnostic { file, line, column, key, problem });
    }

    /// Returns all problems, sorted by position.
    pub fn into_diagnostics(self) -> Vec<Diagnostic> {
        let mut diagnostics = self.diagnostics.into_inner();
        diagnostics.sort_by_key(|diagnostic| (diagnostic.line, diagnostic.column));
        diagnostics
    }

    /// Parses the text into expressions, up to the first syntax error, which is reported.
    pub fn parse(&self) -> Vec<Node> {
        if let Some(position) = find_limit_violation(self.text) {
            self.report(position, "", Problem::TooLarge);
            return Vec::new();
        }
        let (forms, failure) = parse_forms(self.text);
        if let Some((position, problem)) = failure {
            self.report(position, "", problem);
        }
        forms
    }

    /// Returns the top-level expressions as a block.
    pub fn top_level<'r>(&'r self, forms: &'r [Node]) -> Block<'r> {
        Block::new(self, String::new(), 0, forms)
    }
}

/// Returns the line and column of a byte offset, both from 1; columns count characters.
fn line_and_column(text: &str, position: usize) -> (usize, usize) {
    let mut position = position.min(text.len());
    while !text.is_char_boundary(position) {
        position -= 1;
    }
    let before = &text[..position];
    let line = before.matches('\n').count() + 1;
    let column = before.rsplit('\n').next().unwrap_or("").chars().count() + 1;
    (line, column)
}

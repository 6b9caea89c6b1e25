//! A text that is being read, and the problems found in it so far.

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
    /// Begins to read `text`; `file` is the name by which problems refer to it.
    pub fn new(file: &'a str, text: &'a str) -> Reader<'a> {
        Reader { file, text, diagnostics: RefCell::default() }
    }

    /// Adds a problem at a byte of the text.
    pub fn report(&self, position: usize, key: &str, problem: impl Into<Problem>) {
        let (line, column) = line_and_column(self.text, position);
        let (file, key, problem) = (self.file.to_owned(), key.to_owned(), problem.into());
        self.diagnostics.borrow_mut().push(Diagnostic { file, line, column, key, problem });
    }

    /// All problems that were found, in the order of the text.
    pub fn into_diagnostics(self) -> Vec<Diagnostic> {
        let mut diagnostics = self.diagnostics.into_inner();
        diagnostics.sort_by_key(|diagnostic| (diagnostic.line, diagnostic.column));
        diagnostics
    }

    /// Parses the text into its expressions. Whatever follows one that can't be parsed is left out.
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

    /// The expressions of the text as one block of keys.
    pub fn top_level<'r>(&'r self, forms: &'r [Node]) -> Block<'r> {
        Block::new(self, String::new(), 0, forms)
    }
}

/// Line and column of a byte, both from 1; columns count characters.
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

//! Typed access to lists of `(key value ...)` entries.

use super::quantity::{format_quantity, parse_quantity, Unit, BYTES, DURATION, UNITLESS};
use super::spelling::edit_distance;
use super::{Form, Node, Problem, Reader};
use std::cell::{Cell, RefCell};
use std::ops::RangeInclusive;

/// Largest edit distance at which an unknown key is reported as a misspelling of a known one.
const MISSPELLING_DISTANCE: usize = 2;

/// One entry of a block.
struct Entry<'r> {
    key: &'r str,
    /// Byte offset of the entry.
    position: usize,
    /// The expressions after the key.
    values: &'r [Node],
    requested: Cell<bool>,
}

/// A list of `(key value ...)` entries. Each value is validated when it is read; keys that were not read before
/// [`Block::finish`] are reported as unknown. Problems are reported to the [`Reader`].
///
/// Functions with a default return it if the key is absent and also if its value is invalid: the caller must discard the
/// result if the reader has diagnostics.
pub struct Block<'r> {
    reader: &'r Reader<'r>,
    path: String,
    position: usize,
    entries: Vec<Entry<'r>>,
    /// Keys that were read, listed or suggested when an unknown key is reported.
    requested_keys: RefCell<Vec<&'static str>>,
}

impl<'r> Block<'r> {
    pub(super) fn new(reader: &'r Reader<'r>, path: String, position: usize, forms: &'r [Node]) -> Block<'r> {
        let mut entries = Vec::new();
        for node in forms {
            match Entry::parse(node) {
                Some(entry) => entries.push(entry),
                None => reader.report(node.span.start, &path, Problem::NotAnEntry),
            }
        }
        Block { reader, path, position, entries, requested_keys: RefCell::default() }
    }

    fn key_path(&self, key: &str) -> String {
        if self.path.is_empty() {
            key.into()
        } else {
            format!("{}.{key}", self.path)
        }
    }

    /// Reports a problem at the position of a key, or of the block if the key is absent.
    pub fn report(&self, key: &str, problem: impl Into<Problem>) {
        let entry = self.entries.iter().find(|entry| entry.key == key);
        let position = entry.map_or(self.position, |entry| entry.position);
        self.reader.report(position, &self.key_path(key), problem);
    }

    /// Returns whether the key is present.
    pub fn has(&self, key: &str) -> bool {
        self.entries.iter().any(|entry| entry.key == key)
    }

    /// Reports the key as missing if it is absent.
    pub fn require(&self, key: &str) {
        if !self.has(key) {
            self.report(key, Problem::Missing);
        }
    }

    /// Returns all entries of a key that may be repeated.
    fn entries(&self, key: &'static str) -> Vec<&Entry<'r>> {
        self.requested_keys.borrow_mut().push(key);
        let found: Vec<&Entry> = self.entries.iter().filter(|entry| entry.key == key).collect();
        found.iter().for_each(|entry| entry.requested.set(true));
        found
    }

    /// Returns the entry of a key, and reports its repetitions.
    fn entry(&self, key: &'static str) -> Option<&Entry<'r>> {
        let found = self.entries(key);
        for duplicate in found.iter().skip(1) {
            self.reader.report(duplicate.position, &self.key_path(key), Problem::Duplicate);
        }
        found.first().copied()
    }

    /// Returns the single value of a key, converted by `read`; `expected` describes the values that `read` accepts.
    fn value<T>(&self, key: &'static str, expected: &str, read: impl Fn(&Form) -> Option<T>) -> Option<T> {
        let entry = self.entry(key)?;
        let value = match entry.values {
            [value] => read(&value.form),
            _ => None,
        };
        if value.is_none() {
            let position = entry.values.first().map_or(entry.position, |node| node.span.start);
            self.reader.report(position, &self.key_path(key), Problem::Expected(expected.to_owned()));
        }
        value
    }

    fn child(&self, key: &str, entry: &Entry<'r>) -> Block<'r> {
        Block::new(self.reader, self.key_path(key), entry.position, entry.values)
    }

    /// Returns the nested block of a key.
    pub fn block(&self, key: &'static str) -> Option<Block<'r>> {
        self.entry(key).map(|entry| self.child(key, entry))
    }

    /// Returns the nested blocks of a key that may be repeated.
    pub fn blocks(&self, key: &'static str) -> Vec<Block<'r>> {
        self.entries(key).into_iter().map(|entry| self.child(key, entry)).collect()
    }

    /// Returns a quoted text that is not empty.
    pub fn text(&self, key: &'static str) -> Option<String> {
        self.value(key, "text in quotes", |form| non_empty_text(form).map(str::to_owned))
    }

    /// Returns the quoted texts of a key; none of them may be empty.
    pub fn texts(&self, key: &'static str) -> Vec<String> {
        let Some(entry) = self.entry(key) else { return Vec::new() };
        let mut texts = Vec::new();
        for node in entry.values {
            match non_empty_text(&node.form) {
                Some(text) => texts.push(text.to_owned()),
                None => {
                    let problem = Problem::Expected("text in quotes".into());
                    self.reader.report(node.span.start, &self.key_path(key), problem);
                }
            }
        }
        texts
    }

    /// Returns the value that `choices` maps the key's word to.
    pub fn choice<T: Copy>(&self, key: &'static str, default: T, choices: &[(&str, T)]) -> T {
        let names: Vec<&str> = choices.iter().map(|(name, _)| *name).collect();
        let expected = format!("one of {}", names.join(", "));
        let read = |form: &Form| {
            let word = atom(form)?;
            choices.iter().find(|(name, _)| *name == word).map(|(_, value)| *value)
        };
        self.value(key, &expected, read).unwrap_or(default)
    }

    fn quantity(&self, key: &'static str, default: f64, range: RangeInclusive<f64>, units: &[Unit]) -> f64 {
        let (low, high) = (format_quantity(*range.start(), units), format_quantity(*range.end(), units));
        let read = |form: &Form| parse_quantity(atom(form)?, units).filter(|value| range.contains(value));
        self.value(key, &format!("from {low} to {high}"), read).unwrap_or(default)
    }

    /// Returns a number without a unit.
    pub fn number(&self, key: &'static str, default: f64, range: RangeInclusive<f64>) -> f64 {
        self.quantity(key, default, range, UNITLESS)
    }

    /// Returns a whole number.
    pub fn count(&self, key: &'static str, default: usize, range: RangeInclusive<usize>) -> usize {
        let expected = format!("a whole number from {} to {}", range.start(), range.end());
        let read = |form: &Form| atom(form)?.parse().ok().filter(|count| range.contains(count));
        self.value(key, &expected, read).unwrap_or(default)
    }

    /// Returns a duration in seconds. A number without a unit is rejected as ambiguous.
    pub fn duration(&self, key: &'static str, default: f64, range: RangeInclusive<f64>) -> f64 {
        self.quantity(key, default, range, DURATION)
    }

    /// Returns a size in bytes, which is written with a unit.
    pub fn bytes(&self, key: &'static str, default: u64, range: RangeInclusive<u64>) -> u64 {
        let range = *range.start() as f64..=*range.end() as f64;
        self.quantity(key, default as f64, range, BYTES) as u64
    }

    /// Reports all keys that were not read as unknown.
    pub fn finish(&self) {
        let known = self.requested_keys.borrow();
        for entry in self.entries.iter().filter(|entry| !entry.requested.get()) {
            let closest = known.iter().map(|name| (edit_distance(entry.key, name), *name)).min();
            let problem = match closest {
                Some((distance, name)) if distance <= MISSPELLING_DISTANCE => Problem::Misspelled(name),
                _ => Problem::Unknown(known.clone()),
            };
            self.reader.report(entry.position, &self.key_path(entry.key), problem);
        }
    }
}

impl<'r> Entry<'r> {
    fn parse(node: &'r Node) -> Option<Entry<'r>> {
        let Form::List(parts) = &node.form else { return None };
        let (first, values) = parts.split_first()?;
        let key = atom(&first.form)?;
        Some(Entry { key, position: node.span.start, values, requested: Cell::new(false) })
    }
}

fn atom(form: &Form) -> Option<&str> {
    match form {
        Form::Atom(word) => Some(word),
        _ => None,
    }
}

fn non_empty_text(form: &Form) -> Option<&str> {
    match form {
        Form::Text(text) if !text.is_empty() => Some(text),
        _ => None,
    }
}

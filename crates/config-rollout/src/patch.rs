//! Patches: the text format in which operators write changes.
//!
//! ```text
//! (tenant (name "acme") (quota 120))
//! (route (name "orders") (promise 800ms) (importance 4))
//! (limit (max-retry-after 5s))
//! (without (tenant "old") (route "orders" late-share))   ; restores the values of the base settings
//! ```

use crate::change::{Change, MAX_CHANGE_BYTES};
use crate::key::{Field, Key, Section, FLEET};
use crate::setting::{ValidationError, Value};
use puffinladder_settings::sexpr::{Diagnostic, Form, Node, Problem, Reader};
use std::collections::BTreeMap;

/// Maximum length of a patch in bytes. White space and comments make the text longer than the change.
const MAX_TEXT_BYTES: usize = 4 * MAX_CHANGE_BYTES;

/// First words of the forms at the top level of a patch.
const TOP_LEVEL_KEYS: [&str; 4] = ["tenant", "route", "limit", "without"];

const SECOND_MS: f64 = 1e3;
const MINUTE_MS: f64 = 6e4;

/// A change with the location of each key in the file, for errors that are found after parsing.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Patch {
    /// File name for error messages.
    pub file: String,
    /// The change in the file.
    pub change: Change,
    locations: BTreeMap<Key, Location>,
}

/// A location in a text; lines and columns count from 1.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Location {
    line: usize,
    column: usize,
}

impl Location {
    /// Location of errors that concern the change as a whole.
    const START: Location = Location { line: 1, column: 1 };

    fn of_offset(text: &str, offset: usize) -> Location {
        let before = &text.as_bytes()[..offset.min(text.len())];
        let line = before.iter().filter(|byte| **byte == b'\n').count() + 1;
        let column = before.iter().rev().take_while(|byte| **byte != b'\n').count() + 1;
        Location { line, column }
    }
}

impl Patch {
    /// Parses a patch.
    ///
    /// # Errors
    ///
    /// Returns all errors of the text, each with file, line, column and key.
    pub fn read(file: &str, text: &str) -> Result<Patch, Vec<Diagnostic>> {
        let mut parser = Parser { reader: Reader::new(file, text), text, patch: Patch::default() };
        parser.patch.file = file.into();
        if text.len() > MAX_TEXT_BYTES {
            let reason =
                format!("patch too long: got {} bytes, expected at most {MAX_TEXT_BYTES}", text.len());
            parser.report(0, "", reason);
            return Err(parser.reader.into_diagnostics());
        }
        let forms = parser.reader.parse();
        forms.iter().for_each(|form| parser.form(form));
        let Parser { reader, patch, .. } = parser;
        let errors = reader.into_diagnostics();
        if !errors.is_empty() {
            return Err(errors);
        }
        patch.change.check().map_err(|error| vec![patch.locate(&error)])?;
        Ok(patch)
    }

    /// Adds the location in the file to an error: that of its key, or the start of the file if the change is invalid as a whole.
    pub fn locate(&self, error: &ValidationError) -> Diagnostic {
        let location = error.key.as_ref().and_then(|key| self.locations.get(key));
        let Location { line, column } = *location.unwrap_or(&Location::START);
        let key = error.key.as_ref().map_or(String::new(), Key::to_string);
        Diagnostic { file: self.file.clone(), line, column, key, problem: error.reason.clone().into() }
    }
}

/// An assignment of a value to a field in a block.
struct Assignment {
    field: Field,
    value: f64,
    offset: usize,
}

/// Fields of one name that an item of `without` removes.
struct Removal {
    section: Section,
    name: String,
    fields: Vec<Field>,
}

struct Parser<'a> {
    reader: Reader<'a>,
    text: &'a str,
    patch: Patch,
}

impl Parser<'_> {
    fn report(&self, offset: usize, path: &str, problem: impl Into<Problem>) {
        self.reader.report(offset, path, problem);
    }

    /// Parses one form at the top level.
    fn form(&mut self, form: &Node) {
        let offset = form.span.start;
        let Some((head, items)) = list(form) else {
            return self.report(
                offset,
                "",
                Problem::Expected("a list that begins with tenant, route, limit or without".into()),
            );
        };
        match Section::from_name(head) {
            Some(section) => self.block(section, form, items),
            None if head == "without" => items.iter().for_each(|item| self.without(item)),
            None => self.report(offset, head, Problem::Unknown(TOP_LEVEL_KEYS.to_vec())),
        }
    }

    /// Parses a block such as `(tenant (name "acme") (quota 120))`.
    fn block(&mut self, section: Section, form: &Node, items: &[Node]) {
        let mut name = (section == Section::Limit).then(|| FLEET.to_owned());
        let mut assignments = Vec::new();
        for item in items {
            match list(item) {
                Some(("name", [value])) if section != Section::Limit => match &value.form {
                    Form::Text(text) if name.is_none() => name = Some(text.clone()),
                    _ => {
                        let path = format!("{}.name", section.name());
                        self.report(
                            item.span.start,
                            &path,
                            Problem::Expected("a single string in quotes, given once".into()),
                        );
                    }
                },
                Some((key, values)) => assignments.extend(self.assignment(section, item, key, values)),
                None => self.report(item.span.start, section.name(), Problem::NotAnEntry),
            }
        }
        let Some(name) = name else {
            let path = format!("{}.name", section.name());
            return self.report(form.span.start, &path, Problem::Missing);
        };
        if assignments.is_empty() {
            let fields: Vec<&str> = section.fields().map(Field::name).collect();
            let reason =
                format!("sets no valid field for {name:?}, expected at least one of {}", fields.join(", "));
            return self.report(form.span.start, section.name(), reason);
        }
        for Assignment { field, value, offset } in assignments {
            self.insert(Key::new(section, &name, field), Some(Value(value)), offset);
        }
    }

    /// Parses an assignment such as `(quota 120)`. Reports an error and returns `None` if it is invalid.
    fn assignment(&self, section: Section, item: &Node, key: &str, values: &[Node]) -> Option<Assignment> {
        let offset = item.span.start;
        let path = format!("{}.{key}", section.name());
        let Some(field) = section.field(key) else {
            self.report(offset, &path, Problem::Unknown(section.fields().map(Field::name).collect()));
            return None;
        };
        let [value] = values else {
            self.report(offset, &path, expected(field));
            return None;
        };
        let number = number(field, &value.form);
        if number.is_none() {
            self.report(value.span.start, &path, expected(field));
        }
        Some(Assignment { field, value: number?, offset })
    }

    /// Parses an item of `without`: `(tenant "acme")` removes all fields, `(route "orders" late-share)` a single one.
    fn without(&mut self, item: &Node) {
        let offset = item.span.start;
        let Some(Removal { section, name, fields }) = removal(item) else {
            let expected = "such as (tenant \"acme\"), (route \"orders\" late-share) or (limit servers)";
            return self.report(offset, "without", Problem::Expected(expected.into()));
        };
        for field in fields {
            self.insert(Key::new(section, &name, field), None, offset);
        }
    }

    fn insert(&mut self, key: Key, value: Option<Value>, offset: usize) {
        if self.patch.change.contains(&key) {
            let path = format!("{}.{}", key.section.name(), key.field.name());
            self.report(offset, &path, format!("set or removed more than once for {:?}", key.name));
        }
        self.patch.locations.insert(key.clone(), Location::of_offset(self.text, offset));
        self.patch.change.insert(key, value);
    }
}

fn removal(item: &Node) -> Option<Removal> {
    let (head, rest) = list(item)?;
    let section = Section::from_name(head)?;
    let (name, words) = match rest {
        words if section == Section::Limit => (FLEET, words),
        [Node { form: Form::Text(name), .. }, words @ ..] => (name.as_str(), words),
        _ => return None,
    };
    let mut fields = Vec::new();
    for word in words {
        let Form::Atom(word) = &word.form else { return None };
        fields.push(section.field(word)?);
    }
    if fields.is_empty() {
        fields.extend(section.fields());
    }
    Some(Removal { section, name: name.to_owned(), fields })
}

/// Splits a list into its first word and the remaining items.
fn list(node: &Node) -> Option<(&str, &[Node])> {
    let Form::List(parts) = &node.form else { return None };
    match parts.split_first()? {
        (Node { form: Form::Atom(head), .. }, rest) => Some((head, rest)),
        _ => None,
    }
}

/// Describes the valid values of a field.
fn expected(field: Field) -> Problem {
    let (range, unit) = (field.range(), if field.is_time() { "ms" } else { "" });
    Problem::Expected(format!("from {}{unit} to {}{unit}", range.start(), range.end()))
}

/// Parses a number in the range of a field, times in ms. Times require a unit.
fn number(field: Field, form: &Form) -> Option<f64> {
    let Form::Atom(word) = form else { return None };
    let (number, unit) = word.split_at(word.find(|c: char| c.is_ascii_alphabetic()).unwrap_or(word.len()));
    let factor = match (field.is_time(), unit) {
        (false, "") | (true, "ms") => 1.0,
        (true, "s") => SECOND_MS,
        (true, "m") => MINUTE_MS,
        _ => return None,
    };
    let value = number.parse::<f64>().ok()? * factor;
    (field.range().contains(&value) && value.is_sign_positive()).then_some(value)
}

#[cfg(test)]
mod tests;

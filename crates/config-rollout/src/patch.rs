//! A change as an operator writes it.
//!
//! ```text
//! (tenant (name "acme") (quota 120))
//! (route (name "orders") (promise 800ms) (importance 4))
//! (limit (max-retry-after 5s))
//! (without (tenant "old") (route "orders" late-share))   ; back to the start file's value
//! ```

use crate::content::{Change, Field, Key, Section, Value, Wrong, CHANGE_BYTES, FLEET};
use puffinladder_settings::sexpr::{Diagnostic, Form, Node, Reader};
use std::collections::BTreeMap;

/// A change, and where each of its keys stands, for what is found wrong later.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Patch {
    pub file: String,
    pub change: Change,
    /// Line and column of each key, from 1.
    places: BTreeMap<Key, (usize, usize)>,
}

/// Bytes of a patch's text: spaces and comments beside what a change may hold.
const LONGEST: usize = 4 * CHANGE_BYTES;

impl Patch {
    pub fn read(file: &str, text: &str) -> Result<Patch, Vec<Diagnostic>> {
        let reader = Reader::new(file, text);
        let mut patch = Patch { file: file.into(), ..Patch::default() };
        if text.len() > LONGEST {
            reader.report(0, "", format!("{} bytes; a change has {LONGEST} at the most", text.len()));
            return Err(reader.into_diagnostics());
        }
        let forms = reader.parse();
        for form in &forms {
            let Some((head, rest)) = list(form) else {
                reader.report(
                    form.span.start,
                    "",
                    "should be a list that begins with tenant, route, limit or without",
                );
                continue;
            };
            let section = Section::ALL.into_iter().find(|section| section.name() == head);
            match section {
                Some(section) => patch.block(&reader, text, section, form, rest),
                None if head == "without" => rest.iter().for_each(|one| patch.without(&reader, text, one)),
                None => reader.report(
                    form.span.start,
                    head,
                    "is not known; there are tenant, route, limit, without",
                ),
            }
        }
        let faults = reader.into_diagnostics();
        if !faults.is_empty() {
            return Err(faults);
        }
        patch.change.check().map_err(|wrong| vec![patch.fault(&wrong)])?;
        Ok(patch)
    }

    fn block(&mut self, reader: &Reader, text: &str, section: Section, form: &Node, rest: &[Node]) {
        let mut name = (section == Section::Limit).then(|| FLEET.to_owned());
        let mut fields: Vec<(Field, f64, usize)> = Vec::new();
        for item in rest {
            let at = item.span.start;
            match list(item) {
                Some(("name", [value])) if section != Section::Limit => match &value.form {
                    Form::Text(text) if name.is_none() => name = Some(text.clone()),
                    _ => reader.report(
                        at,
                        &format!("{}.name", section.name()),
                        "should be one text in quotes, once",
                    ),
                },
                Some((key, values)) => {
                    let known = || Field::ALL.into_iter().filter(move |field| field.section() == section);
                    let path = format!("{}.{key}", section.name());
                    match (known().find(|field| field.name() == key), values) {
                        (Some(field), [value]) => match number(field, &value.form) {
                            Some(number) => fields.push((field, number, at)),
                            None => reader.report(value.span.start, &path, wanted(field)),
                        },
                        (Some(field), _) => reader.report(at, &path, wanted(field)),
                        (None, _) => {
                            let names: Vec<&str> = known().map(Field::name).collect();
                            reader.report(at, &path, format!("is not known; there are {}", names.join(", ")));
                        }
                    }
                }
                None => reader.report(at, section.name(), "should be a list that begins with a key"),
            }
        }
        match name {
            None => reader.report(form.span.start, &format!("{}.name", section.name()), "should be given"),
            Some(_) if fields.is_empty() => reader.report(form.span.start, section.name(), "changes nothing"),
            Some(name) => {
                for (field, number, at) in fields {
                    self.enter(reader, text, Key::new(section, &name, field), Some(Value(number)), at);
                }
            }
        }
    }

    /// `(tenant "acme")` takes all fields of it away, `(route "orders" late-share)` one.
    fn without(&mut self, reader: &Reader, text: &str, one: &Node) {
        let at = one.span.start;
        let parts = list(one).and_then(|(head, rest)| {
            let section = Section::ALL.into_iter().find(|section| section.name() == head)?;
            let (name, rest) = match rest {
                [Node { form: Form::Text(name), .. }, rest @ ..] if section != Section::Limit => {
                    (name.as_str(), rest)
                }
                rest if section == Section::Limit => (FLEET, rest),
                _ => return None,
            };
            let mut fields = Vec::new();
            for word in rest {
                let Form::Atom(word) = &word.form else { return None };
                fields.push(Field::ALL.into_iter().find(|f| f.section() == section && f.name() == word)?);
            }
            if fields.is_empty() {
                fields.extend(Field::ALL.into_iter().filter(|field| field.section() == section));
            }
            Some((section, name.to_owned(), fields))
        });
        let Some((section, name, fields)) = parts else {
            let wanted =
                "should be such as (tenant \"acme\"), (route \"orders\" late-share) or (limit servers)";
            return reader.report(at, "without", wanted);
        };
        for field in fields {
            self.enter(reader, text, Key::new(section, &name, field), None, at);
        }
    }

    fn enter(&mut self, reader: &Reader, text: &str, key: Key, value: Option<Value>, at: usize) {
        let before = &text.as_bytes()[..at.min(text.len())];
        let line = before.iter().filter(|byte| **byte == b'\n').count() + 1;
        let column = before.iter().rev().take_while(|byte| **byte != b'\n').count() + 1;
        if self.change.0.contains_key(&key) {
            let path = format!("{}.{}", key.section.name(), key.field.name());
            reader.report(at, &path, format!("stands here a second time for {:?}", key.name));
        }
        self.places.insert(key.clone(), (line, column));
        self.change.0.insert(key, value);
    }

    /// What was found wrong, with its place in the file: that of its key, or the first line where the change as a whole is wrong.
    pub fn fault(&self, wrong: &Wrong) -> Diagnostic {
        let place = wrong.key.as_ref().and_then(|key| self.places.get(key));
        let &(line, column) = place.unwrap_or(&(1, 1));
        let key = wrong.key.as_ref().map_or(String::new(), Key::to_string);
        Diagnostic { file: self.file.clone(), line, column, key, problem: wrong.what.clone().into() }
    }
}

fn list(node: &Node) -> Option<(&str, &[Node])> {
    let Form::List(parts) = &node.form else { return None };
    match parts.split_first()? {
        (Node { form: Form::Atom(head), .. }, rest) => Some((head, rest)),
        _ => None,
    }
}

fn is_time(field: Field) -> bool {
    matches!(field, Field::Promise | Field::GiveUp | Field::Window | Field::MaxRetryAfter)
}

fn wanted(field: Field) -> String {
    let (range, unit) = (field.range(), if is_time(field) { "ms" } else { "" });
    format!("should be from {}{unit} to {}{unit}", range.start(), range.end())
}

/// Times need a unit, since nobody knows which was meant.
fn number(field: Field, form: &Form) -> Option<f64> {
    let Form::Atom(word) = form else { return None };
    let (number, unit) = word.split_at(word.find(|c: char| c.is_ascii_alphabetic()).unwrap_or(word.len()));
    let size = match (is_time(field), unit) {
        (false, "") => 1.0,
        (true, "ms") => 1.0,
        (true, "s") => 1e3,
        (true, "m") => 6e4,
        _ => return None,
    };
    let value = number.parse::<f64>().ok()? * size;
    (field.range().contains(&value) && value.is_sign_positive()).then_some(value)
}

#[cfg(test)]
mod tests;

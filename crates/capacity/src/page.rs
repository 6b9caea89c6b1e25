//! The page's blocks: between `<!-- capacity: NAME -->` and `<!-- /capacity -->` stands what the plan prints, all else is
//! written by people. A page that lacks a block, has one twice or never closes one is refused: its table would go
//! unchecked.

use crate::tables::Table;
use std::fmt;
use std::ops::Range;

/// What is wrong with a page, at a line from 1.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    pub line: usize,
    pub what: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}: {}", self.line, self.what)
    }
}

const CLOSE: &str = "<!-- /capacity -->";

/// The name in an opening marker.
fn opened(line: &str) -> Option<&str> {
    line.trim().strip_prefix("<!-- capacity:")?.strip_suffix("-->").map(str::trim)
}

/// The lines inside each block of a page.
fn blocks<'p>(lines: &[&'p str], tables: &[Table]) -> Result<Vec<(&'p str, Range<usize>)>, Fault> {
    let fault = |at: usize, what: String| Err(Fault { line: at + 1, what });
    let mut found: Vec<(&str, Range<usize>)> = Vec::new();
    let mut open: Option<(&str, usize)> = None;
    for (at, line) in lines.iter().enumerate() {
        if let Some(name) = opened(line) {
            if let Some((outer, from)) = open {
                return fault(at, format!("block {name} begins inside block {outer} of line {from}"));
            }
            if !tables.iter().any(|table| table.name == name) {
                return fault(at, format!("no table is named {name}"));
            }
            if found.iter().any(|(other, _)| *other == name) {
                return fault(at, format!("block {name} stands here a second time"));
            }
            open = Some((name, at + 1));
        } else if line.trim() == CLOSE {
            let Some((name, from)) = open.take() else {
                return fault(at, "closes a block that never began".into());
            };
            found.push((name, from..at));
        } else if line.contains("<!-- capacity") || line.contains("<!-- /capacity") {
            return fault(
                at,
                "a marker should stand alone on its line, as <!-- capacity: NAME --> or <!-- /capacity -->"
                    .into(),
            );
        }
    }
    if let Some((name, from)) = open {
        return fault(from - 1, format!("block {name} is never closed"));
    }
    match tables.iter().find(|table| !found.iter().any(|(name, _)| *name == table.name)) {
        Some(missing) => {
            fault(lines.len().saturating_sub(1), format!("the page has no block {}", missing.name))
        }
        None => Ok(found),
    }
}

fn text_of<'t>(tables: &'t [Table], name: &str) -> &'t str {
    tables.iter().find(|table| table.name == name).map_or("", |table| &table.text)
}

/// The page with its blocks as the tables are.
pub fn write(page: &str, tables: &[Table]) -> Result<String, Fault> {
    let lines: Vec<&str> = page.lines().collect();
    let mut told = String::with_capacity(page.len());
    let mut at = 0;
    for (name, inside) in blocks(&lines, tables)? {
        for line in
            lines[at..inside.start].iter().chain(text_of(tables, name).lines().collect::<Vec<_>>().iter())
        {
            told.push_str(line);
            told.push('\n');
        }
        at = inside.end;
    }
    for line in &lines[at..] {
        told.push_str(line);
        told.push('\n');
    }
    Ok(told)
}

/// Whether each block of the page is what the tables are; the first line that differs otherwise.
pub fn check(page: &str, tables: &[Table]) -> Result<(), Fault> {
    let lines: Vec<&str> = page.lines().collect();
    for (name, inside) in blocks(&lines, tables)? {
        let wanted: Vec<&str> = text_of(tables, name).lines().collect();
        for at in 0..wanted.len().max(inside.len()) {
            let here = inside.clone().nth(at).map(|line| lines[line]);
            let there = wanted.get(at).copied();
            if here != there {
                let quote =
                    |line: Option<&str>| line.map_or("nothing more".to_owned(), |line| format!("{line:?}"));
                let what = format!("block {name}: the page says {}, the plan {}", quote(here), quote(there));
                return Err(Fault { line: inside.start + at + 1, what });
            }
        }
    }
    Ok(())
}

#[cfg(test)]
mod tests;

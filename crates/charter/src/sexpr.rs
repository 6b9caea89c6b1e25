//! S-expressions: read into a tree that knows its places, and asked for what it should hold. Every fault is kept
//! with its place, so that one reading names them all.
//!
//! ```text
//! ; a comment up to the end of the line
//! (trace (folder "/var/lib/traces") (file-span 1h) (file-bytes 64MB))
//! ```
//!
//! An atom is a word, a number with a unit, or text in quotes in which `\"`, `\\`, `\n` and `\t` are escapes.

use std::cell::RefCell;
use std::fmt;
use std::ops::{Range, RangeInclusive};
use winnow::combinator::{alt, cut_err, delimited, preceded, repeat};
use winnow::error::{ContextError, StrContext, StrContextValue};
use winnow::stream::{LocatingSlice, Stream};
use winnow::token::{any, none_of, one_of, take_till, take_while};
use winnow::{ModalResult, Parser};

/// What is wrong, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    pub file: String,
    /// Both from 1.
    pub line: usize,
    pub column: usize,
    /// As in `trace.file-span`; empty where the text itself can't be read.
    pub key: String,
    pub what: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let Fault { file, line, column, key, what } = self;
        let stop = if key.is_empty() { "" } else { ": " };
        write!(f, "{file}:{line}:{column}: {key}{stop}{what}")
    }
}

#[derive(Clone, Debug, PartialEq)]
pub enum Form {
    Atom(String),
    Text(String),
    List(Vec<Node>),
}

/// A form and the bytes that it takes.
#[derive(Clone, Debug, PartialEq)]
pub struct Node {
    pub form: Form,
    pub span: Range<usize>,
}

type Input<'a> = LocatingSlice<&'a str>;

/// How deep lists may nest: what reads them is a recursion.
const DEEPEST: usize = 64;
/// Bytes of a file; more is no settings file.
const LONGEST: usize = 4 << 20;

fn wanted(what: &'static str) -> StrContext {
    StrContext::Expected(StrContextValue::Description(what))
}

fn blank(input: &mut Input) -> ModalResult<()> {
    let comment = (';', take_till(0.., '\n')).void();
    let space = take_while(1.., char::is_whitespace).void();
    repeat(0.., alt((space, comment))).parse_next(input)
}

fn list(input: &mut Input) -> ModalResult<Form> {
    let close = preceded(blank, ')').context(wanted("')' to close the list that begins further up"));
    delimited('(', repeat(0.., preceded(blank, node)), cut_err(close)).map(Form::List).parse_next(input)
}

fn text(input: &mut Input) -> ModalResult<Form> {
    let escape =
        preceded('\\', cut_err(one_of(['"', '\\', 'n', 't'])).context(wanted("one of \\\" \\\\ \\n \\t")));
    let escaped = escape.map(|c| match c {
        'n' => '\n',
        't' => '\t',
        other => other,
    });
    let inner = repeat(0.., alt((none_of(['"', '\\']), escaped)));
    delimited('"', inner, cut_err('"').context(wanted("'\"' to close the text")))
        .map(Form::Text)
        .parse_next(input)
}

fn atom(input: &mut Input) -> ModalResult<Form> {
    let letter = |c: char| !c.is_whitespace() && !"()\";".contains(c);
    take_while(1.., letter).map(|word: &str| Form::Atom(word.into())).parse_next(input)
}

fn node(input: &mut Input) -> ModalResult<Node> {
    alt((list, text, atom)).with_span().map(|(form, span)| Node { form, span }).parse_next(input)
}

fn place(text: &str, at: usize) -> (usize, usize) {
    let mut at = at.min(text.len());
    while !text.is_char_boundary(at) {
        at -= 1;
    }
    let before = &text[..at];
    let line = before.matches('\n').count() + 1;
    (line, before.rsplit('\n').next().unwrap_or("").chars().count() + 1)
}

/// A text that is being read, and what was found wrong so far.
pub struct Reader<'a> {
    file: &'a str,
    text: &'a str,
    faults: RefCell<Vec<Fault>>,
}

impl<'a> Reader<'a> {
    pub fn new(file: &'a str, text: &'a str) -> Reader<'a> {
        Reader { file, text, faults: RefCell::default() }
    }

    pub fn fault(&self, at: usize, key: &str, what: impl Into<String>) {
        let (line, column) = place(self.text, at);
        let (file, key, what) = (self.file.to_owned(), key.to_owned(), what.into());
        self.faults.borrow_mut().push(Fault { file, line, column, key, what });
    }

    /// All that was found wrong, in the order of the text.
    pub fn faults(self) -> Vec<Fault> {
        let mut all = self.faults.into_inner();
        all.sort_by_key(|fault| (fault.line, fault.column));
        all
    }

    /// The forms of the text. What comes behind a fault in the text itself is not read.
    pub fn forms(&self) -> Vec<Node> {
        let (mut depth, mut deep) = (0usize, None);
        for (at, c) in self.text.char_indices() {
            depth = match c {
                '(' => depth + 1,
                ')' => depth.saturating_sub(1),
                _ => depth,
            };
            deep = deep.or((depth > DEEPEST).then_some(at));
        }
        if let Some(at) = deep.or((self.text.len() > LONGEST).then_some(0)) {
            self.fault(at, "", "too long, or lists nested too deeply");
            return Vec::new();
        }
        let mut input = LocatingSlice::new(self.text);
        let mut forms = Vec::new();
        loop {
            if blank.parse_next(&mut input).is_err() || input.is_empty() {
                return forms;
            }
            let begin = input.checkpoint();
            match node.parse_next(&mut input) {
                Ok(form) => forms.push(form),
                Err(e) => {
                    let at = winnow::stream::Location::current_token_start(&input);
                    let said = e.into_inner().map(|e: ContextError| e.to_string()).unwrap_or_default();
                    input.reset(&begin);
                    let stray = any::<_, ContextError>.parse_next(&mut input).ok() == Some(')');
                    let what = match (stray, said.is_empty()) {
                        (true, _) => "a ')' that closes nothing".into(),
                        (_, true) => "can't be read".into(),
                        _ => said.replace('\n', ", "),
                    };
                    self.fault(at, "", what);
                    return forms;
                }
            }
        }
    }

    /// The text as one block of keys.
    pub fn top<'r>(&'r self, forms: &'r [Node]) -> Block<'r> {
        Block::new(self, String::new(), 0, forms)
    }
}

/// One entry of a block: its key, where that stands, and what follows it.
struct Item<'r> {
    key: &'r str,
    at: usize,
    rest: &'r [Node],
    asked: std::cell::Cell<bool>,
}

/// A list of `(key value ...)`. What is asked for is checked, what nobody asks for is a fault at the end.
pub struct Block<'r> {
    reader: &'r Reader<'r>,
    path: String,
    at: usize,
    items: Vec<Item<'r>>,
    /// Keys that were asked for, to name the one that was probably meant.
    known: RefCell<Vec<&'static str>>,
}

impl<'r> Block<'r> {
    fn new(reader: &'r Reader<'r>, path: String, at: usize, forms: &'r [Node]) -> Block<'r> {
        let mut items: Vec<Item> = Vec::new();
        for node in forms {
            let key = match &node.form {
                Form::List(parts) => parts.split_first().and_then(|(first, rest)| match &first.form {
                    Form::Atom(key) => Some((key.as_str(), rest)),
                    _ => None,
                }),
                _ => None,
            };
            let Some((key, rest)) = key else {
                reader.fault(node.span.start, &path, "should be a list that begins with a key");
                continue;
            };
            items.push(Item { key, at: node.span.start, rest, asked: false.into() });
        }
        Block { reader, path, at, items, known: RefCell::default() }
    }

    fn name(&self, key: &str) -> String {
        if self.path.is_empty() {
            key.into()
        } else {
            format!("{}.{key}", self.path)
        }
    }

    /// A fault at a key of this block, or at the block if it has none such.
    pub fn fault(&self, key: &str, what: impl Into<String>) {
        let at = self.items.iter().find(|item| item.key == key).map_or(self.at, |item| item.at);
        self.reader.fault(at, &self.name(key), what);
    }

    fn all(&self, key: &'static str) -> Vec<&Item<'r>> {
        self.known.borrow_mut().push(key);
        let found: Vec<&Item> = self.items.iter().filter(|item| item.key == key).collect();
        found.iter().for_each(|item| item.asked.set(true));
        found
    }

    /// What follows a key that may stand once.
    fn one(&self, key: &'static str) -> Option<&Item<'r>> {
        let found = self.all(key);
        for again in found.iter().skip(1) {
            self.reader.fault(again.at, &self.name(key), "stands here a second time");
        }
        found.first().copied()
    }

    /// The one value behind a key, as `read` takes it.
    fn value<T>(&self, key: &'static str, wanted: &str, read: impl Fn(&Form) -> Option<T>) -> Option<T> {
        let item = self.one(key)?;
        let value = match item.rest {
            [value] => read(&value.form),
            _ => None,
        };
        if value.is_none() {
            let at = item.rest.first().map_or(item.at, |node| node.span.start);
            self.reader.fault(at, &self.name(key), format!("should be {wanted}"));
        }
        value
    }

    pub fn has(&self, key: &str) -> bool {
        self.items.iter().any(|item| item.key == key)
    }

    /// The block behind a key.
    pub fn block(&self, key: &'static str) -> Option<Block<'r>> {
        let item = self.one(key)?;
        Some(Block::new(self.reader, self.name(key), item.at, item.rest))
    }

    /// Blocks under a key that may stand any number of times.
    pub fn blocks(&self, key: &'static str) -> Vec<Block<'r>> {
        let block = |item: &Item<'r>| Block::new(self.reader, self.name(key), item.at, item.rest);
        self.all(key).into_iter().map(block).collect()
    }

    pub fn text(&self, key: &'static str) -> Option<String> {
        self.value(key, "text in quotes", |form| match form {
            Form::Text(text) if !text.is_empty() => Some(text.clone()),
            _ => None,
        })
    }

    /// Texts behind a key, any number of them.
    pub fn texts(&self, key: &'static str) -> Vec<String> {
        let Some(item) = self.one(key) else { return Vec::new() };
        let mut all = Vec::new();
        for node in item.rest {
            match &node.form {
                Form::Text(text) if !text.is_empty() => all.push(text.clone()),
                _ => self.reader.fault(node.span.start, &self.name(key), "should be text in quotes"),
            }
        }
        all
    }

    /// One of a few words.
    pub fn word<T: Copy>(&self, key: &'static str, usual: T, choices: &[(&str, T)]) -> T {
        let names: Vec<&str> = choices.iter().map(|(name, _)| *name).collect();
        let find = |form: &Form| match form {
            Form::Atom(word) => choices.iter().find(|(name, _)| name == word).map(|(_, value)| *value),
            _ => None,
        };
        self.value(key, &format!("one of {}", names.join(", ")), find).unwrap_or(usual)
    }

    fn amount(
        &self,
        key: &'static str,
        usual: f64,
        range: RangeInclusive<f64>,
        units: &[(&str, f64)],
    ) -> f64 {
        let show = |value: f64| {
            let fits = |unit: &&(&str, f64)| value >= unit.1 || unit.1 == units[0].1;
            let (name, size) =
                units.iter().filter(fits).max_by(|a, b| a.1.total_cmp(&b.1)).unwrap_or(&units[0]);
            format!("{}{name}", value / size)
        };
        let (low, high) = (show(*range.start()), show(*range.end()));
        let read = |form: &Form| match form {
            Form::Atom(word) => quantity(word, units).filter(|value| range.contains(value)),
            _ => None,
        };
        self.value(key, &format!("from {low} to {high}"), read).unwrap_or(usual)
    }

    pub fn number(&self, key: &'static str, usual: f64, range: RangeInclusive<f64>) -> f64 {
        self.amount(key, usual, range, &[("", 1.0)])
    }
    pub fn count(&self, key: &'static str, usual: usize, range: RangeInclusive<usize>) -> usize {
        let read = |form: &Form| match form {
            Form::Atom(word) => word.parse().ok().filter(|count| range.contains(count)),
            _ => None,
        };
        let wanted = format!("a whole number from {} to {}", range.start(), range.end());
        self.value(key, &wanted, read).unwrap_or(usual)
    }
    /// In seconds; a number without a unit is refused, since nobody knows which was meant.
    pub fn span(&self, key: &'static str, usual: f64, range: RangeInclusive<f64>) -> f64 {
        self.amount(key, usual, range, &[("s", 1.0), ("ms", 1e-3), ("us", 1e-6), ("m", 60.0), ("h", 3600.0)])
    }
    pub fn bytes(&self, key: &'static str, usual: u64, range: RangeInclusive<u64>) -> u64 {
        let units = [("B", 1.0), ("KB", 1024.0), ("MB", 1_048_576.0), ("GB", 1_073_741_824.0)];
        let range = *range.start() as f64..=*range.end() as f64;
        self.amount(key, usual as f64, range, &units) as u64
    }

    /// Names what nobody asked for.
    pub fn finish(&self) {
        let known = self.known.borrow();
        for item in self.items.iter().filter(|item| !item.asked.get()) {
            let near = known.iter().map(|name| (distance(item.key, name), *name)).min();
            let hint = match near {
                Some((far, name)) if far <= 2 => format!("is not known; {name} may be meant"),
                _ => format!("is not known; there are {}", known.join(", ")),
            };
            self.reader.fault(item.at, &self.name(item.key), hint);
        }
    }
}

/// A number and its unit.
fn quantity(word: &str, units: &[(&str, f64)]) -> Option<f64> {
    let end = word.find(|c: char| c.is_ascii_alphabetic()).unwrap_or(word.len());
    let (number, unit) = word.split_at(end);
    let size = units.iter().find(|(name, _)| *name == unit)?.1;
    number.parse::<f64>().ok().map(|number| number * size).filter(|value| value.is_finite())
}

/// How many letters have to change to make one word of another.
fn distance(a: &str, b: &str) -> usize {
    let b: Vec<char> = b.chars().take(64).collect();
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, x) in a.chars().take(64).enumerate() {
        let mut corner = std::mem::replace(&mut row[0], i + 1);
        for (j, y) in b.iter().enumerate() {
            let cost = corner + usize::from(x != *y);
            corner = row[j + 1];
            row[j + 1] = cost.min(corner + 1).min(row[j] + 1);
        }
    }
    row[b.len()]
}

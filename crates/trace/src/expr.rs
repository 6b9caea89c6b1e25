//! The language in which a trace is asked: `declined and product = bid-submit and wait > 200ms`.
//!
//! ```text
//! either  = both ("or" both)*          both = one ("and" one)*
//! one     = "not" one | "(" either ")" | flag | word = text | number < figure
//! ```
//!
//! An expression is judged by a block's head first: most blocks need not be read.

use crate::block::Head;
use crate::row::{Names, Path, Row, Step};
use winnow::ascii::{float, multispace0};
use winnow::combinator::{alt, cut_err, delimited, opt, preceded, repeat};
use winnow::error::{ContextError, ErrMode, StrContext, StrContextValue};
use winnow::token::{take_until, take_while};
use winnow::{ModalResult, Parser};

/// What a txn may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flag {
    Settled,
    Declined,
    Voided,
    Gone,
    /// Settled within its SLA time, or after it.
    InSla,
    Late,
    Replayed,
    Ran,
    Called,
    Skipped,
    Repeat,
    Last,
    Referenced,
}

/// What has a name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Word {
    Product,
    Customer,
    Node,
    Reason,
    /// Any of its steps, as `trace cat` writes them.
    Step,
    /// The keyed hashes, in hex.
    Key,
    Name,
}

/// What is measured. Times are us, memory is bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Figure {
    Wait,
    Run,
    Unread,
    Answer,
    Hint,
    KeepOff,
    Memory,
    Rank,
    Caller,
    Value,
    /// us since the trace began.
    At,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    Below,
    UpTo,
    Above,
    From,
    Equal,
    Other,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Expr {
    All,
    Flag(Flag),
    Word(Word, Match, String),
    Figure(Figure, Order, f64),
    Not(Box<Expr>),
    Both(Vec<Expr>),
    Either(Vec<Expr>),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Match {
    Is,
    IsNot,
    /// `*` stands for any characters, `?` for one.
    Like,
    Unlike,
}

const FLAGS: [(&str, Flag); 13] = [
    ("settled", Flag::Settled),
    ("declined", Flag::Declined),
    ("voided", Flag::Voided),
    ("gone", Flag::Gone),
    ("in-sla", Flag::InSla),
    ("late", Flag::Late),
    ("replayed", Flag::Replayed),
    ("ran", Flag::Ran),
    ("called", Flag::Called),
    ("skipped", Flag::Skipped),
    ("repeat", Flag::Repeat),
    ("last", Flag::Last),
    ("referenced", Flag::Referenced),
];

const WORDS: [(&str, Word); 7] = [
    ("product", Word::Product),
    ("customer", Word::Customer),
    ("node", Word::Node),
    ("reason", Word::Reason),
    ("step", Word::Step),
    ("key", Word::Key),
    ("name", Word::Name),
];

const FIGURES: [(&str, Figure); 11] = [
    ("wait", Figure::Wait),
    ("run", Figure::Run),
    ("unread", Figure::Unread),
    ("answer", Figure::Answer),
    ("hint", Figure::Hint),
    ("keep-off", Figure::KeepOff),
    ("memory", Figure::Memory),
    ("rank", Figure::Rank),
    ("caller", Figure::Caller),
    ("value", Figure::Value),
    ("at", Figure::At),
];

/// In us and bytes.
const UNITS: [(&str, f64); 9] = [
    ("us", 1.0),
    ("B", 1.0),
    ("ms", 1e3),
    ("s", 1e6),
    ("m", 60e6),
    ("min", 60e6),
    ("h", 3600e6),
    ("KB", 1024.0),
    ("MB", 1_048_576.0),
];

/// Where an expression is wrong, counted in characters from 1, and what could stand there.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("column {column}: {what}")]
pub struct Wrong {
    pub column: usize,
    pub what: String,
}

/// How deep parentheses may nest: what reads them is a recursion.
const DEEPEST: usize = 64;

/// Reads an expression; an empty one is all txns.
pub fn parse(text: &str) -> Result<Expr, Wrong> {
    if text.trim().is_empty() {
        return Ok(Expr::All);
    }
    // Text in quotes may hold any bracket, so this counts too many rather than too few.
    let mut depth = 0usize;
    for (at, c) in text.chars().enumerate() {
        depth = match c {
            '(' => depth + 1,
            ')' => depth.saturating_sub(1),
            _ => depth,
        };
        if depth > DEEPEST || text.len() > 1 << 14 {
            return Err(Wrong { column: at + 1, what: "too long or too deeply nested".into() });
        }
    }
    if text.split_whitespace().filter(|w| *w == "not").count() > DEEPEST {
        return Err(Wrong { column: 1, what: "too many times 'not'".into() });
    }
    delimited(multispace0, either, multispace0).parse(text).map_err(|wrong| {
        let column = text[..wrong.offset().min(text.len())].chars().count() + 1;
        let wanted = wrong.inner().to_string().replace('\n', ", ");
        let rest = &text[wrong.offset().min(text.len())..];
        let found = match rest.split_whitespace().next() {
            Some(word) => format!("'{word}'"),
            None => "the end".into(),
        };
        let what = if wanted.is_empty() {
            format!("{found} does not belong here; 'and' or 'or' would")
        } else {
            format!("found {found}, {wanted}")
        };
        Wrong { column, what }
    })
}

fn wanted(what: &'static str) -> StrContext {
    StrContext::Expected(StrContextValue::Description(what))
}

fn letter(c: char) -> bool {
    c.is_alphanumeric() || "-_.*?:/".contains(c)
}

/// A whole word, so that `ranking` does not begin with `ran`.
fn bare<'a>(input: &mut &'a str) -> ModalResult<&'a str> {
    take_while(1.., letter).parse_next(input)
}

fn keyword<'a>(word: &'static str) -> impl Parser<&'a str, (), ErrMode<ContextError>> {
    delimited(multispace0, bare.verify(move |found: &str| found == word), multispace0).void()
}

fn either(input: &mut &str) -> ModalResult<Expr> {
    let first = both.parse_next(input)?;
    let mut more: Vec<Expr> = repeat(0.., preceded(keyword("or"), cut_err(both))).parse_next(input)?;
    more.insert(0, first);
    Ok(if more.len() == 1 { more.swap_remove(0) } else { Expr::Either(more) })
}

fn both(input: &mut &str) -> ModalResult<Expr> {
    let first = one.parse_next(input)?;
    let mut more: Vec<Expr> = repeat(0.., preceded(keyword("and"), cut_err(one))).parse_next(input)?;
    more.insert(0, first);
    Ok(if more.len() == 1 { more.swap_remove(0) } else { Expr::Both(more) })
}

fn one(input: &mut &str) -> ModalResult<Expr> {
    alt((
        preceded(keyword("not"), cut_err(one)).map(|inner| Expr::Not(Box::new(inner))),
        delimited(('(', multispace0), cut_err(either), cut_err((multispace0, ')').context(wanted("')'")))),
        test,
    ))
    .context(wanted("a test such as declined, product = NAME or wait > 200ms"))
    .parse_next(input)
}

fn test(input: &mut &str) -> ModalResult<Expr> {
    let begin = *input;
    let word = bare.parse_next(input)?;
    if let Some((_, flag)) = FLAGS.iter().find(|(name, _)| *name == word) {
        return Ok(Expr::Flag(*flag));
    }
    multispace0.parse_next(input)?;
    if let Some((_, what)) = WORDS.iter().find(|(name, _)| *name == word) {
        let how = cut_err(alt((
            "!=".value(Match::IsNot),
            "!~".value(Match::Unlike),
            "=".value(Match::Is),
            "~".value(Match::Like),
        )))
        .context(wanted("=, !=, ~ or !~"))
        .parse_next(input)?;
        let text = cut_err(preceded(multispace0, alt((quoted, bare))))
            .context(wanted("a name, in quotes if it has blanks"))
            .parse_next(input)?;
        return Ok(Expr::Word(*what, how, text.into()));
    }
    if let Some((_, what)) = FIGURES.iter().find(|(name, _)| *name == word) {
        let how = cut_err(alt((
            "<=".value(Order::UpTo),
            ">=".value(Order::From),
            "!=".value(Order::Other),
            "<".value(Order::Below),
            ">".value(Order::Above),
            "=".value(Order::Equal),
        )))
        .context(wanted("<, <=, =, !=, >= or >"))
        .parse_next(input)?;
        let value = cut_err(preceded(multispace0, amount))
            .context(wanted("a number with a unit: us, ms, s, m, h, KB or MB"))
            .parse_next(input)?;
        return Ok(Expr::Figure(*what, how, value));
    }
    *input = begin;
    Err(ErrMode::Backtrack(ContextError::new()))
}

fn quoted<'a>(input: &mut &'a str) -> ModalResult<&'a str> {
    delimited('"', take_until(0.., '"'), '"').parse_next(input)
}

fn amount(input: &mut &str) -> ModalResult<f64> {
    let number: f64 = float.verify(|n: &f64| n.is_finite()).parse_next(input)?;
    let letters = |input: &mut &str| -> ModalResult<f64> {
        let known = |unit: &str| UNITS.iter().find(|(name, _)| *name == unit).map(|(_, size)| *size);
        take_while(1.., |c: char| c.is_alphabetic()).verify_map(known).parse_next(input)
    };
    // A word behind a blank is a unit only if it is a known one.
    if input.starts_with(|c: char| c.is_alphabetic()) {
        return letters.map(|unit| number * unit).parse_next(input);
    }
    let unit = opt(preceded(' ', letters)).parse_next(input)?;
    Ok(number * unit.unwrap_or(1.0))
}

/// A span of time by itself, as in `30m` or `1h30m`; seconds where no unit stands. In us.
pub fn parse_span(text: &str) -> Option<i64> {
    let plain = text.trim();
    if let Ok(seconds) = plain.parse::<f64>() {
        return seconds.is_finite().then_some((seconds * 1e6) as i64);
    }
    let (mut rest, mut sum) = (plain, 0.0);
    while !rest.is_empty() {
        sum += amount.parse_next(&mut rest).ok()?;
    }
    Some(sum as i64)
}

/// `*` for any characters, `?` for one.
pub fn like(pattern: &str, text: &str) -> bool {
    let (p, t): (Vec<char>, Vec<char>) = (pattern.chars().collect(), text.chars().collect());
    let (mut at, mut from, mut star, mut mark) = (0, 0, None, 0);
    while from < t.len() {
        if at < p.len() && (p[at] == '?' || p[at] == t[from]) && p[at] != '*' {
            (at, from) = (at + 1, from + 1);
        } else if at < p.len() && p[at] == '*' {
            (star, mark) = (Some(at), from);
            at += 1;
        } else if let Some(back) = star {
            mark += 1;
            (at, from) = (back + 1, mark);
        } else {
            return false;
        }
    }
    p[at..].iter().all(|c| *c == '*')
}

/// What a block's head says of its rows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Judged {
    None,
    Some,
    All,
}

impl Judged {
    fn of(all: impl Iterator<Item = bool>) -> Judged {
        let (mut any, mut every) = (false, true);
        for one in all {
            (any, every) = (any || one, every && one);
        }
        match (any, every) {
            (false, _) => Judged::None,
            (true, true) => Judged::All,
            _ => Judged::Some,
        }
    }
    fn bound(some: bool) -> Judged {
        if some {
            Judged::Some
        } else {
            Judged::None
        }
    }
}

impl Match {
    fn holds(self, wanted: &str, found: &str) -> bool {
        match self {
            Match::Is => wanted == found,
            Match::IsNot => wanted != found,
            Match::Like => like(wanted, found),
            Match::Unlike => !like(wanted, found),
        }
    }
}

impl Order {
    fn holds(self, found: f64, wanted: f64) -> bool {
        match self {
            Order::Below => found < wanted,
            Order::UpTo => found <= wanted,
            Order::Above => found > wanted,
            Order::From => found >= wanted,
            Order::Equal => found == wanted,
            Order::Other => found != wanted,
        }
    }
    /// Whether any number from `low` to `high` could hold.
    fn could(self, low: f64, high: f64, wanted: f64) -> bool {
        match self {
            Order::Below => low < wanted,
            Order::UpTo => low <= wanted,
            Order::Above => high > wanted,
            Order::From => high >= wanted,
            Order::Equal => low <= wanted && wanted <= high,
            Order::Other => low != wanted || high != wanted,
        }
    }
}

fn path_has(flag: Flag, path: &Path) -> Option<bool> {
    let fate = path.fate().step();
    Some(match flag {
        Flag::Settled => fate.is_settled(),
        Flag::Declined => fate.is_declined(),
        Flag::Voided => fate.is_voided(),
        Flag::Gone => path.steps().any(|s| s == Step::GONE),
        Flag::InSla => fate == Step::SETTLED,
        Flag::Late => fate == Step::SETTLED_LATE,
        Flag::Replayed => path.steps().any(|s| s == Step::REPLAYED),
        Flag::Ran => path.steps().any(|s| s == Step::RUN),
        Flag::Called => path.steps().any(|s| s == Step::CALL || s == Step::CALL_AGAIN),
        Flag::Skipped => path.steps().any(|s| s == Step::CALL_SKIPPED),
        Flag::Repeat | Flag::Last | Flag::Referenced => return None,
    })
}

/// Whether a path is a word's match, for words that a path tells.
fn path_word(word: Word, how: Match, text: &str, path: &Path) -> Option<bool> {
    match word {
        Word::Reason => {
            let reason = path.fate().step().reason().map_or("", |reason| reason.text());
            Some(how.holds(text, reason))
        }
        // Unlike means: none of them is like it.
        Word::Step => Some(match how {
            Match::Is | Match::Like => path.steps().any(|step| how.holds(text, &step.text())),
            Match::IsNot | Match::Unlike => path.steps().all(|step| how.holds(text, &step.text())),
        }),
        _ => None,
    }
}

impl Expr {
    /// Whether a row is meant. `begin` is when the trace begins, us.
    pub fn holds(&self, row: &Row, names: &Names, begin: i64) -> bool {
        match self {
            Expr::All => true,
            Expr::Not(inner) => !inner.holds(row, names, begin),
            Expr::Both(all) => all.iter().all(|one| one.holds(row, names, begin)),
            Expr::Either(all) => all.iter().any(|one| one.holds(row, names, begin)),
            Expr::Flag(flag) => path_has(*flag, names.steps(row.path)).unwrap_or_else(|| match flag {
                Flag::Repeat => row.repeat(),
                Flag::Last => row.last(),
                _ => row.key != 0,
            }),
            Expr::Word(word, how, text) => {
                let path = names.steps(row.path);
                path_word(*word, *how, text, path).unwrap_or_else(|| match word {
                    Word::Product => how.holds(text, &names.terms(row.product).name),
                    Word::Customer => how.holds(text, names.text(row.customer)),
                    Word::Node => how.holds(text, names.text(row.node)),
                    Word::Key => how.holds(text, &format!("{:012x}", row.key)),
                    _ => how.holds(text, &format!("{:08x}", row.name)),
                })
            }
            Expr::Figure(figure, order, wanted) => {
                let path = names.steps(row.path);
                let found = match figure {
                    Figure::Wait => row.wait(path) as f64,
                    Figure::Run => match row.took(path) {
                        Some(took) => took as f64,
                        None => return false,
                    },
                    Figure::Answer => match row.answered(path) {
                        Some(took) => took as f64,
                        None => return false,
                    },
                    Figure::Unread => row.unread.into(),
                    Figure::Hint => row.hint.into(),
                    Figure::KeepOff => f64::from(row.keep_off) * 1e3,
                    Figure::Memory => row.memory.into(),
                    Figure::Rank => f64::from(row.rank) / 64.0,
                    Figure::Caller => row.caller.into(),
                    Figure::Value => row.value(names.terms(row.product)),
                    Figure::At => (row.read - begin) as f64,
                };
                order.holds(found, *wanted)
            }
        }
    }

    /// What the head of a block tells of its rows without reading them.
    pub fn judge(&self, head: &Head, names: &Names, begin: i64) -> Judged {
        match self {
            Expr::All => Judged::All,
            Expr::Not(inner) => match inner.judge(head, names, begin) {
                Judged::None => Judged::All,
                Judged::Some => Judged::Some,
                Judged::All => Judged::None,
            },
            Expr::Both(all) => {
                let parts: Vec<Judged> = all.iter().map(|one| one.judge(head, names, begin)).collect();
                if parts.contains(&Judged::None) {
                    Judged::None
                } else if parts.iter().all(|part| *part == Judged::All) {
                    Judged::All
                } else {
                    Judged::Some
                }
            }
            Expr::Either(all) => {
                let parts: Vec<Judged> = all.iter().map(|one| one.judge(head, names, begin)).collect();
                if parts.contains(&Judged::All) {
                    Judged::All
                } else if parts.iter().all(|part| *part == Judged::None) {
                    Judged::None
                } else {
                    Judged::Some
                }
            }
            Expr::Flag(flag) => {
                let told: Option<Vec<bool>> =
                    head.paths.iter().map(|path| path_has(*flag, names.steps(*path))).collect();
                told.map_or(Judged::Some, |told| Judged::of(told.into_iter()))
            }
            Expr::Word(word, how, text) => match word {
                Word::Product => {
                    Judged::of(head.products.iter().map(|p| how.holds(text, &names.terms(*p).name)))
                }
                Word::Customer => Judged::of(head.customers.iter().map(|c| how.holds(text, names.text(*c)))),
                Word::Node => Judged::of(head.nodes.iter().map(|n| how.holds(text, names.text(*n)))),
                Word::Reason | Word::Step => Judged::of(
                    head.paths
                        .iter()
                        .map(|path| path_word(*word, *how, text, names.steps(*path)).unwrap_or(true)),
                ),
                Word::Key | Word::Name => Judged::Some,
            },
            Expr::Figure(figure, order, wanted) => match figure {
                Figure::Wait => Judged::bound(order.could(0.0, head.longest_wait as f64, *wanted)),
                Figure::Run => Judged::bound(order.could(0.0, head.longest_run as f64, *wanted)),
                Figure::At => {
                    let (low, high) = ((head.from - begin) as f64, (head.to - begin) as f64);
                    match (
                        order.could(low, high, *wanted),
                        order.holds(low, *wanted),
                        order.holds(high, *wanted),
                    ) {
                        (false, ..) => Judged::None,
                        (_, true, true) if !matches!(order, Order::Other) => Judged::All,
                        _ => Judged::Some,
                    }
                }
                _ => Judged::Some,
            },
        }
    }
}

#[cfg(test)]
mod tests;

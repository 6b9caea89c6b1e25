//! Query language of traces: `declined and product = bid-submit and wait > 200ms`.
//!
//! ```text
//! or    = and ("or" and)*            and = term ("and" term)*
//! term  = "not" term | "(" or ")" | flag | word = text | number < amount
//! ```
//!
//! An expression is first matched against a block's head, so that most blocks need not be read.

use crate::block::BlockHead;
use crate::row::{Names, Path, Row, Step};
use winnow::ascii::{float, multispace0};
use winnow::combinator::{alt, cut_err, delimited, opt, preceded, repeat};
use winnow::error::{ContextError, ErrMode, StrContext, StrContextValue};
use winnow::token::{take_until, take_while};
use winnow::{ModalResult, Parser};

/// Boolean properties of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flag {
    Settled,
    Declined,
    Voided,
    Gone,
    /// Settled within the SLA time, or after it.
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

/// Fields that are compared as text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TextField {
    Product,
    Customer,
    Node,
    Reason,
    /// Any step, in the notation of `trace cat`.
    Step,
    /// Keyed hashes in hex.
    Key,
    Name,
}

/// Fields that are compared as numbers. Times are in us, memory in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NumberField {
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
    /// Time since the start of the trace.
    At,
}

/// Comparison operators of numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Comparison {
    Less,
    LessOrEqual,
    Greater,
    GreaterOrEqual,
    Equal,
    NotEqual,
}

/// A parsed expression.
#[derive(Clone, Debug, PartialEq)]
pub enum Expr {
    All,
    Flag(Flag),
    Text(TextField, TextMatch, String),
    Number(NumberField, Comparison, f64),
    Not(Box<Expr>),
    And(Vec<Expr>),
    Or(Vec<Expr>),
}

/// Comparison operators of text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TextMatch {
    Equal,
    NotEqual,
    /// `*` matches any characters, `?` one character.
    Like,
    NotLike,
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

const TEXT_FIELDS: [(&str, TextField); 7] = [
    ("product", TextField::Product),
    ("customer", TextField::Customer),
    ("node", TextField::Node),
    ("reason", TextField::Reason),
    ("step", TextField::Step),
    ("key", TextField::Key),
    ("name", TextField::Name),
];

const NUMBER_FIELDS: [(&str, NumberField); 11] = [
    ("wait", NumberField::Wait),
    ("run", NumberField::Run),
    ("unread", NumberField::Unread),
    ("answer", NumberField::Answer),
    ("hint", NumberField::Hint),
    ("keep-off", NumberField::KeepOff),
    ("memory", NumberField::Memory),
    ("rank", NumberField::Rank),
    ("caller", NumberField::Caller),
    ("value", NumberField::Value),
    ("at", NumberField::At),
];

/// Units in us and bytes.
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

/// Syntax error at a column, counted in characters from 1.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("column {column}: {message}")]
pub struct ParseError {
    pub column: usize,
    pub message: String,
}

/// Maximum nesting depth, which bounds the parser's recursion.
const MAX_DEPTH: usize = 64;
/// Maximum length of an expression in bytes.
const MAX_LENGTH_BYTES: usize = 1 << 14;

/// Parses an expression. An empty one selects all requests.
pub fn parse(text: &str) -> Result<Expr, ParseError> {
    if text.trim().is_empty() {
        return Ok(Expr::All);
    }
    // Parentheses in quoted text count as well, so that the limit may reject too early but never too late.
    let mut depth = 0usize;
    for (at, c) in text.chars().enumerate() {
        depth = match c {
            '(' => depth + 1,
            ')' => depth.saturating_sub(1),
            _ => depth,
        };
        if depth > MAX_DEPTH || text.len() > MAX_LENGTH_BYTES {
            return Err(ParseError {
                column: at + 1,
                message: "expression is too long or too deeply nested".into(),
            });
        }
    }
    if text.split_whitespace().filter(|w| *w == "not").count() > MAX_DEPTH {
        return Err(ParseError { column: 1, message: "too many 'not' operators".into() });
    }
    delimited(multispace0, or_expr, multispace0).parse(text).map_err(|error| {
        let column = text[..error.offset().min(text.len())].chars().count() + 1;
        let expected = error.inner().to_string().replace('\n', ", ");
        let rest = &text[error.offset().min(text.len())..];
        let found = match rest.split_whitespace().next() {
            Some(word) => format!("'{word}'"),
            None => "the end".into(),
        };
        let message = if expected.is_empty() {
            format!("unexpected {found}, expected 'and' or 'or'")
        } else {
            format!("found {found}, {expected}")
        };
        ParseError { column, message }
    })
}

fn expected(description: &'static str) -> StrContext {
    StrContext::Expected(StrContextValue::Description(description))
}

fn is_word_char(c: char) -> bool {
    c.is_alphanumeric() || "-_.*?:/".contains(c)
}

/// Parses a whole word, so that `ranking` is not read as `ran`.
fn bare_word<'a>(input: &mut &'a str) -> ModalResult<&'a str> {
    take_while(1.., is_word_char).parse_next(input)
}

fn keyword<'a>(word: &'static str) -> impl Parser<&'a str, (), ErrMode<ContextError>> {
    delimited(multispace0, bare_word.verify(move |found: &str| found == word), multispace0).void()
}

fn or_expr(input: &mut &str) -> ModalResult<Expr> {
    let first = and_expr.parse_next(input)?;
    let mut more: Vec<Expr> = repeat(0.., preceded(keyword("or"), cut_err(and_expr))).parse_next(input)?;
    more.insert(0, first);
    Ok(if more.len() == 1 { more.swap_remove(0) } else { Expr::Or(more) })
}

fn and_expr(input: &mut &str) -> ModalResult<Expr> {
    let first = term.parse_next(input)?;
    let mut more: Vec<Expr> = repeat(0.., preceded(keyword("and"), cut_err(term))).parse_next(input)?;
    more.insert(0, first);
    Ok(if more.len() == 1 { more.swap_remove(0) } else { Expr::And(more) })
}

fn term(input: &mut &str) -> ModalResult<Expr> {
    alt((
        preceded(keyword("not"), cut_err(term)).map(|inner| Expr::Not(Box::new(inner))),
        delimited(('(', multispace0), cut_err(or_expr), cut_err((multispace0, ')').context(expected("')'")))),
        condition,
    ))
    .context(expected("a test such as declined, product = NAME or wait > 200ms"))
    .parse_next(input)
}

fn condition(input: &mut &str) -> ModalResult<Expr> {
    let start = *input;
    let word = bare_word.parse_next(input)?;
    if let Some((_, flag)) = FLAGS.iter().find(|(name, _)| *name == word) {
        return Ok(Expr::Flag(*flag));
    }
    multispace0.parse_next(input)?;
    if let Some((_, field)) = TEXT_FIELDS.iter().find(|(name, _)| *name == word) {
        let operator = cut_err(alt((
            "!=".value(TextMatch::NotEqual),
            "!~".value(TextMatch::NotLike),
            "=".value(TextMatch::Equal),
            "~".value(TextMatch::Like),
        )))
        .context(expected("=, !=, ~ or !~"))
        .parse_next(input)?;
        let text = cut_err(preceded(multispace0, alt((quoted, bare_word))))
            .context(expected("a name, in quotes if it has blanks"))
            .parse_next(input)?;
        return Ok(Expr::Text(*field, operator, text.into()));
    }
    if let Some((_, field)) = NUMBER_FIELDS.iter().find(|(name, _)| *name == word) {
        let operator = cut_err(alt((
            "<=".value(Comparison::LessOrEqual),
            ">=".value(Comparison::GreaterOrEqual),
            "!=".value(Comparison::NotEqual),
            "<".value(Comparison::Less),
            ">".value(Comparison::Greater),
            "=".value(Comparison::Equal),
        )))
        .context(expected("<, <=, =, !=, >= or >"))
        .parse_next(input)?;
        let value = cut_err(preceded(multispace0, number_with_unit))
            .context(expected("a number with a unit: us, ms, s, m, h, KB or MB"))
            .parse_next(input)?;
        return Ok(Expr::Number(*field, operator, value));
    }
    *input = start;
    Err(ErrMode::Backtrack(ContextError::new()))
}

fn quoted<'a>(input: &mut &'a str) -> ModalResult<&'a str> {
    delimited('"', take_until(0.., '"'), '"').parse_next(input)
}

fn number_with_unit(input: &mut &str) -> ModalResult<f64> {
    let number: f64 = float.verify(|n: &f64| n.is_finite()).parse_next(input)?;
    let unit = |input: &mut &str| -> ModalResult<f64> {
        let known = |unit: &str| UNITS.iter().find(|(name, _)| *name == unit).map(|(_, size)| *size);
        take_while(1.., |c: char| c.is_alphabetic()).verify_map(known).parse_next(input)
    };
    // After a space, a word is a unit only if it is a known one.
    if input.starts_with(|c: char| c.is_alphabetic()) {
        return unit.map(|unit| number * unit).parse_next(input);
    }
    let unit = opt(preceded(' ', unit)).parse_next(input)?;
    Ok(number * unit.unwrap_or(1.0))
}

/// Parses a duration such as `30m` or `1h30m`, in seconds without a unit. Returns us.
pub fn parse_span(text: &str) -> Option<i64> {
    let trimmed = text.trim();
    if let Ok(seconds) = trimmed.parse::<f64>() {
        return seconds.is_finite().then_some((seconds * 1e6) as i64);
    }
    let (mut rest, mut sum) = (trimmed, 0.0);
    while !rest.is_empty() {
        sum += number_with_unit.parse_next(&mut rest).ok()?;
    }
    Some(sum as i64)
}

/// Matches text against a pattern: `*` for any characters, `?` for one character.
pub fn glob_matches(pattern: &str, text: &str) -> bool {
    let (pattern, text): (Vec<char>, Vec<char>) = (pattern.chars().collect(), text.chars().collect());
    let (mut pattern_at, mut text_at) = (0, 0);
    let (mut last_star, mut star_end) = (None, 0);
    while text_at < text.len() {
        let symbol = pattern.get(pattern_at).copied();
        if symbol != Some('*') && (symbol == Some('?') || symbol == Some(text[text_at])) {
            (pattern_at, text_at) = (pattern_at + 1, text_at + 1);
        } else if symbol == Some('*') {
            (last_star, star_end) = (Some(pattern_at), text_at);
            pattern_at += 1;
        } else if let Some(star) = last_star {
            star_end += 1;
            (pattern_at, text_at) = (star + 1, star_end);
        } else {
            return false;
        }
    }
    pattern[pattern_at..].iter().all(|symbol| *symbol == '*')
}

/// Rows of a block that an expression selects, as far as the head determines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BlockMatch {
    None,
    Some,
    All,
}

impl BlockMatch {
    fn of(results: impl Iterator<Item = bool>) -> BlockMatch {
        let (mut any, mut every) = (false, true);
        for selected in results {
            (any, every) = (any || selected, every && selected);
        }
        match (any, every) {
            (false, _) => BlockMatch::None,
            (true, true) => BlockMatch::All,
            _ => BlockMatch::Some,
        }
    }
    fn possible(any: bool) -> BlockMatch {
        if any {
            BlockMatch::Some
        } else {
            BlockMatch::None
        }
    }
}

impl TextMatch {
    fn matches(self, wanted: &str, found: &str) -> bool {
        match self {
            TextMatch::Equal => wanted == found,
            TextMatch::NotEqual => wanted != found,
            TextMatch::Like => glob_matches(wanted, found),
            TextMatch::NotLike => !glob_matches(wanted, found),
        }
    }
}

impl Comparison {
    fn matches(self, found: f64, wanted: f64) -> bool {
        match self {
            Comparison::Less => found < wanted,
            Comparison::LessOrEqual => found <= wanted,
            Comparison::Greater => found > wanted,
            Comparison::GreaterOrEqual => found >= wanted,
            Comparison::Equal => found == wanted,
            Comparison::NotEqual => found != wanted,
        }
    }
    /// Returns whether the comparison could hold for a number from `low` to `high`.
    fn could_match(self, low: f64, high: f64, wanted: f64) -> bool {
        match self {
            Comparison::Less => low < wanted,
            Comparison::LessOrEqual => low <= wanted,
            Comparison::Greater => high > wanted,
            Comparison::GreaterOrEqual => high >= wanted,
            Comparison::Equal => low <= wanted && wanted <= high,
            Comparison::NotEqual => low != wanted || high != wanted,
        }
    }
}

fn path_has_flag(flag: Flag, path: &Path) -> Option<bool> {
    let disposition = path.disposition().step();
    Some(match flag {
        Flag::Settled => disposition.is_settled(),
        Flag::Declined => disposition.is_declined(),
        Flag::Voided => disposition.is_voided(),
        Flag::Gone => path.steps().any(|s| s == Step::GONE),
        Flag::InSla => disposition == Step::SETTLED,
        Flag::Late => disposition == Step::SETTLED_LATE,
        Flag::Replayed => path.steps().any(|s| s == Step::REPLAYED),
        Flag::Ran => path.steps().any(|s| s == Step::RUN),
        Flag::Called => path.steps().any(|s| s == Step::CALL || s == Step::CALL_AGAIN),
        Flag::Skipped => path.steps().any(|s| s == Step::CALL_SKIPPED),
        Flag::Repeat | Flag::Last | Flag::Referenced => return None,
    })
}

/// Matches fields that depend on the path alone. Returns `None` for other fields.
fn path_matches(field: TextField, operator: TextMatch, text: &str, path: &Path) -> Option<bool> {
    match field {
        TextField::Reason => {
            let reason = path.disposition().step().reason().map_or("", |reason| reason.text());
            Some(operator.matches(text, reason))
        }
        // A negated match must hold for every step.
        TextField::Step => Some(match operator {
            TextMatch::Equal | TextMatch::Like => {
                path.steps().any(|step| operator.matches(text, &step.text()))
            }
            TextMatch::NotEqual | TextMatch::NotLike => {
                path.steps().all(|step| operator.matches(text, &step.text()))
            }
        }),
        _ => None,
    }
}

impl Expr {
    /// Returns whether a row is selected. `begin` is the start of the trace in us.
    pub fn matches(&self, row: &Row, names: &Names, trace_start: i64) -> bool {
        match self {
            Expr::All => true,
            Expr::Not(inner) => !inner.matches(row, names, trace_start),
            Expr::And(terms) => terms.iter().all(|part| part.matches(row, names, trace_start)),
            Expr::Or(terms) => terms.iter().any(|part| part.matches(row, names, trace_start)),
            Expr::Flag(flag) => path_has_flag(*flag, names.path(row.path)).unwrap_or_else(|| match flag {
                Flag::Repeat => row.repeat(),
                Flag::Last => row.last(),
                _ => row.key != 0,
            }),
            Expr::Text(field, operator, text) => {
                let path = names.path(row.path);
                path_matches(*field, *operator, text, path).unwrap_or_else(|| match field {
                    TextField::Product => operator.matches(text, &names.product(row.product).name),
                    TextField::Customer => operator.matches(text, names.text(row.customer)),
                    TextField::Node => operator.matches(text, names.text(row.node)),
                    TextField::Key => operator.matches(text, &format!("{:012x}", row.key)),
                    _ => operator.matches(text, &format!("{:08x}", row.name)),
                })
            }
            Expr::Number(field, comparison, wanted) => {
                let path = names.path(row.path);
                let found = match field {
                    NumberField::Wait => row.wait(path) as f64,
                    NumberField::Run => match row.run_time(path) {
                        Some(took) => took as f64,
                        None => return false,
                    },
                    NumberField::Answer => match row.response_time(path) {
                        Some(took) => took as f64,
                        None => return false,
                    },
                    NumberField::Unread => row.unread.into(),
                    NumberField::Hint => row.hint.into(),
                    NumberField::KeepOff => f64::from(row.keep_off) * 1e3,
                    NumberField::Memory => row.memory.into(),
                    NumberField::Rank => f64::from(row.rank) / 64.0,
                    NumberField::Caller => row.caller.into(),
                    NumberField::Value => row.value(names.product(row.product)),
                    NumberField::At => (row.read - trace_start) as f64,
                };
                comparison.matches(found, *wanted)
            }
        }
    }

    /// Matches a block by its head alone.
    pub fn match_block(&self, head: &BlockHead, names: &Names, trace_start: i64) -> BlockMatch {
        match self {
            Expr::All => BlockMatch::All,
            Expr::Not(inner) => match inner.match_block(head, names, trace_start) {
                BlockMatch::None => BlockMatch::All,
                BlockMatch::Some => BlockMatch::Some,
                BlockMatch::All => BlockMatch::None,
            },
            Expr::And(terms) => {
                let parts: Vec<BlockMatch> =
                    terms.iter().map(|part| part.match_block(head, names, trace_start)).collect();
                if parts.contains(&BlockMatch::None) {
                    BlockMatch::None
                } else if parts.iter().all(|part| *part == BlockMatch::All) {
                    BlockMatch::All
                } else {
                    BlockMatch::Some
                }
            }
            Expr::Or(terms) => {
                let parts: Vec<BlockMatch> =
                    terms.iter().map(|part| part.match_block(head, names, trace_start)).collect();
                if parts.contains(&BlockMatch::All) {
                    BlockMatch::All
                } else if parts.iter().all(|part| *part == BlockMatch::None) {
                    BlockMatch::None
                } else {
                    BlockMatch::Some
                }
            }
            Expr::Flag(flag) => {
                let matching: Option<Vec<bool>> =
                    head.paths.iter().map(|path| path_has_flag(*flag, names.path(*path))).collect();
                matching.map_or(BlockMatch::Some, |matching| BlockMatch::of(matching.into_iter()))
            }
            Expr::Text(field, operator, text) => {
                match field {
                    TextField::Product => BlockMatch::of(
                        head.products.iter().map(|p| operator.matches(text, &names.product(*p).name)),
                    ),
                    TextField::Customer => {
                        BlockMatch::of(head.customers.iter().map(|c| operator.matches(text, names.text(*c))))
                    }
                    TextField::Node => {
                        BlockMatch::of(head.nodes.iter().map(|n| operator.matches(text, names.text(*n))))
                    }
                    TextField::Reason | TextField::Step => BlockMatch::of(head.paths.iter().map(|path| {
                        path_matches(*field, *operator, text, names.path(*path)).unwrap_or(true)
                    })),
                    TextField::Key | TextField::Name => BlockMatch::Some,
                }
            }
            Expr::Number(field, comparison, wanted) => match field {
                NumberField::Wait => {
                    BlockMatch::possible(comparison.could_match(0.0, head.longest_wait as f64, *wanted))
                }
                NumberField::Run => {
                    BlockMatch::possible(comparison.could_match(0.0, head.longest_run as f64, *wanted))
                }
                NumberField::At => {
                    let (low, high) = ((head.from - trace_start) as f64, (head.to - trace_start) as f64);
                    match (
                        comparison.could_match(low, high, *wanted),
                        comparison.matches(low, *wanted),
                        comparison.matches(high, *wanted),
                    ) {
                        (false, ..) => BlockMatch::None,
                        (_, true, true) if !matches!(comparison, Comparison::NotEqual) => BlockMatch::All,
                        _ => BlockMatch::Some,
                    }
                }
                _ => BlockMatch::Some,
            },
        }
    }
}

#[cfg(test)]
mod tests;

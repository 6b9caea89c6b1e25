//! The grammar of S-expressions.

use std::ops::Range;
use winnow::combinator::{alt, cut_err, delimited, preceded, repeat};
use winnow::error::{ContextError, ErrMode, StrContext, StrContextValue};
use winnow::stream::{LocatingSlice, Location, Stream};
use winnow::token::{any, none_of, one_of, take_till, take_while};
use winnow::{ModalResult, Parser};

use super::Problem;

/// An S-expression.
#[derive(Clone, Debug, PartialEq)]
pub enum Form {
    /// A word or a number with its unit.
    Atom(String),
    /// Text in quotes, its escapes resolved.
    Text(String),
    /// A list of expressions.
    List(Vec<Node>),
}

/// An S-expression and its position in the text.
#[derive(Clone, Debug, PartialEq)]
pub struct Node {
    /// The expression.
    pub form: Form,
    /// Byte range of the expression.
    pub span: Range<usize>,
}

type Input<'a> = LocatingSlice<&'a str>;

/// Largest nesting depth of lists: the parser recurses once for each level.
const MAX_DEPTH: usize = 64;
/// Largest length of a text, in bytes.
const MAX_TEXT_BYTES: usize = 4 << 20;

/// Returns the byte offset at which a text exceeds the parser's limits: 0 if it is too long.
pub(super) fn find_limit_violation(text: &str) -> Option<usize> {
    find_excess_depth(text).or((text.len() > MAX_TEXT_BYTES).then_some(0))
}

fn find_excess_depth(text: &str) -> Option<usize> {
    let mut depth = 0usize;
    for (position, character) in text.char_indices() {
        depth = match character {
            '(' => depth + 1,
            ')' => depth.saturating_sub(1),
            _ => depth,
        };
        if depth > MAX_DEPTH {
            return Some(position);
        }
    }
    None
}

/// Parses expressions up to the end of the text or the first syntax error, which is returned with its byte offset.
pub(super) fn parse_forms(text: &str) -> (Vec<Node>, Option<(usize, Problem)>) {
    let mut input = LocatingSlice::new(text);
    let mut forms = Vec::new();
    loop {
        if blank.parse_next(&mut input).is_err() || input.is_empty() {
            return (forms, None);
        }
        let begin = input.checkpoint();
        match node.parse_next(&mut input) {
            Ok(form) => forms.push(form),
            Err(error) => {
                let position = input.current_token_start();
                input.reset(&begin);
                return (forms, Some((position, describe_error(error, &mut input))));
            }
        }
    }
}

/// Converts the parser's error for the expression at the start of `input`.
fn describe_error(error: ErrMode<ContextError>, input: &mut Input) -> Problem {
    if any::<_, ContextError>.parse_next(input).ok() == Some(')') {
        return Problem::UnmatchedParenthesis;
    }
    let message = error.into_inner().map(|context| context.to_string()).unwrap_or_default();
    if message.is_empty() {
        return Problem::Unreadable;
    }
    Problem::Syntax(message.replace('\n', ", "))
}

fn expected(description: &'static str) -> StrContext {
    StrContext::Expected(StrContextValue::Description(description))
}

fn blank(input: &mut Input) -> ModalResult<()> {
    let comment = (';', take_till(0.., '\n')).void();
    let space = take_while(1.., char::is_whitespace).void();
    repeat(0.., alt((space, comment))).parse_next(input)
}

fn list(input: &mut Input) -> ModalResult<Form> {
    let close = preceded(blank, ')').context(expected("')' to close the list that begins further up"));
    delimited('(', repeat(0.., preceded(blank, node)), cut_err(close)).map(Form::List).parse_next(input)
}

fn text(input: &mut Input) -> ModalResult<Form> {
    let escape =
        preceded('\\', cut_err(one_of(['"', '\\', 'n', 't'])).context(expected("one of \\\" \\\\ \\n \\t")));
    let escaped = escape.map(|character| match character {
        'n' => '\n',
        't' => '\t',
        other => other,
    });
    let characters = repeat(0.., alt((none_of(['"', '\\']), escaped)));
    delimited('"', characters, cut_err('"').context(expected("'\"' to close the text")))
        .map(Form::Text)
        .parse_next(input)
}

fn atom(input: &mut Input) -> ModalResult<Form> {
    let allowed = |character: char| !character.is_whitespace() && !"()\";".contains(character);
    take_while(1.., allowed).map(|word: &str| Form::Atom(word.into())).parse_next(input)
}

fn node(input: &mut Input) -> ModalResult<Node> {
    alt((list, text, atom)).with_span().map(|(form, span)| Node { form, span }).parse_next(input)
}

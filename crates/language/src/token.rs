//! Splits a statement into words, quoted texts and comparison signs.

use winnow::Parser;
use winnow::ascii::multispace0;
use winnow::combinator::{alt, cut_err, delimited, preceded, repeat};
use winnow::error::{ContextError, ErrMode};
use winnow::stream::{LocatingSlice, Stream};
use winnow::token::{any, none_of, one_of, take_while};

use crate::error::{Found, ParseError};

/// Characters of words besides letters and digits.
const WORD_SIGNS: &str = "_.:/-%[]";

/// What a token is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum TokenKind {
    /// A word or number, without quotes.
    Word(String),
    /// A text in quotes, which are taken off.
    Quoted(String),
    /// A comparison sign.
    Sign(String),
}

/// A token with its place.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Token {
    pub(crate) kind: TokenKind,
    /// Where it begins, in characters from 1.
    pub(crate) column: usize,
    /// Its length in characters.
    pub(crate) length: usize,
}

type Input<'a> = LocatingSlice<&'a str>;
type LexResult<T> = Result<T, ErrMode<ContextError>>;

/// Whether `character` may stand in a word without quotes.
fn is_word_character(character: char) -> bool {
    character.is_ascii_alphanumeric() || WORD_SIGNS.contains(character)
}

/// Whether `text` can be written without quotes.
pub(crate) fn is_plain_word(text: &str) -> bool {
    !text.is_empty() && text.chars().all(is_word_character)
}

fn word(input: &mut Input<'_>) -> LexResult<TokenKind> {
    take_while(1.., is_word_character)
        .map(|text: &str| TokenKind::Word(text.to_owned()))
        .parse_next(input)
}

fn sign(input: &mut Input<'_>) -> LexResult<TokenKind> {
    alt(("!=", "<=", ">=", "=", "<", ">"))
        .map(|text: &str| TokenKind::Sign(text.to_owned()))
        .parse_next(input)
}

/// A text in double quotes; a backslash takes the next quote or backslash as it is.
fn quoted(input: &mut Input<'_>) -> LexResult<TokenKind> {
    let escaped = preceded('\\', one_of(['"', '\\']));
    let character = alt((escaped, none_of(['"', '\\'])));
    let characters = repeat(0.., character);
    delimited('"', cut_err(characters), cut_err('"'))
        .map(TokenKind::Quoted)
        .parse_next(input)
}

/// The tokens of `statement`.
pub(crate) fn tokens(statement: &str) -> Result<Vec<Token>, ParseError> {
    let mut input = LocatingSlice::new(statement);
    let mut tokens = Vec::new();
    loop {
        let _: LexResult<&str> = multispace0.parse_next(&mut input);
        if input.is_empty() {
            return Ok(tokens);
        }
        let start = winnow::stream::Location::current_token_start(&input);
        let checkpoint = input.checkpoint();
        let kind = alt((quoted, word, sign)).parse_next(&mut input);
        let Ok(kind) = kind else {
            input.reset(&checkpoint);
            return Err(lexical_error(statement, start, &mut input));
        };
        let end = winnow::stream::Location::previous_token_end(&input);
        tokens.push(Token {
            kind,
            column: statement[..start].chars().count() + 1,
            length: statement[start..end].chars().count(),
        });
    }
}

/// The error for text at byte `start` that begins no token.
fn lexical_error(statement: &str, start: usize, input: &mut Input<'_>) -> ParseError {
    let first: LexResult<char> = any.parse_next(input);
    let first = first.unwrap_or_default();
    let (expected, length) = match first {
        '"' => (
            "a closing quote; only \\\" and \\\\ are escapes",
            statement[start..].chars().count(),
        ),
        _ => ("a word, a quoted text or a comparison", 1),
    };
    ParseError {
        column: statement[..start].chars().count() + 1,
        length,
        expected: expected.to_owned(),
        found: Found::Token(statement[start..].chars().take(length).collect()),
        suggestion: None,
    }
}

//! Reads tokens one by one; each read says what it expects.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::str::FromStr;

use driftspring_types::{MAX_NAME_BYTES, closest_word, is_valid_name};

use crate::error::{Found, ParseError};
use crate::token::{Token, TokenKind};
use crate::value::Percent;

/// A place in the tokens of a statement.
pub(super) struct Cursor<'a> {
    tokens: &'a [Token],
    next: usize,
    end_column: usize,
}

pub(super) type Parsed<T> = Result<T, ParseError>;

impl<'a> Cursor<'a> {
    pub(super) fn new(statement: &str, tokens: &'a [Token]) -> Self {
        Self {
            tokens,
            next: 0,
            end_column: statement.trim_end().chars().count() + 1,
        }
    }

    pub(super) fn peek(&self) -> Option<&'a Token> {
        self.tokens.get(self.next)
    }

    pub(super) fn advance(&mut self) {
        self.next += 1;
    }

    /// The error that the next token isn't what was expected.
    pub(super) fn error(&self, expected: impl Into<String>) -> ParseError {
        let (column, length, found) = match self.peek() {
            Some(token) => {
                let text = match &token.kind {
                    TokenKind::Word(text) | TokenKind::Quoted(text) | TokenKind::Sign(text) => text,
                };
                (token.column, token.length, Found::Token(text.clone()))
            }
            None => (self.end_column, 1, Found::End),
        };
        ParseError {
            column,
            length,
            expected: expected.into(),
            found,
            suggestion: None,
        }
    }

    /// The next token where it is a word.
    pub(super) fn peek_word(&self) -> Option<&'a str> {
        match &self.peek()?.kind {
            TokenKind::Word(word) => Some(word),
            TokenKind::Quoted(_) | TokenKind::Sign(_) => None,
        }
    }

    /// Reads one of several keywords, in any case.
    pub(super) fn choice<T: Copy>(&mut self, choices: &[(&str, T)]) -> Parsed<T> {
        let word = match self.peek().map(|token| &token.kind) {
            Some(TokenKind::Word(word) | TokenKind::Sign(word)) => Some(word.as_str()),
            Some(TokenKind::Quoted(_)) | None => None,
        };
        let chosen = choices
            .iter()
            .find(|(known, _)| word.is_some_and(|word| known.eq_ignore_ascii_case(word)));
        if let Some((_, value)) = chosen {
            self.advance();
            return Ok(*value);
        }
        let known: Vec<&str> = choices.iter().map(|(known, _)| *known).collect();
        let mut error = self.error(list_of_words(&known));
        let lower_case = word.map(str::to_ascii_lowercase);
        error.suggestion = lower_case
            .and_then(|word| closest_word(&word, known.iter().copied()).map(str::to_owned));
        Err(error)
    }

    /// Reads one of several keywords, or nothing at the statement's end.
    pub(super) fn choice_or_end<T: Copy>(&mut self, choices: &[(&str, T)]) -> Parsed<Option<T>> {
        if self.peek().is_none() {
            return Ok(None);
        }
        if choices.is_empty() {
            return Err(self.error("the end of the statement"));
        }
        let chosen = self.choice(choices).map_err(|mut error| {
            error.expected.push_str(" or the end of the statement");
            error
        });
        chosen.map(Some)
    }

    pub(super) fn keyword(&mut self, keyword: &str) -> Parsed<()> {
        self.choice(&[(keyword, ())])
    }

    pub(super) fn end(&mut self) -> Parsed<()> {
        self.choice_or_end::<()>(&[]).map(|_| ())
    }

    /// Reads a name; `what` says of what.
    pub(super) fn name(&mut self, what: &str) -> Parsed<String> {
        let name = match self.peek().map(|token| &token.kind) {
            Some(TokenKind::Word(text) | TokenKind::Quoted(text)) if is_valid_name(text) => {
                text.clone()
            }
            _ => {
                return Err(self.error(format!(
                    "{what}: 1 to {MAX_NAME_BYTES} letters, digits, \".\", \"_\" or \"-\""
                )));
            }
        };
        self.advance();
        Ok(name)
    }

    /// Reads a text of one word or in quotes.
    pub(super) fn text(&mut self, what: &str) -> Parsed<String> {
        let text = match self.peek().map(|token| &token.kind) {
            Some(TokenKind::Word(text) | TokenKind::Quoted(text)) if !text.is_empty() => {
                text.clone()
            }
            _ => return Err(self.error(what)),
        };
        self.advance();
        Ok(text)
    }

    /// Reads a whole number within `range`.
    pub(super) fn number<T>(&mut self, what: &str, range: RangeInclusive<T>) -> Parsed<T>
    where
        T: FromStr + PartialOrd + std::fmt::Display,
    {
        let parsed = self
            .peek_word()
            .and_then(|word| word.parse().ok())
            .filter(|number| range.contains(number));
        let Some(number) = parsed else {
            let (from, to) = range.into_inner();
            return Err(self.error(format!("{what}: a whole number from {from} to {to}")));
        };
        self.advance();
        Ok(number)
    }

    /// Reads a share such as `20%`.
    pub(super) fn percent(&mut self, what: &str) -> Parsed<Percent> {
        let parsed = self
            .peek_word()
            .and_then(|word| word.strip_suffix('%'))
            .and_then(|number| number.parse().ok())
            .and_then(Percent::new);
        let Some(percent) = parsed else {
            return Err(self.error(format!("{what}: a share from 0% to 100%, such as 20%")));
        };
        self.advance();
        Ok(percent)
    }

    /// Reads an IP address with a port.
    pub(super) fn address(&mut self, what: &str) -> Parsed<SocketAddr> {
        let Some(address) = self.peek_word().and_then(|word| word.parse().ok()) else {
            let expected = format!("{what}: an IP address with a port such as 10.0.0.9:8000");
            return Err(self.error(expected));
        };
        self.advance();
        Ok(address)
    }
}

fn list_of_words(words: &[&str]) -> String {
    match words {
        [word] => format!("{word:?}"),
        words => format!("one of {}", words.join(", ")),
    }
}

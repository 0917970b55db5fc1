//! A settings document under check: the parsed file, the flags that override it and the errors found.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;

use driftspring_types::closest_word;
use toml::de::{DeTable, DeValue};

use crate::error::{Origin, Problem, SettingError};
use crate::flags::Overrides;
use crate::values::{RawValue, Refusal};

/// The file's text, the flags and what was found wrong so far.
pub(crate) struct Document<'a> {
    text: &'a str,
    overrides: BTreeMap<&'a str, &'a str>,
    known_keys: RefCell<BTreeSet<String>>,
    errors: RefCell<Vec<SettingError>>,
}

impl<'a> Document<'a> {
    pub(crate) fn new(text: &'a str, overrides: &'a Overrides) -> Self {
        Self {
            text,
            overrides: overrides.iter().collect(),
            known_keys: RefCell::new(BTreeSet::new()),
            errors: RefCell::new(Vec::new()),
        }
    }

    /// The place of a byte range of the file.
    pub(crate) fn place(&self, span: &Range<usize>) -> Origin {
        let before = self.text.get(..span.start).unwrap_or(self.text);
        let line_start = before.rfind('\n').map_or(0, |newline| newline + 1);
        Origin::File {
            line: before.matches('\n').count() + 1,
            column: before[line_start..].chars().count() + 1,
        }
    }

    pub(crate) fn report(&self, origin: Origin, key: impl Into<String>, problem: Problem) {
        let key = key.into();
        self.errors.borrow_mut().push(SettingError {
            origin,
            key,
            problem,
        });
    }

    /// Every error found, in the order of the file, flags last.
    pub(crate) fn into_errors(self) -> Vec<SettingError> {
        self.report_unknown_flags();
        let mut errors = self.errors.into_inner();
        errors.sort_by_key(|error| match error.origin {
            Origin::File { line, column } => (line, column),
            Origin::Flag => (usize::MAX, usize::MAX),
        });
        errors
    }

    fn report_unknown_flags(&self) {
        let known = self.known_keys.borrow();
        for key in self.overrides.keys().filter(|key| !known.contains(**key)) {
            let suggestion = closest_word(key, known.iter().map(String::as_str));
            let suggestion = suggestion.map(str::to_owned);
            self.report(Origin::Flag, *key, Problem::UnknownKey { suggestion });
        }
    }
}

/// One table of the document; a table that isn't there reads as an empty one.
pub(crate) struct Section<'a> {
    document: &'a Document<'a>,
    path: String,
    origin: Origin,
    table: Option<&'a DeTable<'a>>,
    known_keys: RefCell<BTreeSet<&'static str>>,
}

impl<'a> Section<'a> {
    /// The document's top level.
    pub(crate) fn root(document: &'a Document<'a>, table: &'a DeTable<'a>) -> Self {
        let origin = Origin::File { line: 1, column: 1 };
        Self::new(document, String::new(), origin, Some(table))
    }

    fn new(
        document: &'a Document<'a>,
        path: String,
        origin: Origin,
        table: Option<&'a DeTable<'a>>,
    ) -> Self {
        Self {
            document,
            path,
            origin,
            table,
            known_keys: RefCell::new(BTreeSet::new()),
        }
    }

    /// The full name of `key` in this table.
    pub(crate) fn full_key(&self, key: &str) -> String {
        match self.path.as_str() {
            "" => key.to_owned(),
            path => format!("{path}.{key}"),
        }
    }

    /// The value of `key` with its place; a flag goes before the file.
    fn raw(&self, key: &'static str) -> Option<(RawValue<'a>, Origin)> {
        let full_key = self.full_key(key);
        self.known_keys.borrow_mut().insert(key);
        let flag = self.document.overrides.get(full_key.as_str()).copied();
        self.document.known_keys.borrow_mut().insert(full_key);
        if let Some(text) = flag {
            return Some((RawValue::Flag(text), Origin::Flag));
        }
        let value = self.table?.get(key)?;
        let origin = self.document.place(&value.span());
        Some((RawValue::File(value.get_ref()), origin))
    }

    /// Where the value of `key` stands, or else this table.
    pub(crate) fn origin_of(&self, key: &'static str) -> Origin {
        self.raw(key)
            .map_or_else(|| self.origin.clone(), |(_, origin)| origin)
    }

    /// The converted value of `key`; nothing where it isn't given or is refused.
    pub(crate) fn optional<T>(
        &self,
        key: &'static str,
        convert: impl FnOnce(RawValue<'a>) -> Result<T, Refusal>,
    ) -> Option<T> {
        let (raw, origin) = self.raw(key)?;
        self.converted(raw, origin, self.full_key(key), convert)
    }

    fn converted<T>(
        &self,
        raw: RawValue<'a>,
        origin: Origin,
        key: String,
        convert: impl FnOnce(RawValue<'a>) -> Result<T, Refusal>,
    ) -> Option<T> {
        match convert(raw) {
            Ok(value) => Some(value),
            Err(refusal) => {
                let problem = Problem::Invalid {
                    expected: refusal.expected,
                    found: raw.describe(),
                    suggestion: refusal.suggestion,
                };
                self.document.report(origin, key, problem);
                None
            }
        }
    }

    /// The converted value of `key`, or `default`.
    pub(crate) fn or_default<T>(
        &self,
        key: &'static str,
        default: T,
        convert: impl FnOnce(RawValue<'a>) -> Result<T, Refusal>,
    ) -> T {
        self.optional(key, convert).unwrap_or(default)
    }

    /// The converted value of `key`; its absence is an error. `expected` says what is missing.
    pub(crate) fn required<T>(
        &self,
        key: &'static str,
        expected: &str,
        convert: impl FnOnce(RawValue<'a>) -> Result<T, Refusal>,
    ) -> Option<T> {
        if self.raw(key).is_none() {
            let expected = expected.to_owned();
            let problem = Problem::Missing { expected };
            self.document
                .report(self.origin.clone(), self.full_key(key), problem);
        }
        self.optional(key, convert)
    }

    /// The converted elements of a list; a flag gives them separated by commas.
    pub(crate) fn list<T>(
        &self,
        key: &'static str,
        convert: impl Fn(RawValue<'a>) -> Result<T, Refusal>,
    ) -> Vec<T> {
        let Some((raw, origin)) = self.raw(key) else {
            return Vec::new();
        };
        let elements: Vec<(RawValue<'a>, Origin)> = match raw {
            RawValue::Flag(text) => text
                .split(',')
                .map(|element| (RawValue::Flag(element.trim()), Origin::Flag))
                .collect(),
            RawValue::File(DeValue::Array(array)) => array
                .iter()
                .map(|value| {
                    let place = self.document.place(&value.span());
                    (RawValue::File(value.get_ref()), place)
                })
                .collect(),
            RawValue::File(_) => {
                self.refuse(key, raw, origin, "a list");
                return Vec::new();
            }
        };
        elements
            .into_iter()
            .enumerate()
            .filter_map(|(index, (raw, origin))| {
                let element_key = format!("{}[{index}]", self.full_key(key));
                self.converted(raw, origin, element_key, &convert)
            })
            .collect()
    }

    /// The table `key` within this one.
    pub(crate) fn section(&self, key: &'static str) -> Section<'a> {
        self.known_keys.borrow_mut().insert(key);
        let value = self.table.and_then(|table| table.get(key));
        let origin = value.map_or_else(
            || self.origin.clone(),
            |value| self.document.place(&value.span()),
        );
        let table = value.and_then(|value| value.get_ref().as_table());
        if let (Some(value), None) = (value, table) {
            let raw = RawValue::File(value.get_ref());
            self.refuse(key, raw, origin.clone(), "a table");
        }
        Section::new(self.document, self.full_key(key), origin, table)
    }

    /// The text of `key` in the file, without any check.
    pub(crate) fn peek_text(&self, key: &str) -> Option<&'a str> {
        self.table?.get(key)?.get_ref().as_str()
    }

    /// Whether the table `key` is given.
    pub(crate) fn has(&self, key: &str) -> bool {
        self.table.is_some_and(|table| table.contains_key(key))
    }

    /// The tables of the list `[[key]]`.
    pub(crate) fn sections(&self, key: &'static str) -> Vec<Section<'a>> {
        self.known_keys.borrow_mut().insert(key);
        let Some(value) = self.table.and_then(|table| table.get(key)) else {
            return Vec::new();
        };
        let origin = self.document.place(&value.span());
        let raw = RawValue::File(value.get_ref());
        let Some(array) = value.get_ref().as_array() else {
            self.refuse(key, raw, origin, "a list of tables");
            return Vec::new();
        };
        let mut sections = Vec::with_capacity(array.len());
        for (index, element) in array.iter().enumerate() {
            let place = self.document.place(&element.span());
            let Some(table) = element.get_ref().as_table() else {
                let raw = RawValue::File(element.get_ref());
                self.refuse(key, raw, place, "a table");
                continue;
            };
            let path = format!("{}[{index}]", self.full_key(key));
            sections.push(Section::new(self.document, path, place, Some(table)));
        }
        sections
    }

    fn refuse(&self, key: &str, raw: RawValue<'_>, origin: Origin, expected: &str) {
        let problem = Problem::Invalid {
            expected: expected.to_owned(),
            found: raw.describe(),
            suggestion: None,
        };
        self.document.report(origin, self.full_key(key), problem);
    }

    /// Reports a problem with `key` that shows only beside other values.
    pub(crate) fn report(&self, key: &'static str, problem: Problem) {
        let origin = self.origin_of(key);
        self.document.report(origin, self.full_key(key), problem);
    }

    /// Reports every key of the table that was never read.
    pub(crate) fn finish(self) {
        let known = self.known_keys.borrow();
        for key in self.table.into_iter().flat_map(|table| table.keys()) {
            let name: &str = key.get_ref();
            if known.contains(name) {
                continue;
            }
            let suggestion = closest_word(name, known.iter().copied());
            let suggestion = suggestion.map(str::to_owned);
            let origin = self.document.place(&key.span());
            let problem = Problem::UnknownKey { suggestion };
            self.document.report(origin, self.full_key(name), problem);
        }
    }
}

//! Conversion of single values: each function says what it expects when it refuses a value.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use driftspring_types::{MAX_NAME_BYTES, closest_word, is_valid_name};
use toml::de::DeValue;

/// Units of durations with their length in microseconds.
const DURATION_UNITS: [(&str, u64); 5] = [
    ("us", 1),
    ("ms", 1_000),
    ("s", 1_000_000),
    ("min", 60_000_000),
    ("h", 3_600_000_000),
];

/// Units of sizes with their length in bytes.
const SIZE_UNITS: [(&str, u64); 4] = [
    ("B", 1),
    ("KiB", 1 << 10),
    ("MiB", 1 << 20),
    ("GiB", 1 << 30),
];

/// The levels of logs.
const LOG_LEVELS: [&str; 6] = ["off", "error", "warn", "info", "debug", "trace"];

/// A value as written, before conversion.
#[derive(Debug, Clone, Copy)]
pub(crate) enum RawValue<'a> {
    /// A value of the file.
    File(&'a DeValue<'a>),
    /// The text of a flag.
    Flag(&'a str),
}

/// Why a value was refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Refusal {
    /// What would have been accepted.
    pub(crate) expected: String,
    /// The known word that is probably meant.
    pub(crate) suggestion: Option<String>,
}

impl Refusal {
    pub(crate) fn expected(expected: impl Into<String>) -> Self {
        Self {
            expected: expected.into(),
            suggestion: None,
        }
    }
}

impl<'a> RawValue<'a> {
    /// The value as an error message shows it.
    pub(crate) fn describe(self) -> String {
        match self {
            Self::Flag(text) => format!("{text:?}"),
            Self::File(DeValue::String(text)) => format!("{text:?}"),
            Self::File(DeValue::Integer(number)) => number.to_string(),
            Self::File(DeValue::Float(number)) => number.to_string(),
            Self::File(DeValue::Boolean(value)) => value.to_string(),
            Self::File(other) => format!("a TOML {}", other.type_str()),
        }
    }

    fn as_text(self) -> Option<&'a str> {
        match self {
            Self::Flag(text) => Some(text),
            Self::File(value) => value.as_str(),
        }
    }

    fn as_integer(self) -> Option<i64> {
        match self {
            Self::Flag(text) => text.parse().ok(),
            Self::File(DeValue::Integer(number)) => {
                i64::from_str_radix(number.as_str(), number.radix()).ok()
            }
            Self::File(_) => None,
        }
    }
}

/// Any non-empty text.
pub(crate) fn text(raw: RawValue<'_>, example: &str) -> Result<String, Refusal> {
    raw.as_text()
        .filter(|text| !text.is_empty())
        .map(str::to_owned)
        .ok_or_else(|| Refusal::expected(format!("a text such as {example:?}")))
}

/// A name: letters, digits, `.`, `_` and `-`.
pub(crate) fn name(raw: RawValue<'_>) -> Result<String, Refusal> {
    raw.as_text()
        .filter(|text| is_valid_name(text))
        .map(str::to_owned)
        .ok_or_else(|| {
            Refusal::expected(format!(
                "a name of 1 to {MAX_NAME_BYTES} letters, digits, \".\", \"_\" or \"-\""
            ))
        })
}

/// An IP address with a port.
pub(crate) fn address(raw: RawValue<'_>) -> Result<SocketAddr, Refusal> {
    raw.as_text()
        .and_then(|text| text.parse().ok())
        .ok_or_else(|| Refusal::expected("an IP address with a port such as \"10.0.0.1:8080\""))
}

/// A whole number within `range`.
pub(crate) fn integer(raw: RawValue<'_>, range: RangeInclusive<u64>) -> Result<u64, Refusal> {
    raw.as_integer()
        .and_then(|number| u64::try_from(number).ok())
        .filter(|number| range.contains(number))
        .ok_or_else(|| {
            Refusal::expected(format!(
                "a whole number from {} to {}",
                range.start(),
                range.end()
            ))
        })
}

/// A number within `range`, whole or not.
pub(crate) fn number(raw: RawValue<'_>, range: RangeInclusive<f64>) -> Result<f64, Refusal> {
    let parsed: Option<f64> = match raw {
        RawValue::Flag(text) => text.parse().ok(),
        RawValue::File(DeValue::Float(number)) => number.as_str().parse().ok(),
        RawValue::File(DeValue::Integer(number)) => number.as_str().parse().ok(),
        RawValue::File(_) => None,
    };
    parsed
        .filter(|number| range.contains(number))
        .ok_or_else(|| {
            Refusal::expected(format!(
                "a number from {} to {}",
                range.start(),
                range.end()
            ))
        })
}

/// `true` or `false`.
pub(crate) fn boolean(raw: RawValue<'_>) -> Result<bool, Refusal> {
    let parsed = match raw {
        RawValue::Flag(text) => text.parse().ok(),
        RawValue::File(value) => value.as_bool(),
    };
    parsed.ok_or_else(|| Refusal::expected("true or false"))
}

/// A duration such as `"500ms"` within `range`.
pub(crate) fn duration(
    raw: RawValue<'_>,
    range: RangeInclusive<Duration>,
) -> Result<Duration, Refusal> {
    raw.as_text()
        .and_then(|text| with_unit(text, &DURATION_UNITS))
        .map(Duration::from_micros)
        .filter(|duration| range.contains(duration))
        .ok_or_else(|| {
            Refusal::expected(format!(
                "a duration from {:?} to {:?} with a unit (us, ms, s, min or h), such as \"500ms\"",
                range.start(),
                range.end()
            ))
        })
}

/// A size such as `"4MiB"` within `range` of bytes.
pub(crate) fn size(raw: RawValue<'_>, range: RangeInclusive<u64>) -> Result<usize, Refusal> {
    raw.as_text()
        .and_then(|text| with_unit(text, &SIZE_UNITS))
        .filter(|size| range.contains(size))
        .and_then(|size| usize::try_from(size).ok())
        .ok_or_else(|| {
            Refusal::expected(format!(
                "a size from {} to {} bytes with a unit (B, KiB, MiB or GiB), such as \"4MiB\"",
                range.start(),
                range.end()
            ))
        })
}

/// The whole number before a unit, in the smallest unit; nothing where it overflows.
fn with_unit(text: &str, units: &[(&str, u64)]) -> Option<u64> {
    let digits = text.bytes().take_while(u8::is_ascii_digit).count();
    let (number, unit) = text.split_at(digits);
    let number: u64 = number.parse().ok()?;
    let (_, length) = units.iter().find(|(name, _)| *name == unit.trim_start())?;
    number.checked_mul(*length)
}

/// One of several words, each with its value.
pub(crate) fn one_of<T: Copy>(raw: RawValue<'_>, words: &[(&str, T)]) -> Result<T, Refusal> {
    let written = raw.as_text();
    let found = words.iter().find(|(word, _)| Some(*word) == written);
    found.map(|(_, value)| *value).ok_or_else(|| {
        let known: Vec<&str> = words.iter().map(|(word, _)| *word).collect();
        let suggestion = written.and_then(|text| closest_word(text, known.iter().copied()));
        Refusal {
            expected: format!("one of {}", known.join(", ")),
            suggestion: suggestion.map(str::to_owned),
        }
    })
}

/// A `flexi_logger` specification: a level, or `module=level` pairs separated by commas.
pub(crate) fn log_level(raw: RawValue<'_>) -> Result<String, Refusal> {
    let text = raw.as_text().unwrap_or_default();
    let parts_are_known = text
        .split(',')
        .all(|part| part.contains('=') || LOG_LEVELS.contains(&part.trim()));
    match flexi_logger::LogSpecification::parse(text) {
        Ok(_) if parts_are_known => Ok(text.to_owned()),
        _ => Err(Refusal {
            expected: "off, error, warn, info, debug, trace or module=level pairs".to_owned(),
            suggestion: closest_word(text, LOG_LEVELS).map(str::to_owned),
        }),
    }
}

//! Values of the command line, which go before those of the file.

use std::collections::BTreeMap;

/// Settings given by flags, by their full key such as `listen.callers`.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Overrides {
    values: BTreeMap<String, String>,
}

/// A flag `--set` whose value isn't of the form `key=value`.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("expected key=value such as listen.callers=10.0.0.1:8080, found {0:?}")]
pub struct InvalidAssignment(pub String);

impl Overrides {
    /// No flags.
    pub fn none() -> Self {
        Self::default()
    }

    /// Sets the setting `key`; the last value given for a key holds. Lists are separated by commas.
    #[must_use]
    pub fn with(mut self, key: impl Into<String>, value: impl Into<String>) -> Self {
        self.values.insert(key.into(), value.into());
        self
    }

    /// Sets the setting `key` where the flag for it is given.
    #[must_use]
    pub fn with_optional(self, key: &str, value: Option<String>) -> Self {
        match value {
            Some(value) => self.with(key, value),
            None => self,
        }
    }

    /// Adds the assignments `key=value` of `--set` flags.
    pub fn with_assignments<'a>(
        mut self,
        assignments: impl IntoIterator<Item = &'a str>,
    ) -> Result<Self, InvalidAssignment> {
        for assignment in assignments {
            let Some((key, value)) = assignment.split_once('=') else {
                return Err(InvalidAssignment(assignment.to_owned()));
            };
            self = self.with(key.trim(), value.trim());
        }
        Ok(self)
    }

    /// Keys and values, by key.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        self.values
            .iter()
            .map(|(key, value)| (key.as_str(), value.as_str()))
    }
}

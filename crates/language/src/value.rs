//! Values that statements hold.

use std::fmt;

use driftspring_types::Route;

/// A share in per cent, 0 to 100.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Percent(u8);

impl Percent {
    /// The largest share.
    pub const MAX: u8 = 100;

    /// The share `percent`; nothing above 100.
    pub fn new(percent: u8) -> Option<Self> {
        (percent <= Self::MAX).then_some(Self(percent))
    }

    /// The share, 0 to 100.
    pub fn get(self) -> u8 {
        self.0
    }

    /// What remains to 100.
    #[must_use]
    pub fn rest(self) -> Self {
        Self(Self::MAX - self.0)
    }
}

impl fmt::Display for Percent {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}%", self.0)
    }
}

/// A priority of requests, 0 (least urgent) to 9.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Priority(u8);

impl Priority {
    /// The most urgent.
    pub const MAX: u8 = Route::MAX_PRIORITY;

    /// The priority `priority`; nothing above 9.
    pub fn new(priority: u8) -> Option<Self> {
        (priority <= Self::MAX).then_some(Self(priority))
    }

    /// The priority, 0 to 9.
    pub fn get(self) -> u8 {
        self.0
    }
}

/// What a condition compares a column with.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Value {
    /// No value: the cell is empty. Written `none`.
    None,
    /// A text.
    Text(String),
    /// A whole number; percentages too.
    Number(u64),
}

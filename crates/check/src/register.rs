//! The sequential specification of one configuration object in one era of the store: a register with compare-and-swap on
//! its revision.
//!
//! The checker of `todc-utils` takes complete histories and deterministic operations. A write whose
//! answer was lost may take effect at any later time, or never. It is entered as an operation that
//! ends after all others: to place it last is to say that nobody ever saw its effect.
//!
//! An era that began with a copy has an additional first operation, which says what the copy may hold.

use driftspring_types::Revision;
use todc_utils::Specification;

/// One object's state.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct RegisterState {
    /// The value, where there is one.
    pub value: Option<String>,
    /// The revision, or a lower bound of it.
    pub revision: Revision,
    /// Whether `revision` is only a lower bound: the last write's answer was lost.
    pub revision_is_bound: bool,
    /// What else it may be, as long as only a copy is known.
    pub copied: Option<Copied>,
}

/// What a copy may hold beside the last change that is known to be in it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Copied {
    /// The last revision that the copy holds of any object.
    pub up_to: Revision,
    /// Values of writes whose answers were lost: each may be in the copy.
    pub values: Vec<Option<String>>,
}

/// The condition of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    /// It takes effect in any case.
    None,
    /// The object must have this revision; 0 where it must be absent.
    Revision(Revision),
    /// It was made for a change that this era does not hold, though it may have given out the same revision again.
    OtherChange(Revision),
}

/// An operation, with what its operator was told.
#[derive(Debug, Clone)]
pub enum RegisterOperation {
    /// The era begins in this state.
    Begin(RegisterState),
    /// A read that found this.
    Read {
        /// The revision; 0 where the object was never written.
        revision: Revision,
        /// The value; nothing where it is absent.
        value: Option<String>,
    },
    /// A write.
    Write {
        /// Its condition.
        condition: Condition,
        /// What was to be written.
        value: Option<String>,
        /// What was told of it.
        result: WriteResult,
    },
}

/// What was told of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteResult {
    /// It got this revision.
    Accepted(Revision),
    /// It had no effect.
    Refused,
    /// Nothing.
    Unknown,
}

/// The specification.
pub struct RegisterSpecification;

impl Specification for RegisterSpecification {
    type State = RegisterState;
    type Operation = RegisterOperation;

    fn init() -> Self::State {
        RegisterState::default()
    }

    fn apply(operation: &Self::Operation, state: &Self::State) -> (bool, Self::State) {
        let next = match operation {
            RegisterOperation::Begin(begin) => Some(begin.clone()),
            RegisterOperation::Read { revision, value } => state.after_read(*revision, value),
            RegisterOperation::Write {
                condition,
                value,
                result,
            } => state.after_write(*condition, value, *result),
        };
        match next {
            Some(next) => (true, next),
            None => (false, state.clone()),
        }
    }
}

impl RegisterState {
    /// The state after a read that found this; nothing where it can't have seen this state.
    fn after_read(&self, revision: Revision, value: &Option<String>) -> Option<Self> {
        self.may_hold(revision, value).then(|| Self {
            value: value.clone(),
            revision,
            revision_is_bound: false,
            copied: None,
        })
    }

    fn may_hold(&self, revision: Revision, value: &Option<String>) -> bool {
        let is_value = match &self.copied {
            Some(copied) if revision > self.revision => copied.values.contains(value),
            _ => self.value == *value,
        };
        is_value && self.may_have_revision(revision)
    }

    /// The state after a write with `result`; nothing where that result is impossible here.
    fn after_write(
        &self,
        condition: Condition,
        value: &Option<String>,
        result: WriteResult,
    ) -> Option<Self> {
        match result {
            WriteResult::Accepted(revision) => {
                let is_met = match condition {
                    Condition::None => true,
                    Condition::Revision(expected) => self.may_have_revision(expected),
                    Condition::OtherChange(_) => false,
                };
                (is_met && revision > self.revisions_given_out()).then(|| Self {
                    value: value.clone(),
                    revision,
                    revision_is_bound: false,
                    copied: None,
                })
            }
            WriteResult::Unknown => Some(self.after_unknown_write(condition, value)),
            WriteResult::Refused => Some(self.clone()),
        }
    }

    /// The state where a write took effect whose answer was lost; the same where its condition is not met.
    fn after_unknown_write(&self, condition: Condition, value: &Option<String>) -> Self {
        let expected = match condition {
            Condition::None => None,
            // The store compares revisions only.
            Condition::Revision(expected) | Condition::OtherChange(expected) => Some(expected),
        };
        if expected.is_some_and(|expected| !self.may_have_revision(expected)) {
            return self.clone();
        }
        let given_out = self.revisions_given_out();
        Self {
            value: value.clone(),
            revision: expected.unwrap_or(given_out).max(given_out),
            revision_is_bound: true,
            copied: None,
        }
    }

    /// The highest revision that a change before is known to have got: the next one gets a higher one.
    fn revisions_given_out(&self) -> Revision {
        let copied = self.copied.as_ref().map(|copied| copied.up_to);
        copied.unwrap_or(self.revision).max(self.revision)
    }

    fn may_have_revision(&self, revision: Revision) -> bool {
        match &self.copied {
            Some(copied) if !copied.values.is_empty() => {
                (self.revision..=copied.up_to).contains(&revision)
            }
            _ if self.revision_is_bound => revision > self.revision,
            _ => revision == self.revision,
        }
    }
}

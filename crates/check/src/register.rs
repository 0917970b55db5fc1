//! The sequential specification of one configuration object: a register with compare-and-swap on its
//! revision.
//!
//! The checker of `todc-utils` takes complete histories and deterministic operations. A write whose
//! answer was lost may take effect at any later time, or never. It is entered as an operation that
//! ends after all others: to place it last is to say that nobody ever saw its effect.

use driftspring_history::{ConfigOperation, ConfigResult};
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
}

/// An operation with what its operator was told.
#[derive(Debug, Clone)]
pub struct RegisterOperation {
    /// What was asked for.
    pub operation: ConfigOperation,
    /// What was told.
    pub result: ConfigResult,
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
        let next = match &operation.operation {
            ConfigOperation::Read => state.after_read(&operation.result),
            ConfigOperation::Write { expected, value } => {
                state.after_write(*expected, value, &operation.result)
            }
        };
        match next {
            Some(next) => (true, next),
            None => (false, state.clone()),
        }
    }
}

impl RegisterState {
    /// The state after a read with `result`; nothing where the read can't have seen this state.
    fn after_read(&self, result: &ConfigResult) -> Option<Self> {
        let ConfigResult::Found { revision, value } = result else {
            return Some(self.clone());
        };
        let possible = self.may_have_revision(*revision) && self.value == *value;
        possible.then(|| Self {
            revision: *revision,
            revision_is_bound: false,
            ..self.clone()
        })
    }

    /// The state after a write with `result`; nothing where that result is impossible here.
    fn after_write(
        &self,
        expected: Option<Revision>,
        value: &Option<String>,
        result: &ConfigResult,
    ) -> Option<Self> {
        let matches = expected.is_none_or(|expected| self.may_have_revision(expected));
        match result {
            ConfigResult::Accepted { revision } => {
                (matches && *revision > self.revision).then(|| Self {
                    value: value.clone(),
                    revision: *revision,
                    revision_is_bound: false,
                })
            }
            ConfigResult::Unknown if matches => Some(Self {
                value: value.clone(),
                revision: expected.unwrap_or(self.revision).max(self.revision),
                revision_is_bound: true,
            }),
            ConfigResult::Unknown | ConfigResult::Refused => Some(self.clone()),
            ConfigResult::Found { .. } => None,
        }
    }

    fn may_have_revision(&self, revision: Revision) -> bool {
        if self.revision_is_bound {
            revision > self.revision
        } else {
            revision == self.revision
        }
    }
}

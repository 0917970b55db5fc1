//! Accepted configuration: each object is a linearizable register; within one life of a daemon its
//! revision in force never goes down; and every daemon has it in force within the bound.

use std::collections::{BTreeMap, HashMap};

use driftspring_history::{
    ConfigOperation, ConfigProposal, ConfigResult, Event, Fault, FaultTarget, History, OperationId,
};
use driftspring_types::{DaemonId, Incarnation, Revision};
use todc_utils::{Action, WGLChecker};

use crate::register::{RegisterOperation, RegisterSpecification};
use crate::settings::{CheckSettings, microseconds};
use crate::violation::{Promise, Violation, first};

/// Checks the promise.
pub fn check(history: &History, settings: &CheckSettings) -> Result<(), Violation> {
    let violations = not_linearizable(history)
        .into_iter()
        .chain(reverted(history))
        .chain(not_in_force(history, settings));
    first(violations)
}

/// An operation on one object, with its place in the history.
struct Operation<'a> {
    proposal: &'a ConfigProposal,
    proposed_at: usize,
    /// Where and how it ended; nothing while no answer came.
    answer: Option<(usize, &'a ConfigResult)>,
}

/// The first event at which some object's operations can no longer be put in one order.
fn not_linearizable(history: &History) -> Vec<Violation> {
    operations_by_key(history)
        .into_iter()
        .filter_map(|(key, operations)| {
            let end = history.events.len();
            if is_linearizable(&operations, end) {
                return None;
            }
            // A history that is linearizable up to an event is so up to every earlier one.
            let (mut good, mut bad) = (0, end);
            while bad - good > 1 {
                let middle = good + (bad - good) / 2;
                if is_linearizable(&operations, middle) {
                    good = middle;
                } else {
                    bad = middle;
                }
            }
            Some(Violation::new(
                Promise::Configuration,
                bad - 1,
                format!(
                    "no order of the operations on {key} explains this answer and all earlier ones"
                ),
            ))
        })
        .collect()
}

fn operations_by_key(history: &History) -> BTreeMap<&str, Vec<Operation<'_>>> {
    let mut by_key: BTreeMap<&str, Vec<Operation<'_>>> = BTreeMap::new();
    let mut places: HashMap<OperationId, (&str, usize)> = HashMap::new();
    for (index, _, event) in history.iter() {
        match event {
            Event::ConfigProposed(proposal) => {
                let operations = by_key.entry(&proposal.key).or_default();
                places.insert(proposal.operation_id, (&proposal.key, operations.len()));
                operations.push(Operation {
                    proposal,
                    proposed_at: index,
                    answer: None,
                });
            }
            Event::ConfigAnswered(settlement) => {
                let place = places.get(&settlement.operation_id);
                let operation = place.and_then(|(key, at)| by_key.get_mut(key)?.get_mut(*at));
                if let Some(operation) = operation {
                    operation.answer = Some((index, &settlement.result));
                }
            }
            _ => {}
        }
    }
    by_key
}

/// Whether the operations are linearizable as far as the events before `end` tell.
fn is_linearizable(operations: &[Operation<'_>], end: usize) -> bool {
    let mut actions = Vec::new();
    for (process, operation) in operations.iter().enumerate() {
        if operation.proposed_at >= end {
            continue;
        }
        let answer = operation.answer.filter(|(index, _)| *index < end);
        let result = answer.map_or(&ConfigResult::Unknown, |(_, result)| result);
        let lost = *result == ConfigResult::Unknown;
        if lost && operation.proposal.operation == ConfigOperation::Read {
            continue;
        }
        let entry = RegisterOperation {
            operation: operation.proposal.operation.clone(),
            result: result.clone(),
        };
        let ended_at = answer
            .filter(|_| !lost)
            .map_or(usize::MAX, |(index, _)| index);
        actions.push((operation.proposed_at, process, Action::Call(entry.clone())));
        actions.push((ended_at, process, Action::Response(entry)));
    }
    if actions.is_empty() {
        return true;
    }
    actions.sort_by_key(|(index, _, _)| *index);
    let actions = actions
        .into_iter()
        .map(|(_, process, action)| (process, action))
        .collect();
    WGLChecker::<RegisterSpecification>::is_linearizable(todc_utils::History::from_actions(actions))
}

/// Every fall of an object's revision within one life of a daemon.
fn reverted(history: &History) -> Vec<Violation> {
    let mut in_force: HashMap<(&DaemonId, Incarnation, &str), Revision> = HashMap::new();
    let mut violations = Vec::new();
    for (index, _, event) in history.iter() {
        let Event::ConfigObserved(observed) = event else {
            continue;
        };
        let life = (
            &observed.daemon,
            observed.incarnation,
            observed.key.as_str(),
        );
        let before = in_force.insert(life, observed.revision);
        if let Some(before) = before.filter(|before| *before > observed.revision) {
            violations.push(Violation::new(
                Promise::Configuration,
                index,
                format!(
                    "daemon {} went back from revision {before} of {} to revision {}",
                    observed.daemon, observed.key, observed.revision
                ),
            ));
        }
    }
    violations
}

/// Accepted writes that some daemon did not have in force within the bound.
fn not_in_force(history: &History, settings: &CheckSettings) -> Vec<Violation> {
    let bound_us = microseconds(settings.configuration_bound);
    let Some(last) = history.events.last() else {
        return Vec::new();
    };
    let proposals = proposals(history);
    let mut violations = Vec::new();
    for (index, at_us, event) in history.iter() {
        let Event::ConfigAnswered(settlement) = event else {
            continue;
        };
        let ConfigResult::Accepted { revision } = settlement.result else {
            continue;
        };
        let Some(proposal) = proposals.get(&settlement.operation_id) else {
            continue;
        };
        for life in lives(history) {
            let deadline_us = life
                .undisturbed_from(history, at_us)
                .saturating_add(bound_us);
            let judged = deadline_us < life.until_us.min(last.at_us);
            if judged && !life.has_in_force(history, &proposal.key, revision, deadline_us) {
                violations.push(Violation::new(
                    Promise::Configuration,
                    index,
                    format!(
                        "revision {revision} of {} was accepted here and not in force at daemon {} within {} ms",
                        proposal.key,
                        life.daemon,
                        settings.configuration_bound.as_millis()
                    ),
                ));
            }
        }
    }
    violations
}

fn proposals(history: &History) -> HashMap<OperationId, &ConfigProposal> {
    history
        .iter()
        .filter_map(|(_, _, event)| match event {
            Event::ConfigProposed(proposal) => Some((proposal.operation_id, proposal)),
            _ => None,
        })
        .collect()
}

/// One life of a daemon; times in microseconds since the Unix epoch.
struct Life<'a> {
    daemon: &'a DaemonId,
    incarnation: Incarnation,
    from_us: u64,
    until_us: u64,
}

impl Life<'_> {
    /// The time from which the daemon can be expected to hear of a change accepted at `accepted_us`:
    /// not before it started, nor while it or a zone was cut off.
    fn undisturbed_from(&self, history: &History, accepted_us: u64) -> u64 {
        let healed = history
            .iter()
            .filter_map(|(_, at_us, event)| match event {
                Event::FaultHealed {
                    target: FaultTarget::Daemon(daemon),
                    ..
                } if daemon == self.daemon => Some(at_us),
                Event::FaultHealed {
                    target: FaultTarget::Zone(_),
                    ..
                } => Some(at_us),
                _ => None,
            })
            .max()
            .unwrap_or(0);
        accepted_us.max(self.from_us).max(healed)
    }

    fn has_in_force(&self, history: &History, key: &str, revision: Revision, by_us: u64) -> bool {
        history.iter().any(|(_, at_us, event)| match event {
            Event::ConfigObserved(observed) => {
                at_us <= by_us
                    && observed.daemon == *self.daemon
                    && observed.incarnation == self.incarnation
                    && observed.key == key
                    && observed.revision >= revision
            }
            _ => false,
        })
    }
}

/// The lives of all daemons.
fn lives(history: &History) -> Vec<Life<'_>> {
    let mut lives: Vec<Life<'_>> = Vec::new();
    for (_, at_us, event) in history.iter() {
        match event {
            Event::DaemonStarted {
                daemon,
                incarnation,
            } => {
                end_life(&mut lives, daemon, at_us);
                lives.push(Life {
                    daemon,
                    incarnation: *incarnation,
                    from_us: at_us,
                    until_us: u64::MAX,
                });
            }
            Event::DaemonStopping { daemon }
            | Event::DaemonStopped { daemon }
            | Event::FaultInjected {
                target: FaultTarget::Daemon(daemon),
                ..
            } => end_life_unless_healed(&mut lives, daemon, at_us, event),
            _ => {}
        }
    }
    lives
}

fn end_life(lives: &mut [Life<'_>], daemon: &DaemonId, at_us: u64) {
    for life in lives.iter_mut().filter(|life| life.daemon == daemon) {
        life.until_us = life.until_us.min(at_us);
    }
}

/// A freeze or a cut leaves the daemon's life as it is; everything else here ends it.
fn end_life_unless_healed(lives: &mut [Life<'_>], daemon: &DaemonId, at_us: u64, event: &Event) {
    let survives = matches!(event, Event::FaultInjected { fault, .. } if *fault != Fault::Kill);
    if !survives {
        end_life(lives, daemon, at_us);
    }
}

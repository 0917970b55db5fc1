//! Accepted configuration: each object is a linearizable register in each era of the store; within one life of a daemon
//! neither its position in force nor its version ever goes down; and every daemon has it in force within the bound.
//!
//! A store that comes back from a copy loses its last changes. That is no broken promise where the system itself had made
//! them. What the operator or a replica had written has to be there again within the bound.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use driftspring_history::{
    ConfigOperation, ConfigProposal, ConfigResult, Event, Fault, FaultTarget, History,
    ObservedObject, OperationId, StoreEra, StorePosition,
};
use driftspring_types::{DaemonId, Incarnation, Revision};
use todc_utils::{Action, WGLChecker};

use crate::eras::{Returned, StoreReturns};
use crate::register::{
    Condition, Copied, RegisterOperation, RegisterSpecification, RegisterState, WriteResult,
};
use crate::settings::{CheckSettings, microseconds};
use crate::violation::{Promise, Violation, first};

/// Checks the promise.
pub fn check(history: &History, settings: &CheckSettings) -> Result<(), Violation> {
    let returns = StoreReturns::of(history);
    let violations = not_linearizable(history, &returns)
        .into_iter()
        .chain(era_fell(history))
        .chain(reverted(history))
        .chain(not_in_force(history, &returns, settings))
        .chain(not_written_again(history, &returns, settings));
    first(violations)
}

/// An operation on one object, with its place in the history.
struct Operation<'a> {
    proposal: &'a ConfigProposal,
    proposed_at: usize,
    /// Where and how it ended; nothing while no answer came.
    answer: Option<(usize, &'a ConfigResult)>,
}

/// An object and an era in which its operations were answered.
struct ObjectInEra<'a> {
    operations: &'a [Operation<'a>],
    era: StoreEra,
    returns: &'a StoreReturns,
}

/// The first event at which some object's operations in an era can no longer be put in one order.
fn not_linearizable(history: &History, returns: &StoreReturns) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (key, operations) in operations_by_key(history) {
        for era in eras_of(&operations) {
            let object = ObjectInEra {
                operations: &operations,
                era,
                returns,
            };
            let Some(index) = object.first_unexplained(history.events.len()) else {
                continue;
            };
            let explanation = format!(
                "no order of the operations on {key} explains this answer and all earlier ones"
            );
            violations.push(Violation::new(Promise::Configuration, index, explanation));
        }
    }
    violations
}

/// The eras that answers name; the unnamed one where none does.
fn eras_of(operations: &[Operation<'_>]) -> BTreeSet<StoreEra> {
    let eras: BTreeSet<StoreEra> = operations
        .iter()
        .filter_map(|operation| Some(operation.answered_at()?.era))
        .collect();
    match eras.is_empty() {
        true => BTreeSet::from([StoreEra::UNNAMED]),
        false => eras,
    }
}

impl Operation<'_> {
    /// What it would write; nothing for a read.
    fn written_value(&self) -> Option<&Option<String>> {
        match &self.proposal.operation {
            ConfigOperation::Read => None,
            ConfigOperation::Write { value, .. } => Some(value),
        }
    }

    /// The object's value as its answer tells it, where that names a position.
    fn known_value(&self) -> Option<String> {
        match self.answer {
            Some((_, ConfigResult::Found { value, .. })) => value.clone(),
            _ => self.written_value().cloned().flatten(),
        }
    }

    /// Whether nothing was told of it.
    fn may_take_effect_unseen(&self) -> bool {
        matches!(self.answer, None | Some((_, ConfigResult::Unknown)))
    }

    /// The position that its answer names.
    fn answered_at(&self) -> Option<StorePosition> {
        let (_, result) = self.answer?;
        named_position(result)
    }
}

/// The position that an answer names.
fn named_position(result: &ConfigResult) -> Option<StorePosition> {
    match result {
        ConfigResult::Accepted { position } | ConfigResult::Found { position, .. } => {
            Some(*position)
        }
        ConfigResult::Refused | ConfigResult::Unknown => None,
    }
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

impl ObjectInEra<'_> {
    /// The first event before `end` that no order of the operations explains.
    fn first_unexplained(&self, end: usize) -> Option<usize> {
        if self.is_linearizable(end) {
            return None;
        }
        // A history that is linearizable up to an event is so up to every earlier one.
        let (mut good, mut bad) = (0, end);
        while bad - good > 1 {
            let middle = good + (bad - good) / 2;
            if self.is_linearizable(middle) {
                good = middle;
            } else {
                bad = middle;
            }
        }
        Some(bad - 1)
    }

    /// Whether the operations are linearizable as far as the events before `end` tell.
    fn is_linearizable(&self, end: usize) -> bool {
        let Some(begin) = self.begin() else {
            return true;
        };
        let mut actions = vec![
            (0, Action::Call(begin.clone())),
            (0, Action::Response(begin)),
        ];
        for operation in self.operations {
            let Some((entry, ended_at)) = self.entry(operation, end) else {
                continue;
            };
            actions.push((operation.proposed_at, Action::Call(entry.clone())));
            actions.push((ended_at, Action::Response(entry)));
        }
        let actions = in_order(actions);
        WGLChecker::<RegisterSpecification>::is_linearizable(todc_utils::History::from_actions(
            actions,
        ))
    }

    /// How the era begins for this object; nothing where the history does not tell from which copy.
    fn begin(&self) -> Option<RegisterOperation> {
        let Some(returned) = self.returns.beginning_of(self.era) else {
            let is_first = self.operations.iter().all(|operation| {
                let answered_at = operation.answered_at();
                answered_at.is_none_or(|position| position.era >= self.era)
            });
            return is_first.then(|| RegisterOperation::Begin(RegisterState::default()));
        };
        let last_kept = self.last_kept();
        let lost_answers = self.operations.iter().filter(|operation| {
            operation.proposed_at < returned.index && operation.may_take_effect_unseen()
        });
        let values = lost_answers.filter_map(|operation| operation.written_value().cloned());
        Some(RegisterOperation::Begin(RegisterState {
            revision: last_kept
                .as_ref()
                .map_or(Revision(0), |(revision, _)| *revision),
            value: last_kept.and_then(|(_, value)| value),
            revision_is_bound: false,
            copied: Some(Copied {
                up_to: returned.told.copy.revision,
                values: values.collect(),
            }),
        }))
    }

    /// The last change before this era that is known to be in its copy.
    fn last_kept(&self) -> Option<(Revision, Option<String>)> {
        let known = self.operations.iter().filter_map(|operation| {
            let position = operation.answered_at()?;
            let is_kept =
                position.era < self.era && self.returns.keeps(position, self.era) == Some(true);
            is_kept.then(|| (position, operation.known_value()))
        });
        let (position, value) = known.max_by_key(|(position, _)| *position)?;
        Some((position.revision, value))
    }

    /// An operation as this era's register sees it, and where it ended; nothing where it says nothing of it.
    fn entry(&self, operation: &Operation<'_>, end: usize) -> Option<(RegisterOperation, usize)> {
        if operation.proposed_at >= end {
            return None;
        }
        let answer = operation.answer.filter(|(index, _)| *index < end);
        let (ended_at, result) = answer.unwrap_or((usize::MAX, &ConfigResult::Unknown));
        if named_position(result).is_some_and(|position| position.era != self.era) {
            return None;
        }
        let (expected, value) = match &operation.proposal.operation {
            ConfigOperation::Read => {
                let ConfigResult::Found { position, value } = result else {
                    return None;
                };
                let read = RegisterOperation::Read {
                    revision: position.revision,
                    value: value.clone(),
                };
                return Some((read, ended_at));
            }
            ConfigOperation::Write { expected, value } => (*expected, value.clone()),
        };
        let (result, ended_at) = match result {
            ConfigResult::Accepted { position } => {
                (WriteResult::Accepted(position.revision), ended_at)
            }
            ConfigResult::Unknown => (WriteResult::Unknown, usize::MAX),
            // What was found is no answer to a write: it says nothing of it.
            ConfigResult::Refused | ConfigResult::Found { .. } => (WriteResult::Refused, ended_at),
        };
        let condition = self.condition(expected);
        let write = RegisterOperation::Write {
            condition,
            value,
            result,
        };
        Some((write, ended_at))
    }

    /// What a condition means in this era.
    fn condition(&self, expected: Option<StorePosition>) -> Condition {
        let Some(expected) = expected else {
            return Condition::None;
        };
        let is_absence = expected.revision == Revision(0);
        let is_same = is_absence || self.returns.keeps(expected, self.era) != Some(false);
        match is_same {
            true => Condition::Revision(expected.revision),
            false => Condition::OtherChange(expected.revision),
        }
    }
}

/// Actions in the order of their places, each with a number of its operation.
fn in_order(
    mut actions: Vec<(usize, Action<RegisterOperation>)>,
) -> Vec<(usize, Action<RegisterOperation>)> {
    // Calls and responses come in turn.
    let numbers = (0..actions.len()).map(|place| place / 2);
    let mut numbered: Vec<(usize, usize, Action<RegisterOperation>)> = numbers
        .zip(actions.drain(..))
        .map(|(number, (place, action))| (place, number, action))
        .collect();
    numbered.sort_by_key(|(place, _, _)| *place);
    numbered
        .into_iter()
        .map(|(_, number, action)| (number, action))
        .collect()
}

/// Every answer of an earlier era to an operation that began after an answer of a later one.
fn era_fell(history: &History) -> Vec<Violation> {
    let mut latest = StoreEra::UNNAMED;
    let mut latest_at_proposal: HashMap<OperationId, StoreEra> = HashMap::new();
    let mut violations = Vec::new();
    for (index, _, event) in history.iter() {
        match event {
            Event::ConfigProposed(proposal) => {
                latest_at_proposal.insert(proposal.operation_id, latest);
            }
            Event::ConfigAnswered(settlement) => {
                let Some(position) = named_position(&settlement.result) else {
                    continue;
                };
                let known = latest_at_proposal.get(&settlement.operation_id);
                if known.is_some_and(|known| position.era < *known) {
                    violations.push(Violation::new(
                        Promise::Configuration,
                        index,
                        format!("answered at {position} after a later era had answered"),
                    ));
                }
                latest = latest.max(position.era);
            }
            _ => {}
        }
    }
    violations
}

/// An object in one life of a daemon.
type LifeOfObject<'a> = (&'a DaemonId, Incarnation, &'a str);

/// Every fall of an object's position or version within one life of a daemon.
fn reverted(history: &History) -> Vec<Violation> {
    let mut in_force: HashMap<LifeOfObject<'_>, StorePosition> = HashMap::new();
    let mut versions: HashMap<LifeOfObject<'_>, u64> = HashMap::new();
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
        let before = in_force.insert(life, observed.position);
        if let Some(before) = before.filter(|before| *before > observed.position) {
            violations.push(went_back(index, observed, format!("revision {before}")));
        }
        let Some(version) = observed.version else {
            continue;
        };
        let highest = versions.entry(life).or_insert(version);
        if *highest > version {
            let before = format!("version {highest} to version {version},");
            violations.push(went_back(index, observed, before));
        }
        *highest = version.max(*highest);
    }
    violations
}

fn went_back(index: usize, observed: &ObservedObject, before: String) -> Violation {
    let ObservedObject {
        daemon,
        key,
        position,
        ..
    } = observed;
    Violation::new(
        Promise::Configuration,
        index,
        format!("daemon {daemon} went back from {before} of {key} to revision {position}"),
    )
}

/// An accepted write.
struct AcceptedWrite<'a> {
    index: usize,
    at_us: u64,
    proposal: &'a ConfigProposal,
    position: StorePosition,
}

fn accepted_writes(history: &History) -> Vec<AcceptedWrite<'_>> {
    let proposals = proposals(history);
    let writes = history.iter().filter_map(|(index, at_us, event)| {
        let Event::ConfigAnswered(settlement) = event else {
            return None;
        };
        let ConfigResult::Accepted { position } = settlement.result else {
            return None;
        };
        let proposal = proposals.get(&settlement.operation_id)?;
        Some(AcceptedWrite {
            index,
            at_us,
            proposal,
            position,
        })
    });
    writes.collect()
}

/// Accepted writes that some daemon did not have in force within the bound, as long as the store had them.
fn not_in_force(
    history: &History,
    returns: &StoreReturns,
    settings: &CheckSettings,
) -> Vec<Violation> {
    let bound_us = microseconds(settings.configuration_bound);
    let Some(last) = history.events.last() else {
        return Vec::new();
    };
    let mut violations = Vec::new();
    for write in accepted_writes(history) {
        let lost_us = returns.losing(write.position).map(|lost| lost.at_us);
        for life in lives(history) {
            let deadline_us = life
                .undisturbed_from(history, write.at_us)
                .saturating_add(bound_us);
            let until_us = life.until_us.min(lost_us.unwrap_or(u64::MAX));
            let judged = deadline_us < until_us.min(last.at_us);
            if judged && !life.has_in_force(history, returns, &write, deadline_us) {
                violations.push(Violation::new(
                    Promise::Configuration,
                    write.index,
                    format!(
                        "revision {} of {} was accepted here and not in force at daemon {} within {} ms",
                        write.position,
                        write.proposal.key,
                        life.daemon,
                        settings.configuration_bound.as_millis()
                    ),
                ));
            }
        }
    }
    violations
}

/// Last writes of the operator and of replicas that a return of the store lost, and that were not written again in time.
fn not_written_again(
    history: &History,
    returns: &StoreReturns,
    settings: &CheckSettings,
) -> Vec<Violation> {
    let Some(last) = history.events.last() else {
        return Vec::new();
    };
    let operations = operations_by_key(history);
    let writes = accepted_writes(history);
    let mut violations = Vec::new();
    for returned in returns.iter() {
        let deadline_us = deadline_of_rewriting(returned, returns, settings);
        for write in lost_last_writes(&writes, returns, returned) {
            let key = &write.proposal.key;
            let of_key = operations.get(key.as_str()).map_or(&[][..], Vec::as_slice);
            let is_again = deadline_us >= last.at_us
                || was_written_between(history, of_key, returned.index, deadline_us);
            if !is_again {
                violations.push(Violation::new(
                    Promise::Configuration,
                    returned.index,
                    format!(
                        "revision {} of {key} was lost here and not written again in time",
                        write.position
                    ),
                ));
            }
        }
    }
    violations
}

/// Until when what a return has lost has to be written again; a further return meanwhile begins the time anew.
fn deadline_of_rewriting(
    returned: &Returned,
    returns: &StoreReturns,
    settings: &CheckSettings,
) -> u64 {
    let bound_us = microseconds(settings.configuration_bound);
    let later = returns.iter().filter(|later| later.index > returned.index);
    let mut deadline_us = returned.at_us.saturating_add(bound_us);
    for later in later {
        if later.at_us <= deadline_us {
            deadline_us = later.at_us.saturating_add(bound_us);
        }
    }
    deadline_us
}

/// The last accepted write before a return of each object, where that return is what lost it, and where its writer writes
/// again.
fn lost_last_writes<'a>(
    writes: &'a [AcceptedWrite<'a>],
    returns: &StoreReturns,
    returned: &Returned,
) -> Vec<&'a AcceptedWrite<'a>> {
    let mut last_writes: BTreeMap<&str, &AcceptedWrite<'_>> = BTreeMap::new();
    for write in writes {
        if write.index < returned.index {
            last_writes.insert(&write.proposal.key, write);
        }
    }
    let lost = last_writes.into_values().filter(|write| {
        let losing = returns.losing(write.position);
        let is_lost_here = losing.is_some_and(|losing| losing.index == returned.index);
        is_lost_here && write.proposal.writer.writes_again()
    });
    lost.collect()
}

/// Whether an object was written after an event and until a time, or may have been, by its operations.
fn was_written_between(
    history: &History,
    operations: &[Operation<'_>],
    after: usize,
    until_us: u64,
) -> bool {
    let mut writes = operations
        .iter()
        .filter(|operation| operation.written_value().is_some());
    writes.any(|operation| match operation.answer {
        Some((index, ConfigResult::Accepted { .. })) => {
            index > after && history.events[index].at_us <= until_us
        }
        Some((_, ConfigResult::Refused | ConfigResult::Found { .. })) => false,
        Some((_, ConfigResult::Unknown)) | None => true,
    })
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

    fn has_in_force(
        &self,
        history: &History,
        returns: &StoreReturns,
        write: &AcceptedWrite<'_>,
        by_us: u64,
    ) -> bool {
        history.iter().any(|(_, at_us, event)| match event {
            Event::ConfigObserved(observed) => {
                let position = observed.position;
                at_us <= by_us
                    && observed.daemon == *self.daemon
                    && observed.incarnation == self.incarnation
                    && observed.key == write.proposal.key
                    && position.revision >= write.position.revision
                    && returns.keeps(write.position, position.era) != Some(false)
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

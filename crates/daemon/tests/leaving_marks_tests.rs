//! A lagging machine list marks the life that it meant, and no later one.

use driftspring::sync::machines::LeavingMarks;
use driftspring_external::machines::MachineState;
use driftspring_types::{EngineId, Incarnation};

#[test]
fn a_mark_holds_for_one_life_only() {
    let mut marks = LeavingMarks::default();
    let id = EngineId::from("engine");
    let (first, second) = (Some(Incarnation(1)), Some(Incarnation(2)));
    assert!(!marks.is_leaving(&id, MachineState::Live, first));
    assert!(marks.is_leaving(&id, MachineState::Leaving, first));
    assert!(!marks.is_leaving(&id, MachineState::Leaving, second));
    assert!(!marks.is_leaving(&id, MachineState::Live, second));
    assert!(marks.is_leaving(&id, MachineState::Leaving, second));
}

#[test]
fn a_mark_waits_for_an_engine_that_is_not_known_yet() {
    let mut marks = LeavingMarks::default();
    let id = EngineId::from("engine");
    assert!(!marks.is_leaving(&id, MachineState::Leaving, None));
    assert!(marks.is_leaving(&id, MachineState::Leaving, Some(Incarnation(1))));
    assert!(!marks.is_leaving(&id, MachineState::Leaving, Some(Incarnation(2))));
}

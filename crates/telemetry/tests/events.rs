//! The catalogue of events: numbers are unique, in their range, and listed on the page exactly once.

use std::collections::HashSet;

use driftspring_telemetry::events::SUBSYSTEMS;
use driftspring_telemetry::{catalogue, catalogue_page};

const PAGE: &str = include_str!("../../../docs/EVENTS.md");

#[test]
fn numbers_and_names_are_unique() {
    let codes = catalogue();
    let numbers: HashSet<u16> = codes.iter().map(|code| code.number).collect();
    let names: HashSet<&str> = codes.iter().map(|code| code.name).collect();
    assert_eq!(numbers.len(), codes.len());
    assert_eq!(names.len(), codes.len());
}

#[test]
fn numbers_lie_in_the_range_of_their_subsystem() {
    for subsystem in SUBSYSTEMS {
        let range = subsystem.first_number..subsystem.first_number + 1000;
        for event in subsystem.events {
            assert!(range.contains(&event.number), "{}", event.name);
        }
    }
}

#[test]
fn page_lists_each_number_once() {
    for code in catalogue() {
        let row_start = format!("| {} |", code.number);
        let rows = PAGE.lines().filter(|line| line.starts_with(&row_start));
        assert_eq!(rows.count(), 1, "{} {}", code.number, code.name);
    }
}

#[test]
fn page_is_current() {
    assert_eq!(
        PAGE,
        catalogue_page(),
        "run `driftspring events > docs/EVENTS.md`"
    );
}

#[test]
fn meanings_fit_a_table_cell() {
    for code in catalogue() {
        assert!(!code.meaning.contains(['|', '\n']), "{}", code.name);
        assert!(code.meaning.ends_with('.'), "{}", code.name);
    }
}

//! The page `docs/EVENTS.md`, made from the catalogue.

use std::fmt::Write;

use super::{EventCode, control, gateway, operator, pipeline, process, sync};

/// A subsystem with its range of numbers.
#[derive(Debug, Clone, Copy)]
pub struct Subsystem {
    /// Its name on the page.
    pub title: &'static str,
    /// Its first number; its range is the thousand from there.
    pub first_number: u16,
    /// Its events.
    pub events: &'static [EventCode],
}

/// Every subsystem, by number.
pub const SUBSYSTEMS: [Subsystem; 6] = [
    Subsystem {
        title: "Process",
        first_number: 1000,
        events: process::ALL,
    },
    Subsystem {
        title: "Requests",
        first_number: 2000,
        events: pipeline::ALL,
    },
    Subsystem {
        title: "Gossip, configuration, engines and cache events",
        first_number: 3000,
        events: sync::ALL,
    },
    Subsystem {
        title: "Leases, rollout, drain and warming",
        first_number: 4000,
        events: control::ALL,
    },
    Subsystem {
        title: "Operators' statements",
        first_number: 5000,
        events: operator::ALL,
    },
    Subsystem {
        title: "Gateway",
        first_number: 6000,
        events: gateway::ALL,
    },
];

const HEADER: &str = "# Events

Every event that the daemon logs, by number. A line reads `E<number> <NAME> <fields>`; as JSON it has
the fields `time`, `level`, `module`, `event`, `name` and `message`. A number is used once and never reused.

This page is made by `driftspring events > docs/EVENTS.md`; a test checks that it is current.
";

/// The page in Markdown.
pub fn catalogue_page() -> String {
    let mut page = HEADER.to_owned();
    for subsystem in SUBSYSTEMS {
        let first = subsystem.first_number;
        let last = first + 999;
        // Writing to a String does not fail.
        let _ = write!(page, "\n## {} ({first} to {last})\n\n", subsystem.title);
        page.push_str("| number | level | name | meaning |\n|---|---|---|---|\n");
        let mut events = subsystem.events.to_vec();
        events.sort_by_key(|event| event.number);
        for event in events {
            let EventCode {
                number,
                level,
                name,
                meaning,
            } = event;
            let _ = writeln!(page, "| {number} | {level} | `{name}` | {meaning} |");
        }
    }
    page
}

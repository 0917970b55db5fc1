//! The catalogue of numbered log events.
//!
//! Each subsystem has its own file and range of numbers. A log line reads
//! `E<number> <name> <fields>`; `docs/EVENTS.md` lists every number once, which a test checks.

pub mod control;
pub mod gateway;
pub mod operator;
mod page;
pub mod pipeline;
pub mod process;
pub mod sync;

use log::Level;

pub use page::{SUBSYSTEMS, Subsystem, catalogue_page};

/// One kind of log event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventCode {
    /// Its number, unique over the whole project and never reused.
    pub number: u16,
    /// Its level.
    pub level: Level,
    /// Its name, as the constant in lower case.
    pub name: &'static str,
    /// What it means, and what an operator should do about it.
    pub meaning: &'static str,
}

/// Declares the event codes of one subsystem and the list of them.
#[macro_export]
macro_rules! event_codes {
    ($($name:ident = $number:literal, $level:ident, $meaning:literal;)+) => {
        $(
            #[doc = $meaning]
            pub const $name: $crate::EventCode = $crate::EventCode {
                number: $number,
                level: $crate::log_crate::Level::$level,
                name: stringify!($name),
                meaning: $meaning,
            };
        )+

        /// Every event code of this subsystem.
        pub const ALL: &[$crate::EventCode] = &[$($name),+];
    };
}

/// Logs an event: `log_event!(pipeline::REQUEST_REFUSED, "tenant={tenant} reason={reason:?}")`.
#[macro_export]
macro_rules! log_event {
    ($code:expr, $($argument:tt)+) => {{
        let code: $crate::EventCode = $code;
        $crate::log_crate::log!(
            code.level, "E{:04} {} {}", code.number, code.name, format_args!($($argument)+)
        );
    }};
}

/// All event codes of all subsystems, by number.
pub fn catalogue() -> Vec<EventCode> {
    let mut codes: Vec<EventCode> = SUBSYSTEMS
        .iter()
        .flat_map(|subsystem| subsystem.events)
        .copied()
        .collect();
    codes.sort_by_key(|code| code.number);
    codes
}

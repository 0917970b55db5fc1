//! Events of the process's start and stop: numbers 1000 to 1999.

crate::event_codes! {
    PROCESS_STARTED = 1000, Info, "The daemon listens; the fields give its addresses.";
}

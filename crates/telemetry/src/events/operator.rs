//! Events of operators' statements: numbers 5000 to 5999.

crate::event_codes! {
    STATEMENT_EXECUTED = 5000, Info, "An operator's statement was executed; the fields give the statement and its result.";
}

//! Events of operators' statements: numbers 5000 to 5999.

crate::event_codes! {
    STATEMENT_EXECUTED = 5000, Info, "An operator's order was accepted; the fields give the order and the revision of its change.";
    STATEMENT_REFUSED = 5001, Info, "An operator's order was not applied; the fields give the order and the reason.";
    STATEMENT_UNKNOWN = 5002, Warn, "The fate of an operator's order is not known: compare the object's write_id field with the one in the fields once the object store answers.";
}

//! Events of the request path: numbers 2000 to 2999.

crate::event_codes! {
    REQUEST_REFUSED = 2000, Info, "A request was refused; the fields give the step, the peer and the reason.";
}

//! Events of leases, rollout, drain and warming: numbers 4000 to 4999.

crate::event_codes! {
    LEASE_ACQUIRED = 4000, Info, "This daemon holds a lease; the fields give its name and fencing token.";
}

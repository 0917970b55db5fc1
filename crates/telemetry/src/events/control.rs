//! Events of leases, rollout, drain and warming: numbers 4000 to 4999.

crate::event_codes! {
    LEASE_ACQUIRED = 4000, Info, "This daemon holds a lease; the fields give its name and fencing token.";
    WRITE_ACCEPTED = 4010, Info, "The object store accepted a change of configuration made through this daemon.";
    WRITE_UNSETTLED = 4011, Warn, "The fate of a change is not known. The object's write_id field shows whether it was applied.";
}

//! Events of leases, rollout, drain and warming: numbers 4000 to 4999.

crate::event_codes! {
    LEASE_ACQUIRED = 4000, Info, "This daemon holds a lease; the fields give its name and fencing token.";
    LEASE_LOST = 4001, Warn, "This daemon no longer holds a lease: its term is over, it was given back, or another daemon holds it. It stops giving orders.";
    LEASE_CALL_FAILED = 4002, Warn, "A call about a lease failed at the object store; a holder goes on until its term is over.";
    CONTROL_NOT_STARTED = 4003, Error, "The control tasks could not be started; other daemons take the lease.";
    WRITE_ACCEPTED = 4010, Info, "The object store accepted a change of configuration made through this daemon.";
    WRITE_UNSETTLED = 4011, Warn, "The fate of a change is not known. The object's write_id field shows whether it was applied.";
    ORDER_TAKEN = 4020, Info, "An engine took an order.";
    ORDER_FENCED = 4021, Warn, "An engine refused an order, since it has seen the fencing token of a later holder.";
    ORDER_FAILED = 4022, Warn, "An order's answer did not come; what the engine does is read from its status.";
    ROLLOUT_COMPLETE = 4030, Info, "Every replica that can load has the wanted version of a model.";
    CLAIM_GROUP_WRITTEN = 4031, Info, "The group of claim holders was written; the fields give its epoch and holders.";
    CLAIM_GROUP_NOT_SEALED = 4032, Warn, "The epoch of the claim group could not be sealed, so the group can't be replaced yet: no majority of its holders answers.";
    CLAIM_GROUP_NOT_WRITTEN = 4033, Warn, "A new claim group was not written, or it is not known whether it was; the holder of the lease tries again.";
    ENGINE_WARMED = 4040, Info, "Hot prefixes were imported at an engine that came up cold.";
    PREFIX_KEPT = 4041, Info, "A hot prefix was exported from an engine and put into the KV store.";
    WARMING_FAILED = 4042, Warn, "A hot prefix could not be kept or imported; the engine computes it when a request needs it.";
}

//! Events of gossip, configuration, engines and cache events: numbers 3000 to 3999.

crate::event_codes! {
    CONFIGURATION_IN_FORCE = 3000, Info, "A newer configuration is in force; the field gives the revision up to which it is complete.";
    MEMBER_CHANGED = 3001, Info, "Another daemon is new or has another life or state; the fields give what is believed of it.";
    ENGINE_CHANGED = 3002, Info, "An engine is new or has another life, weights version or health.";
    ENGINE_UNREACHABLE = 3003, Warn, "An engine does not answer its observer; it gets no new requests until it does.";
    OWN_INCARNATION_RAISED = 3004, Warn, "Other daemons knew a later life under this daemon's name, because the clock was set back or two daemons have one name. Check the names if this repeats.";
    GOSSIP_UNDECODABLE = 3005, Warn, "A datagram on the peer address does not decode, or is of another cluster, and was dropped. Check what sends it, or the versions of the daemons.";
    GOSSIP_NOT_SENT = 3006, Warn, "A gossip datagram could not be sent; the next one makes up for it.";
    GOSSIP_NOT_RECEIVED = 3007, Error, "The gossip socket failed; the daemon tries again.";
    MACHINE_LIST_UNREACHABLE = 3008, Warn, "The machine list did not answer; engines and daemons known stay known. Logged once until it answers again.";
    OBSERVER_FAILED = 3009, Error, "The observer of engines could not be started; this daemon learns of engines from the others only. Restart it.";
    CACHE_EVENTS_FAILED = 3010, Error, "The reader of cache events could not be started; residency rests on answers alone. Restart the daemon.";
    CACHE_EVENTS_BROKEN = 3011, Warn, "The stream of an engine's cache events broke; what is known of its cache expires by age until it is read again.";
    OBJECT_REJECTED = 3500, Error, "A configuration object does not parse and is left out; the others are in force. Correct the object in the store.";
    PULL_FAILED = 3501, Warn, "A copy of the configuration from another daemon failed; the next gossip message leads to another attempt.";
    STORE_UNREACHABLE = 3502, Warn, "The object store did not answer; what is in force stays in force, and the daemon tries again.";
    STORE_WATCHED = 3503, Info, "This daemon watches the object store for its zone, from the revision given.";
    CLAIMS_HELD = 3700, Info, "What this daemon holds of the claim group has changed; the fields give epoch and state.";
    CLAIM_HOLDER_WAITING = 3701, Warn, "This daemon was appointed a claim holder in an earlier life and waits for a majority of active holders. Where a majority has restarted, the claim group must be replaced, which needs the object store.";
    CLAIM_CLIENT_FAILED = 3702, Error, "The client of claim holders could not be built; this daemon can't return to the claim group. Restart it.";
}

//! Events of gossip, configuration, engines and cache events: numbers 3000 to 3999.

crate::event_codes! {
    CONFIGURATION_IN_FORCE = 3000, Info, "A newer configuration is in force; the field gives the revision up to which it is complete.";
    OBJECT_REJECTED = 3500, Error, "A configuration object does not parse and is left out; the others are in force. Correct the object in the store.";
    PULL_FAILED = 3501, Warn, "A copy of the configuration from another daemon failed; the next gossip message leads to another attempt.";
    STORE_UNREACHABLE = 3502, Warn, "The object store did not answer; what is in force stays in force, and the daemon tries again.";
    STORE_WATCHED = 3503, Info, "This daemon watches the object store for its zone, from the revision given.";
}

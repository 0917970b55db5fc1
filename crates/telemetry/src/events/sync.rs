//! Events of gossip, configuration, engines and cache events: numbers 3000 to 3999.

crate::event_codes! {
    CONFIGURATION_IN_FORCE = 3000, Info, "A newer configuration is in force; the field gives the revision up to which it is complete.";
}

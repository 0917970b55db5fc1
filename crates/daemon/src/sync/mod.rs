//! What a daemon hears: gossip, configuration, engine status and cache events.

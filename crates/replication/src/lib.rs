//! Replicated configuration objects: revisions only rise, anti-entropy between daemons.

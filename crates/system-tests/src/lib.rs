//! Promise tests: whole systems of daemons and stand-ins under faults.

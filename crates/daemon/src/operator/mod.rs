//! The operators' interface: statements, metrics and health checks.

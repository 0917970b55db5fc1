//! The operators' command line for driftspring.

//! At-most-once claims held in memory by a quorum of daemons.

//! Gossip membership and the engine table, as state machines without input or output.

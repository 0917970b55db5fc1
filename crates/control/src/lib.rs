//! Leases, fencing, rollout of weights, drain and cache warming.

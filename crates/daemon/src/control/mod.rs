//! What the holders of leases do: rollout of weights, drain, cache warming, the claim group.

//! Engine choice: candidate placement, load estimate, cost function and the baseline policies.

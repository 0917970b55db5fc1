//! Admission: tenant rate and concurrency, fairness, retry budget and engine breaker.

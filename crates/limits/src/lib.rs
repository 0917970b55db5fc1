//! Limits of the request path: admission of tenants, retry budget and engine breaker.
//!
//! Everything is made of atomics and read-copy-update maps; no call waits for a lock.
//!
//! - [`admission`]: whether a tenant's request is taken in now, or refused at once.
//! - [`usage`]: open requests of the daemon and of each tenant, and the permits that count them.
//! - [`fairness`]: the share of each tenant under overload.
//! - [`retry_after`]: when a refused caller should come back.
//! - [`retry_budget`]: how many extra attempts the engines are burdened with.
//! - [`breaker`]: engines that fail are left alone for a while.

pub mod admission;
pub mod breaker;
pub mod fairness;
pub mod retry_after;
pub mod retry_budget;
mod sync;
mod tenants;
pub mod usage;

pub use admission::{Admission, Refusal, RefusalReason};
pub use breaker::{BreakerState, EngineBreaker};
pub use retry_budget::RetryBudget;
pub use usage::{DaemonUsage, Permit, TenantUsage};

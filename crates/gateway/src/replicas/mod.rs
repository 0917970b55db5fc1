//! The replicas, what is known of each of them, and the choice among them.

mod health;
mod placement;
mod queue_state;
mod queue_wait;
mod registry;
mod removed_incarnations;
mod replica;
mod service_replicas;

pub use health::Health;
pub use placement::{Candidate, PlacementKey, place};
pub use queue_state::{QueueState, RecentStarts, service_queue_wait};
pub use queue_wait::{MeasuredWait, QueueWaitEstimator, QueuedRequest};
pub use registry::Registry;
pub use removed_incarnations::{
    HOLD_BACK_TIMEOUT, MAX_REMOVED_INCARNATIONS, REMOVED_RETENTION, RemovedIncarnations,
};
pub use replica::{OpenRequestGuard, Replica, estimated_prefill_time};
pub use service_replicas::{MAX_COMPARED, ServiceReplicas};

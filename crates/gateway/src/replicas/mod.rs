//! The replicas, what is known of each of them, and the selection of those compared for a request.

mod health;
mod queue_wait;
mod registry;
mod removed_incarnations;
mod replica;
mod running_work;
mod service_replicas;
mod speed;
pub mod speed_metrics;

pub use health::Health;
pub use queue_wait::{MeasuredWait, QueueWaitEstimator, QueuedRequest};
pub use registry::Registry;
pub use removed_incarnations::{
    HOLD_BACK_TIMEOUT, MAX_REMOVED_INCARNATIONS, REMOVED_RETENTION, RemovedIncarnations,
};
pub use replica::{MAX_PROMPT_TOKENS, OpenRequestGuard, Replica};
pub use running_work::{MAX_STREAM_TIME, MAX_TRACKED_STREAMS, RunningWork};
pub use service_replicas::{MAX_COMPARED, ServiceReplicas};
pub use speed::{RouteSpeed, RouteSpeeds, SLOW_THRESHOLD, SpeedTracker, TimedCall};

//! What is believed of each replica, and the choice of one.

mod begin_wait;
mod gone_lives;
mod health;
mod lines;
mod placement;
mod registry;
mod replica;
mod service_replicas;

pub use begin_wait::{BeginWait, Begun, Waiting};
pub use gone_lives::{GONE_MEMORY, GoneLives, HELD_BACK, MAX_GONE_LIVES};
pub use health::Health;
pub use lines::{Begins, Line, wait_together};
pub use placement::{Candidate, PlacementKey, place};
pub use registry::Registry;
pub use replica::{OpenWork, Replica, reading_time};
pub use service_replicas::{MOST_COMPARED, ServiceReplicas};

//! Choice of the engine for one request.
//!
//! - [`heat`]: how large a share of the traffic each prefix has, in bounded memory.
//! - [`placement`]: which engines a prefix belongs to: rendezvous hashing, nested along the prefix.
//! - [`load`]: an engine's load from old reports, answers and this daemon's own requests.
//! - [`cost`]: the cost of an engine for a request.
//! - [`scheduler`]: the choice itself.
//! - [`baselines`]: simpler policies that the full scheme is measured against.
//!
//! Nothing here reads a clock or keeps a random generator: both are arguments.

pub mod baselines;
pub mod candidate;
pub mod cost;
pub mod heat;
pub mod load;
pub mod placement;
pub mod scheduler;

pub use baselines::{Baseline, BaselineScheduler};
pub use candidate::{Candidate, Decision, DecisionReason, EngineKey, ZoneDistance};
pub use cost::{Cost, CostModel, CostWeights, PlacementRank};
pub use heat::{HeatSettings, HeatTracker};
pub use load::{LoadEstimate, LoadModel, LoadReport};
pub use placement::{Placement, PlacementSettings};
pub use scheduler::{Scheduler, SchedulerSettings};

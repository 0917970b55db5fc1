//! What is cached where, as far as this daemon can know.
//!
//! One [`EngineResidency`] per engine incarnation holds the block hashes that the engine probably
//! has cached, in a fixed amount of memory. Answers of engines and, where they are read, cache
//! events correct it. Readers and writers use atomics only, so the request path never waits.
//! Safety rests on nothing here: a wrong entry costs time, never a wrong answer.

mod directory;
mod engine;
mod events;
mod lifetime;
mod sync;
mod table;
mod tick;

pub use directory::{Directory, DirectorySettings, ResidencyMap};
pub use engine::{EngineResidency, Overlap};
pub use events::{CacheEvent, CacheEventKind, EventCursor, EventStep};
pub use lifetime::{LONGEST_LIFETIME, SHORTEST_LIFETIME};
pub use table::{BlockTable, WAYS};
pub use tick::{TICK, Tick};

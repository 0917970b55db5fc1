//! Seeded traces of requests with deeply nested prefixes.
//!
//! - [`shape`]: the two users' services, tenants, prompt levels and rates.
//! - [`trace`]: draws the requests of a run; the same seed gives the same trace.
//! - [`prompt`]: the text of a prompt.

pub mod prompt;
pub mod shape;
pub mod trace;

pub use prompt::{Prompt, Segment};
pub use shape::{HotPrefixes, PromptLevel, Service, Workload};
pub use trace::{Trace, TraceRequest};

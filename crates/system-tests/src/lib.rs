//! Harness of the system tests: whole systems of daemons and stand-ins, recorded callers, faults.
//!
//! A [`System`] runs its parts as threads of the test or as separate processes ([`Host`]). A test
//! sends requests with a [`Caller`], brings faults about, and ends with [`System::finish`], which
//! gathers every recording into one history for `driftspring-check`.

mod caller;
mod control;
mod daemon;
mod engine;
mod faults;
mod finished;
mod load;
mod process;
mod prompts;
mod settings_file;
mod sse;
mod standin;
mod system;
mod temporary;
mod wait;

pub use caller::{Call, CallResult, Caller};
pub use control::HttpControl;
pub use daemon::{DaemonHost, DaemonOptions};
pub use engine::{EngineHost, EngineOptions};
pub use finished::FinishedRun;
pub use load::{Load, LoadOptions};
pub use process::{ChildProcess, Programs, send_signal};
pub use prompts::{NestedPrompt, long_prompt};
pub use settings_file::{bearer_key, tenant};
pub use standin::Standin;
pub use system::{Host, System};
pub use temporary::TemporaryDirectory;
pub use wait::{run, wait_until};

/// The model that every engine of a system serves unless it says otherwise.
pub const MODEL: &str = "spec-reader";

/// The tenants that every system knows.
pub const TENANTS: [&str; 2] = ["moreton", "directorate"];

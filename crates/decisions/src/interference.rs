//! Interference between the prefill of long prompts and the streams that run at the same replica.
//!
//! Load: long prompts are prefilled beside streams that have pause targets. A replica prefills one chunk per step, and
//! each chunk delays the next token of every stream there.
//!
//! Two costs are added to that of a candidate (see [`crate::placement::Candidate::interference_cost_ms`]), alone or
//! together:
//!
//! - [`interference_cost_ms`]: the pauses that the prompt adds to the streams at a replica, and those it has to expect
//!   there itself.
//! - [`Separation`]: a part of the replicas is preferred for long prompts and avoided by short ones.
//!
//! Both are costs rather than filters, so a request never lacks a replica because of them.

mod separation;
mod stall;

use std::time::Duration;

pub use separation::Separation;
pub use stall::interference_cost_ms;

/// Divisor of the service's pause target that gives the prefill time from which a prompt is long.
const LONG_PROMPT_DIVISOR: u32 = 10;

/// What a prompt needs from a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptProfile {
    /// Time to prefill what every replica has to prefill of it (its own part).
    pub prefill_time: Duration,
    /// Time to prefill all of it.
    pub whole_prefill_time: Duration,
    /// The longest pause between its events that its callers accept; `None` if the route names none.
    pub pause_target: Option<Duration>,
    /// The shortest pause target of the routes of its service; `None` if no route names one.
    pub service_pause_target: Option<Duration>,
}

impl PromptProfile {
    /// Whether the prompt delays streams noticeably: prefilling all of it takes more than a tenth of the service's
    /// shortest pause target. Without a pause target no prompt is long.
    pub fn is_long(&self) -> bool {
        self.target()
            .is_some_and(|target| self.whole_prefill_time > target / LONG_PROMPT_DIVISOR)
    }

    /// The service's shortest pause target; `None` if it is absent or zero.
    fn target(&self) -> Option<Duration> {
        self.service_pause_target.filter(|target| !target.is_zero())
    }
}

/// A number reported by others, kept within 0 and `max`; 0 if it is not a number.
fn bounded(value: f64, max: f64) -> f64 {
    if value.is_nan() {
        0.0
    } else {
        value.clamp(0.0, max)
    }
}

fn milliseconds(time: Duration) -> f64 {
    time.as_secs_f64() * 1000.0
}

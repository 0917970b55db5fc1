//! Interference between the prefill of prompts and the streams that run at the same replica: what this gateway knows.
//!
//! Each gateway reports the prompts that it sends ([`crate::peers`]). From these reports and its own sends it keeps, for
//! each replica, the streams that are expected to run there and the recent prefill
//! ([`crate::replicas::RunningWork`]), and for each service the demand of long prompts. The costs are computed by
//! [`driftspring_decisions::interference`]; services without a pause target have none.

mod decayed_sum;
mod own_stream;
mod service;
mod task;
mod token_time;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use driftspring_clock::Instant;
use driftspring_decisions::interference::PromptProfile;
use driftspring_decisions::prefill::estimated_prefill_time;
use driftspring_settings::InterferenceMode;
use driftspring_telemetry::events::gateway;
use driftspring_telemetry::log_event;

use crate::configuration::Configuration;
use crate::peers::message::WirePrompt;
use crate::replicas::{MAX_PROMPT_TOKENS, Replica};

pub use decayed_sum::DecayedSum;
pub use own_stream::OwnStream;
pub use service::ServiceInterference;
pub(crate) use task::run;
pub use token_time::{StreamPace, TokenTime};

/// Limit of the services that are tracked. No configuration has more, but entries of other writers may name any service.
const MAX_SERVICES: usize = 1024;

/// Maximum number of output tokens that a report is believed.
const MAX_OUTPUT_TOKENS: u32 = 65_536;

/// What this gateway knows of interference.
#[derive(Debug)]
pub struct Interference {
    mode: Cell<InterferenceMode>,
    services: RefCell<HashMap<String, Rc<ServiceInterference>>>,
}

impl Interference {
    /// Knows nothing yet.
    pub fn new(mode: InterferenceMode) -> Self {
        Self {
            mode: Cell::new(mode),
            services: RefCell::default(),
        }
    }

    /// How interference is weighed.
    pub fn mode(&self) -> InterferenceMode {
        self.mode.get()
    }

    /// Whether interference is weighed at all.
    pub fn is_on(&self) -> bool {
        self.mode() != InterferenceMode::Off
    }

    /// Whether replicas are separated.
    pub fn is_separating(&self) -> bool {
        matches!(
            self.mode(),
            InterferenceMode::Separate | InterferenceMode::Both
        )
    }

    /// Puts a reloaded mode into force.
    pub fn set_mode(&self, mode: InterferenceMode) {
        self.mode.set(mode);
    }

    /// What is known of a service.
    pub fn service(&self, name: &str) -> Rc<ServiceInterference> {
        let mut services = self.services.borrow_mut();
        if let Some(known) = services.get(name) {
            return Rc::clone(known);
        }
        let service = Rc::new(ServiceInterference::default());
        if services.len() < MAX_SERVICES {
            services.insert(name.to_owned(), Rc::clone(&service));
        }
        service
    }

    /// The services of which something is known.
    pub fn services(&self) -> Vec<(String, Rc<ServiceInterference>)> {
        let services = self.services.borrow();
        let known = services.iter();
        known
            .map(|(name, service)| (name.clone(), Rc::clone(service)))
            .collect()
    }

    /// Records a prompt that another gateway sent to `replica`, after its prefill was recorded there. What it reports is
    /// bounded.
    pub fn record_reported(
        &self,
        configuration: Option<&Configuration>,
        replica: &Replica,
        prompt: &WirePrompt,
        now: Instant,
    ) {
        if !self.is_on() {
            return;
        }
        let service_name = replica.entry().service.clone();
        let service = self.service(&service_name);
        let target = configuration.and_then(|known| known.shortest_pause_target(&service_name));
        // A gateway of the previous build does not report the whole prompt.
        let whole_tokens = u64::from(prompt.whole_tokens).max(prompt.tokens);
        let profile = PromptProfile {
            prefill_time: prefill_time(prompt.tokens),
            whole_prefill_time: prefill_time(whole_tokens),
            pause_target: None,
            service_pause_target: target,
        };
        service.record_prompt(&profile, now);
        if prompt.is_stream_with_pause_target() {
            let tokens = prompt.output_tokens.min(MAX_OUTPUT_TOKENS);
            let time = replica.remaining_prefill(now) + service.token_time.get() * tokens;
            replica.work.record_reported_stream(time, now);
        }
    }
}

/// Adapts the separation of a service to the demand, and logs a noticeable change.
pub(crate) fn update_separation(
    name: &str,
    service: &ServiceInterference,
    replicas: usize,
    now: Instant,
) {
    if service.update(replicas, now) {
        log_event!(
            gateway::REPLICAS_RESERVED,
            "service={name} reserved={:.1} replicas={replicas} demand={:.2}",
            service.reserved_replicas(),
            service.demand(now)
        );
    }
}

/// Estimated time to prefill so many tokens, bounded.
pub fn prefill_time(tokens: u64) -> Duration {
    estimated_prefill_time(tokens.min(MAX_PROMPT_TOKENS))
}

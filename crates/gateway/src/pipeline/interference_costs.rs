//! The cost of interference at each candidate for one request, see [`crate::interference`].

use std::fmt;
use std::rc::Rc;

use driftspring_clock::Instant;
use driftspring_decisions::interference::{PromptProfile, interference_cost_ms};
use driftspring_decisions::load::ReplicaLoad;
use driftspring_settings::InterferenceMode;

use super::context::RequestContext;
use crate::interference::{ServiceInterference, prefill_time, update_separation};
use crate::replicas::Replica;
use crate::state::GatewayState;

/// Computes the cost of interference at each candidate for one request.
pub struct InterferenceCosts {
    /// Nothing where interference is not weighed: the setting is off, the request has no prompt, or no route of its
    /// service has a pause target.
    weighed: Option<Weighed>,
}

struct Weighed {
    mode: InterferenceMode,
    profile: PromptProfile,
    service: Rc<ServiceInterference>,
}

impl InterferenceCosts {
    /// The costs for a request to a service with so many replicas.
    pub fn new(state: &GatewayState, context: &RequestContext, replicas: usize) -> Self {
        let weighed = profile(state, context).map(|profile| {
            let service = state.interference.service(context.service());
            if state.interference.is_separating() {
                update_separation(context.service(), &service, replicas, Instant::now());
            }
            Weighed {
                mode: state.interference.mode(),
                profile,
                service,
            }
        });
        Self { weighed }
    }

    /// The cost at a replica, in milliseconds.
    pub fn at(&self, id_hash: u64, load: &ReplicaLoad) -> f64 {
        let Some(weighed) = &self.weighed else {
            return 0.0;
        };
        let stall = || interference_cost_ms(load, &weighed.profile);
        match weighed.mode {
            InterferenceMode::Off => 0.0,
            InterferenceMode::Stall => stall(),
            InterferenceMode::Separate => weighed.separation_cost_ms(id_hash),
            InterferenceMode::Both => stall() + weighed.separation_cost_ms(id_hash),
        }
    }

    /// Whether the replicas are separated for this request.
    pub fn separates(&self) -> bool {
        let mode = self.weighed.as_ref().map(|weighed| weighed.mode);
        matches!(
            mode,
            Some(InterferenceMode::Separate | InterferenceMode::Both)
        )
    }

    /// Whether a replica is on the side that the request prefers.
    pub fn prefers(&self, id_hash: u64) -> bool {
        let weighed = self.weighed.as_ref();
        weighed.is_none_or(|weighed| weighed.service.prefers(id_hash, &weighed.profile))
    }

    /// Records the prompt of the request as sent by this gateway.
    pub fn record_sent(state: &GatewayState, context: &RequestContext, tokens: u64, now: Instant) {
        if let Some(profile) = profile(state, context) {
            let sent = PromptProfile {
                prefill_time: prefill_time(tokens),
                ..profile
            };
            let service = state.interference.service(context.service());
            service.record_prompt(&sent, now);
        }
    }
}

impl Weighed {
    fn separation_cost_ms(&self, id_hash: u64) -> f64 {
        self.service.separation_cost_ms(id_hash, &self.profile)
    }
}

/// What the prompt of the request needs; nothing where interference is not weighed.
fn profile(state: &GatewayState, context: &RequestContext) -> Option<PromptProfile> {
    if !state.interference.is_on() {
        return None;
    }
    context.prompt()?;
    let target = context
        .configuration()
        .shortest_pause_target(context.service())?;
    let whole = context.input_tokens();
    let own = whole.saturating_sub(context.shared_tokens());
    Some(PromptProfile {
        prefill_time: prefill_time(own),
        whole_prefill_time: prefill_time(whole),
        pause_target: context.route().pause_target,
        service_pause_target: Some(target),
    })
}

/// The interference at the chosen replica and, if another one is the home of the prompt, at that one; logged.
#[derive(Debug, Clone, PartialEq)]
pub struct ChosenInterference {
    /// At the chosen replica.
    chosen: AtReplica,
    /// The home and what was known of it, if another replica was chosen.
    home: Option<(String, AtReplica)>,
}

#[derive(Debug, Clone, Copy, PartialEq)]
struct AtReplica {
    cost_ms: f64,
    load: ReplicaLoad,
}

impl ChosenInterference {
    /// Cost and load at the chosen replica, and at the home if that is another one.
    pub fn new(chosen: (f64, ReplicaLoad), home: Option<(&Replica, f64, ReplicaLoad)>) -> Self {
        let at = |(cost_ms, load)| AtReplica { cost_ms, load };
        Self {
            chosen: at(chosen),
            home: home
                .map(|(replica, cost_ms, load)| (replica.id().to_owned(), at((cost_ms, load)))),
        }
    }
}

impl fmt::Display for ChosenInterference {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let AtReplica { cost_ms, load } = self.chosen;
        write!(
            formatter,
            "interference_ms={cost_ms:.1} streams={} prefill_share={:.2}",
            load.running_streams, load.prefill_share
        )?;
        let Some((id, AtReplica { cost_ms, load })) = &self.home else {
            return Ok(());
        };
        write!(
            formatter,
            " home_replica={id} home_interference_ms={cost_ms:.1} home_streams={} home_prefill_share={:.2}",
            load.running_streams, load.prefill_share
        )
    }
}

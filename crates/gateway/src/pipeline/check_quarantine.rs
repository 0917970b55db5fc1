//! Filter: stops requests that crash the replicas that run them, and those with a part in their prompts that does
//! ([`crate::quarantine`]).

use super::context::RequestContext;
use super::refusal::{Reason, Refusal, Step};
use std::time::Duration;

use crate::quarantine::{Fingerprint, RecordSource, Verdict, is_first_home, isolated_trials};
use crate::state::GatewayState;

/// Checks before each send whether the request may go to a replica. `may_have_run` says whether an earlier attempt of
/// it may have run at one.
pub fn check_quarantine(
    state: &GatewayState,
    context: &RequestContext,
    may_have_run: bool,
) -> Result<(), Refusal> {
    if !state.quarantine.has_suspects() {
        return Ok(());
    }
    let own = context.fingerprint();
    let parts = context.part_fingerprints();
    let suspects = parts.iter().copied().chain([own]);
    let judged: Vec<(Fingerprint, Verdict)> = suspects
        .map(|suspect| (suspect, state.quarantine.verdict(|| suspect)))
        .filter(|(_, verdict)| *verdict != Verdict::Clear)
        .collect();
    let held = judged
        .iter()
        .filter(|(_, verdict)| *verdict != Verdict::Suspicious);
    // A trial in isolation says nothing if the request has another suspect.
    let is_alone = held.clone().count() == 1;
    for (suspect, verdict) in held.clone() {
        let may_be_tried = match verdict {
            Verdict::TrialDue => is_trial_gateway(state, *suspect),
            Verdict::IsolatedTrialDue(from) => {
                is_alone && is_own_turn_to_isolate(state, *suspect, *from)
            }
            Verdict::Clear | Verdict::Suspicious | Verdict::Quarantined => false,
        };
        if !may_be_tried {
            state.status.metrics.quarantined.inc();
            return Err(refusal(context, *suspect, "quarantined"));
        }
    }
    // It may have crashed the replica that it was sent to. If it was not the cause, its caller sends it again. Of parts
    // this is not assumed: they are shared with many requests that have just lost their replica as well.
    if may_have_run && judged.contains(&(own, Verdict::Suspicious)) {
        let reason = "suspected to have ended replicas";
        return Err(refusal(context, own, reason));
    }
    for (suspect, verdict) in held {
        match verdict {
            Verdict::TrialDue => state.quarantine.begin_trial(*suspect),
            _ => state.quarantine.begin_isolated_trial(*suspect),
        }
    }
    Ok(())
}

/// Records that a request was answered completely, so its replica has survived it and the parts of its prompt.
pub fn note_survived(state: &GatewayState, context: &RequestContext) {
    if !state.quarantine.may_clear() {
        return;
    }
    let parts = context.part_fingerprints().iter().copied();
    for survived in parts.chain([context.fingerprint()]) {
        state.quarantine.clear(survived, RecordSource::Own);
    }
}

/// Whether this is the one gateway that tries the quarantined request: otherwise each gateway would try it once.
fn is_trial_gateway(state: &GatewayState, fingerprint: Fingerprint) -> bool {
    is_first_home(&state.peers.directory(), fingerprint, state.peers.own())
}

/// Whether it is this gateway's turn for the isolated trial of the request, which has been due since `from`.
fn is_own_turn_to_isolate(state: &GatewayState, fingerprint: Fingerprint, from: Duration) -> bool {
    let turn =
        isolated_trials::trial_delay(&state.peers.directory(), fingerprint, state.peers.own());
    state.quarantine.now() >= from.saturating_add(turn)
}

fn refusal(context: &RequestContext, suspect: Fingerprint, reason: &str) -> Refusal {
    let mut parts = context.part_fingerprints().iter();
    let position = parts.position(|part| *part == suspect);
    let part = position.and_then(|position| context.shared_parts().get(position));
    let detail = match part {
        Some(part) => format!("{reason} fingerprint={suspect} part={}", part.id),
        None => format!("{reason} fingerprint={suspect}"),
    };
    Refusal::new(Step::Dispatch, Reason::Quarantined, detail)
}

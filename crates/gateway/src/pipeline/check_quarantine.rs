//! Filter: stops requests that crash the replicas that run them ([`crate::quarantine`]).

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
    let fingerprint = || context.fingerprint();
    match state.quarantine.verdict(fingerprint) {
        Verdict::Clear => Ok(()),
        // It may have crashed the replica that it was sent to. If it was not the cause, its caller sends it again.
        Verdict::Suspicious if may_have_run => Err(refusal(
            context.fingerprint(),
            "suspected to have ended replicas",
        )),
        Verdict::Suspicious => Ok(()),
        Verdict::TrialDue if is_trial_gateway(state, context.fingerprint()) => {
            state.quarantine.begin_trial(context.fingerprint());
            Ok(())
        }
        Verdict::IsolatedTrialDue(from)
            if is_own_turn_to_isolate(state, context.fingerprint(), from) =>
        {
            state.quarantine.begin_isolated_trial(context.fingerprint());
            Ok(())
        }
        Verdict::TrialDue | Verdict::IsolatedTrialDue(_) | Verdict::Quarantined => {
            state.status.metrics.quarantined.inc();
            Err(refusal(context.fingerprint(), "quarantined"))
        }
    }
}

/// Records that a request was answered completely, so its replica has survived it.
pub fn note_survived(state: &GatewayState, context: &RequestContext) {
    if state.quarantine.may_clear() {
        state
            .quarantine
            .clear(context.fingerprint(), RecordSource::Own);
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

fn refusal(fingerprint: Fingerprint, reason: &str) -> Refusal {
    let detail = format!("{reason} fingerprint={fingerprint}");
    Refusal::new(Step::Dispatch, Reason::Quarantined, detail)
}

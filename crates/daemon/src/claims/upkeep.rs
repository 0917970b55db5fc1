//! Takes in the group, returns to it after a restart, forgets old claims.

use std::sync::Arc;
use std::time::{Duration, Instant};

use driftspring_claims::{ClaimMessage, EpochState, RecoveryRound};
use driftspring_telemetry::events::sync;
use driftspring_telemetry::log_event;
use driftspring_types::ClaimGroup;
use ntex::time::sleep;

use super::{ClaimClient, now, present_group};
use crate::state::DaemonState;

/// How often the group is looked at.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);

/// How often a restarted holder asks whether it may return.
const RECOVERY_INTERVAL: Duration = Duration::from_millis(250);

/// How often old claims are forgotten.
const FORGET_INTERVAL: Duration = Duration::from_secs(30);

/// Runs until the process ends.
pub(super) async fn run(state: Arc<DaemonState>) {
    let client = match ClaimClient::new(&state).await {
        Ok(client) => client,
        Err(error) => {
            log_event!(sync::CLAIM_CLIENT_FAILED, "error={error:#}");
            return;
        }
    };
    let mut upkeep = Upkeep::new(state, client);
    while !upkeep.state.is_terminated() {
        upkeep.step().await;
        sleep(LOOK_INTERVAL).await;
    }
}

struct Upkeep {
    state: Arc<DaemonState>,
    client: ClaimClient,
    held: EpochState,
    next_recovery: Instant,
    next_forgetting: Instant,
}

impl Upkeep {
    fn new(state: Arc<DaemonState>, client: ClaimClient) -> Self {
        Self {
            state,
            client,
            held: EpochState::NotHolding,
            next_recovery: Instant::now(),
            next_forgetting: Instant::now() + FORGET_INTERVAL,
        }
    }

    async fn step(&mut self) {
        if let Some(group) = present_group(&self.state) {
            self.state.claims.apply_group(&group, now());
            self.recover(&group).await;
        }
        self.log_change();
        if Instant::now() >= self.next_forgetting {
            self.next_forgetting = Instant::now() + FORGET_INTERVAL;
            self.state.claims.forget_old_claims(now());
        }
    }

    async fn recover(&mut self, group: &ClaimGroup) {
        let waiting = EpochState::Recovering { epoch: group.epoch };
        if self.state.claims.status().state != waiting || Instant::now() < self.next_recovery {
            return;
        }
        self.next_recovery = Instant::now() + RECOVERY_INTERVAL;
        let answers = self.client.statuses(group, ClaimMessage::Status).await;
        if RecoveryRound::new(group).is_confirmed(&answers) {
            self.state.claims.recover(group.epoch, now());
        }
    }

    fn log_change(&mut self) {
        let state = self.state.claims.status().state;
        if state == self.held {
            return;
        }
        self.held = state;
        log_event!(sync::CLAIMS_HELD, "state={state:?}");
        if let EpochState::Recovering { epoch } = state {
            log_event!(sync::CLAIM_HOLDER_WAITING, "epoch={epoch}");
        }
    }
}

//! Keeps the group of claim holders: writes the first one, replaces it through a sealed hand-over.

use std::sync::Arc;
use std::time::{Duration, Instant};

use driftspring_claims::{ClaimMessage, EpochState, majority_of};
use driftspring_control::claim_group::{GroupPlan, choose_holders, plan_group};
use driftspring_telemetry::events::control;
use driftspring_telemetry::log_event;
use driftspring_types::{ClaimGroup, FencingToken, ObjectKey, ObjectKind, Revision};
use ntex::time::sleep;
use serde_json::Value;

use super::config_writer::{Proposal, ProposalOutcome, propose_strictly};
use super::lease_task::ControlLease;
use crate::claims::{ClaimClient, first_group, seal_group};
use crate::state::DaemonState;

/// Time between two looks at the group.
const LOOK_INTERVAL: Duration = Duration::from_millis(250);
/// How long the same first group must have been planned before it is written: daemons that start
/// together meet in this time.
const CREATE_PATIENCE: Duration = Duration::from_secs(1);
/// How long the same replacement must have been planned before the present group is sealed: requests
/// whose keys are older than the new group are refused, so it is not done in haste.
const REPLACE_PATIENCE: Duration = Duration::from_secs(3);

/// Works until the process ends; does nothing without the lease.
pub async fn run(state: Arc<DaemonState>, lease: ControlLease) -> anyhow::Result<()> {
    let mut keeper = GroupKeeper {
        claims: ClaimClient::new(&state).await?,
        state,
        lease,
        planned: GroupPlan::Keep,
        planned_since: Instant::now(),
    };
    while !keeper.state.is_terminated() {
        if let Some(token) = keeper.lease.token() {
            keeper.step(token).await;
        }
        sleep(LOOK_INTERVAL).await;
    }
    Ok(())
}

/// The group in force, and its object's revision.
#[derive(Debug, Clone)]
struct PresentGroup {
    group: Option<Arc<ClaimGroup>>,
    revision: Revision,
}

struct GroupKeeper {
    state: Arc<DaemonState>,
    lease: ControlLease,
    claims: ClaimClient,
    planned: GroupPlan,
    planned_since: Instant,
}

impl GroupKeeper {
    async fn step(&mut self, token: FencingToken) {
        let Some(present) = self.present() else {
            return;
        };
        let plan = self.plan(&present).await;
        if plan != self.planned {
            self.planned = plan;
            self.planned_since = Instant::now();
        }
        let waited = self.planned_since.elapsed();
        match self.planned.clone() {
            GroupPlan::Create(holders) if waited >= CREATE_PATIENCE => {
                self.write(&present, first_group(holders, token)).await;
            }
            GroupPlan::Replace(holders) if waited >= REPLACE_PATIENCE => {
                let Some(group) = &present.group else {
                    return;
                };
                match seal_group(&self.claims, group).await {
                    Some(sealed) => {
                        self.write(&present, sealed.successor(holders, token)).await;
                    }
                    None => log_event!(control::CLAIM_GROUP_NOT_SEALED, "epoch={}", group.epoch),
                }
            }
            _ => {}
        }
    }

    /// The group in force; nothing where it is not known what the store holds, or where the object was
    /// deleted: then the epochs that were used are not known.
    fn present(&self) -> Option<PresentGroup> {
        let config = self.state.config.load();
        if config.complete_to == Revision(0) {
            return None;
        }
        let revision = config.revisions.get(&group_key().to_string()).copied();
        let group = config.claim_group.clone();
        if group.is_none() && revision.is_some() {
            return None;
        }
        Some(PresentGroup {
            group,
            revision: revision.unwrap_or_default(),
        })
    }

    /// The plan by members; a group whose epoch no majority holds is replaced too. That is so where a
    /// hand-over was begun, and its controller lost the lease between the seal and the write.
    async fn plan(&self, present: &PresentGroup) -> GroupPlan {
        let members = self.state.members.load_full();
        let group = present.group.as_deref();
        let plan = plan_group(group, &members);
        let (GroupPlan::Keep, Some(group)) = (&plan, group) else {
            return plan;
        };
        let statuses = self.claims.statuses(group, ClaimMessage::Status).await;
        let active = EpochState::Active { epoch: group.epoch };
        let holding = statuses.iter().filter(|status| status.state == active);
        if holding.count() >= majority_of(group.holders.len()) {
            return GroupPlan::Keep;
        }
        GroupPlan::Replace(choose_holders(Some(group), &members))
    }

    /// Writes `group` on condition that the present one is still there, and that the lease is held.
    async fn write(&mut self, present: &PresentGroup, group: ClaimGroup) {
        let Ok(Value::Object(fields)) = serde_json::to_value(&group) else {
            return;
        };
        let proposal = Proposal {
            key: group_key(),
            expected: present.revision,
            value: Some(fields),
        };
        if self.lease.token() != Some(group.fencing_token) {
            return;
        }
        let epoch = group.epoch;
        match propose_strictly(&self.state, &proposal).await {
            ProposalOutcome::Accepted { .. } => log_event!(
                control::CLAIM_GROUP_WRITTEN,
                "epoch={epoch} holders={}",
                holder_names(&group)
            ),
            outcome => log_event!(
                control::CLAIM_GROUP_NOT_WRITTEN,
                "epoch={epoch} outcome={outcome:?}"
            ),
        }
    }
}

fn group_key() -> ObjectKey {
    ObjectKey::new(ObjectKind::Claims, "group")
}

fn holder_names(group: &ClaimGroup) -> String {
    let names: Vec<&str> = group
        .holders
        .iter()
        .map(|holder| holder.daemon.as_str())
        .collect();
    names.join(",")
}

//! In which daemons a change is in force.

use std::sync::Arc;

use driftspring_language::api::{InForceAnswer, MemberInForce};
use driftspring_types::config::InvalidObjectKey;
use driftspring_types::{DaemonId, MemberState, ObjectKey, Revision};
use serde::Deserialize;

use crate::control::config_writer::members_lacking;
use crate::state::DaemonState;

/// The parameters of the question.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct InForceQuestion {
    /// The object's key.
    key: String,
    /// The revision of the change.
    revision: u64,
}

/// Asks every daemon that serves.
pub async fn answer(
    state: &Arc<DaemonState>,
    question: &InForceQuestion,
) -> Result<InForceAnswer, InvalidObjectKey> {
    let key: ObjectKey = question.key.parse()?;
    let revision = Revision(question.revision);
    let lacking = members_lacking(state, &key, revision).await;
    let mut members: Vec<MemberInForce> = serving_members(state)
        .into_iter()
        .map(|id| MemberInForce {
            in_force: !lacking.contains(&id),
            id,
        })
        .collect();
    // A member that joined meanwhile may be known to lack the change only.
    for id in lacking {
        if !members.iter().any(|member| member.id == id) {
            members.push(MemberInForce {
                id,
                in_force: false,
            });
        }
    }
    Ok(InForceAnswer {
        key: question.key.clone(),
        revision,
        members,
    })
}

/// The daemons that serve, this one included even before it has met others.
fn serving_members(state: &DaemonState) -> Vec<DaemonId> {
    let members = state.members.load();
    let mut ids: Vec<DaemonId> = members
        .iter()
        .filter(|member| matches!(member.state, MemberState::Alive | MemberState::Suspect))
        .map(|member| member.id.clone())
        .collect();
    if !ids.contains(&state.settings.id) {
        ids.push(state.settings.id.clone());
    }
    ids.sort();
    ids
}

//! Operators' writes of configuration objects.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::anyhow;
use driftspring_external::ServiceTimeouts;
use driftspring_external::object_store::{
    ConditionalWrite, CurrentObject, ObjectStore, SettledWrite, WriteBody, WriteId,
};
use driftspring_telemetry::events::control;
use driftspring_telemetry::log_event;
use driftspring_telemetry::metrics::ControlSubsystem;
use driftspring_types::{DaemonId, MemberState, ObjectKey, Peer, Revision, Step, StepError};
use futures_util::future::join_all;
use serde_json::{Map, Value};

use crate::state::DaemonState;
use crate::sync::replication::{HoldsRequest, PeerClient, is_in_force, publish};

/// How long the fate of a write is pursued before it is reported as unknown.
const SETTLE_TIME: Duration = Duration::from_secs(5);

/// A change of one object that an operator asks for.
#[derive(Debug, Clone, PartialEq)]
pub struct Proposal {
    /// The object.
    pub key: ObjectKey,
    /// The revision that the operator has seen, as in [`driftspring_types::ConfigView::revisions`];
    /// 0 where there was none, or the settings file's.
    pub expected: Revision,
    /// The object's new fields; nothing to delete it.
    pub value: Option<Map<String, Value>>,
}

/// What became of a proposal.
#[derive(Debug)]
pub enum ProposalOutcome {
    /// The store accepted it. It is in force here and spreads to the other daemons.
    Accepted {
        /// Its place in the order of all changes.
        revision: Revision,
    },
    /// It was not applied and never will be: the object has been changed by another.
    Refused {
        /// What the object is now.
        current: CurrentObject,
    },
    /// It was not applied: the store was never reached.
    NotSent(StepError),
    /// It may have been applied, or may yet.
    Unknown {
        /// The name of the write; the object's `write_id` field shows whether it was applied.
        write_id: WriteId,
        /// Why its fate is not known.
        cause: StepError,
    },
}

/// Writes `proposal` to the store. Must be called on an ntex thread.
///
/// A lost answer is settled by repeating the conditional write for up to five seconds. Where both the
/// operator and the store say that there is no object, the store's mark of deletion is no conflict.
pub async fn propose(state: &Arc<DaemonState>, proposal: &Proposal) -> ProposalOutcome {
    let outcome = propose_strictly(state, proposal).await;
    let ProposalOutcome::Refused { current } = &outcome else {
        return outcome;
    };
    if !current.is_absent() || !expects_absence(state, proposal) {
        return outcome;
    }
    let after_deletion = Proposal {
        expected: current.revision,
        ..proposal.clone()
    };
    propose_strictly(state, &after_deletion).await
}

/// Like [`propose`], but the object's revision must be exactly the expected one.
pub async fn propose_strictly(state: &Arc<DaemonState>, proposal: &Proposal) -> ProposalOutcome {
    match object_store(state).await {
        Ok(store) => write(state, &store, proposal).await,
        Err(error) => ProposalOutcome::NotSent(error),
    }
}

/// The members, this daemon included, in which a change is not known to be in force. Must be called on
/// an ntex thread. Members that do not answer are among them; dead ones are not.
pub async fn members_lacking(
    state: &Arc<DaemonState>,
    key: &ObjectKey,
    revision: Revision,
) -> Vec<DaemonId> {
    let request = HoldsRequest {
        key: key.to_string(),
        revision,
    };
    let mut lacking = Vec::new();
    if !is_in_force(state, &request) {
        lacking.push(state.settings.id.clone());
    }
    let Ok(client) = PeerClient::new(state, ControlSubsystem::Operator).await else {
        lacking.extend(others(state, revision).into_iter().map(|(id, _)| id));
        return lacking;
    };
    let questions = others(state, revision).into_iter().map(|(id, address)| {
        let (client, request) = (&client, &request);
        async move {
            let holds = match address {
                Some(address) => client.holds(&id, address, request).await.unwrap_or(false),
                None => false,
            };
            (!holds).then_some(id)
        }
    });
    lacking.extend(join_all(questions).await.into_iter().flatten());
    lacking
}

/// The other members that serve and whose records do not show that they hold everything up to `revision`.
fn others(state: &DaemonState, revision: Revision) -> Vec<(DaemonId, Option<SocketAddr>)> {
    let members = state.members.load();
    members
        .iter()
        .filter(|member| member.id != state.settings.id)
        .filter(|member| matches!(member.state, MemberState::Alive | MemberState::Suspect))
        .filter(|member| member.complete_to < revision)
        .map(|member| (member.id.clone(), member.peer_socket()))
        .collect()
}

async fn object_store(state: &DaemonState) -> Result<ObjectStore, StepError> {
    let not_run = |cause| StepError::not_run(Step::Store, Peer::ObjectStore, cause);
    let address = state.settings.platform.object_store;
    let address = address.ok_or_else(|| not_run(anyhow!("the settings name no object store")))?;
    ObjectStore::new(address, ServiceTimeouts::default())
        .await
        .map_err(not_run)
}

fn expects_absence(state: &DaemonState, proposal: &Proposal) -> bool {
    proposal.expected == Revision(0)
        || state.replica.read(|replica| {
            let held = replica.get(&proposal.key.to_string());
            held.is_some_and(|record| {
                record.value.is_none() && record.revision == proposal.expected
            })
        })
}

async fn write(
    state: &Arc<DaemonState>,
    store: &ObjectStore,
    proposal: &Proposal,
) -> ProposalOutcome {
    let body = match &proposal.value {
        Some(fields) => WriteBody::Object(fields.clone()),
        None => WriteBody::Deletion,
    };
    let write = ConditionalWrite::new(proposal.key.clone(), proposal.expected, body);
    let deadline = Instant::now() + SETTLE_TIME;
    match store.write_settled(&write, deadline).await {
        SettledWrite::Accepted(revision) => {
            put_in_force(state, &write, revision);
            ProposalOutcome::Accepted { revision }
        }
        SettledWrite::Refused(current) => ProposalOutcome::Refused { current },
        SettledWrite::NotSent(error) => ProposalOutcome::NotSent(error),
        SettledWrite::Unknown(cause) => {
            let write_id = write.write_id;
            log_event!(
                control::WRITE_UNSETTLED,
                "key={} write_id={write_id} cause={cause}",
                write.key
            );
            ProposalOutcome::Unknown { write_id, cause }
        }
    }
}

/// Puts an accepted write in force here; gossip spreads it, also while the store is down.
fn put_in_force(state: &DaemonState, write: &ConditionalWrite, revision: Revision) {
    let record = write.accepted_record(revision);
    state
        .replica
        .update(|replica| (replica.apply_own_write(record), ()));
    publish(state);
    log_event!(
        control::WRITE_ACCEPTED,
        "key={} revision={revision}",
        write.key
    );
}

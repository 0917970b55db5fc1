//! Finds out whether a replica has ended or only broke off an answer.
//!
//! An answer that breaks off says little: replicas reset connections and spoil answers, links fail, machines of ours
//! stand still. A process that has ended shows at its address: nobody listens there, and the connection is refused.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use driftspring_telemetry::events::gateway;
use driftspring_telemetry::log_event;

use super::{Fingerprint, Strike, role};
use crate::protocol::ReplicaIncarnation;
use crate::replicas::Replica;
use crate::state::GatewayState;
use crate::upstream::is_refused;

/// How long losses at one replica are gathered before its address is tried. When a replica ended, its connections
/// broke off within 2 ms of each other at seven gateways (logs of an incident); a replica is back after seconds.
const GATHERING: Duration = Duration::from_millis(5);

/// Losses at one replica that are remembered until its address was tried; a replica serves fewer requests of one
/// gateway at once.
const MAX_LOSSES: usize = 256;

/// Fingerprints that a log line names.
const MAX_LOGGED: usize = 24;

/// Answers that broke off, by replica, until it is known whether the replica has ended.
#[derive(Debug, Default)]
pub struct Losses(RefCell<HashMap<ReplicaIncarnation, Vec<Loss>>>);

/// An answer that broke off.
#[derive(Debug, Clone, Copy)]
struct Loss {
    fingerprint: Fingerprint,
    /// How long the request had been at the replica.
    ran: Duration,
}

impl Losses {
    /// Adds a loss; true where it is the first one at this replica.
    fn add(&self, replica: &ReplicaIncarnation, loss: Loss) -> bool {
        let mut by_replica = self.0.borrow_mut();
        let losses = by_replica.entry(replica.clone()).or_default();
        if losses.len() < MAX_LOSSES {
            losses.push(loss);
        }
        losses.len() == 1
    }

    fn take(&self, replica: &ReplicaIncarnation) -> Vec<Loss> {
        self.0.borrow_mut().remove(replica).unwrap_or_default()
    }
}

/// Takes in that an answer of `replica` to the request with this fingerprint was lost, which had been there for `ran`, and
/// finds out whether the replica has ended. One that is leaving may end: that is no crash.
pub fn note_loss(
    state: &Rc<GatewayState>,
    replica: &Rc<Replica>,
    fingerprint: Fingerprint,
    ran: Duration,
) {
    let is_listed = state.registry.get(replica.id()).is_some();
    if !is_listed || replica.is_leaving() {
        return;
    }
    let loss = Loss { fingerprint, ran };
    if state.quarantine.losses.add(&replica.life, loss) {
        // Before the request is sent to another replica, which may end too.
        let ended_at = state.quarantine.now();
        let finding_out = find_out(Rc::clone(state), Rc::clone(replica), ended_at);
        ntex::rt::spawn(finding_out);
    }
}

async fn find_out(state: Rc<GatewayState>, replica: Rc<Replica>, ended_at: Duration) {
    tokio::time::sleep(GATHERING).await;
    let is_refused = is_refused(replica.pool.peer()).await;
    // A daemon that stood still as the replica ended may find the next one at its address.
    let has_ended = is_refused || state.registry.is_replaced(&replica);
    let lost = state.quarantine.losses.take(&replica.life);
    if !has_ended {
        return;
    }
    state.status.metrics.replicas_ended.inc();
    log_event!(
        gateway::REPLICA_ENDED,
        "replica={} digest={:016x} address={} open={} fingerprints={:?}",
        replica.id(),
        replica.life_hash,
        replica.pool.peer(),
        lost.len(),
        logged(&lost)
    );
    let directory = state.peers.directory();
    for Loss { fingerprint, ran } in lost {
        // Where the next life is there the request may have run at either, and only have broken off at that one: the time
        // of its begin would name the one that lives.
        let began_at = is_refused.then(|| ended_at.saturating_sub(ran));
        let strike = Strike {
            replica: replica.life_hash,
            at: ended_at,
            is_coincident: false,
            began_at,
        };
        let role = role(&directory, fingerprint, state.peers.own());
        state.quarantine.strike(fingerprint, strike, role);
    }
}

/// The fingerprints that a log line names.
fn logged(lost: &[Loss]) -> Vec<Fingerprint> {
    let named = lost.iter().take(MAX_LOGGED);
    named.map(|loss| loss.fingerprint).collect()
}

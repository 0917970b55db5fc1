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
const GATHER_WINDOW: Duration = Duration::from_millis(5);

/// Losses at one replica that are remembered until its address was tried; a replica serves fewer requests of one
/// gateway at once.
const MAX_LOST_ANSWERS: usize = 256;

/// Fingerprints that a log line names.
const MAX_LOGGED: usize = 24;

/// Answers that broke off, by replica, until it is known whether the replica has ended.
#[derive(Debug, Default)]
pub struct LostAnswers(RefCell<HashMap<ReplicaIncarnation, Vec<LostAnswer>>>);

/// An answer that broke off.
#[derive(Debug, Clone, Copy)]
struct LostAnswer {
    fingerprint: Fingerprint,
    /// How long the request had been at the replica.
    ran: Duration,
}

impl LostAnswers {
    /// Adds a loss; true where it is the first one at this replica.
    fn add(&self, replica: &ReplicaIncarnation, lost_answer: LostAnswer) -> bool {
        let mut by_replica = self.0.borrow_mut();
        let lost_answers = by_replica.entry(replica.clone()).or_default();
        if lost_answers.len() < MAX_LOST_ANSWERS {
            lost_answers.push(lost_answer);
        }
        lost_answers.len() == 1
    }

    fn take(&self, replica: &ReplicaIncarnation) -> Vec<LostAnswer> {
        self.0.borrow_mut().remove(replica).unwrap_or_default()
    }
}

/// Takes in that an answer of `replica` to the request with this fingerprint was lost, which had been there for `ran`, and
/// finds out whether the replica has ended. One that is leaving may end: that is no crash.
pub fn note_lost_answer(
    state: &Rc<GatewayState>,
    replica: &Rc<Replica>,
    fingerprint: Fingerprint,
    ran: Duration,
) {
    let is_listed = state.registry.get(replica.id()).is_some();
    if !is_listed || replica.is_leaving() {
        return;
    }
    let lost_answer = LostAnswer { fingerprint, ran };
    if state
        .quarantine
        .lost_answers
        .add(&replica.life, lost_answer)
    {
        // Before the request is sent to another replica, which may end too.
        let ended_at = state.quarantine.now();
        let check = check_for_crash(Rc::clone(state), Rc::clone(replica), ended_at);
        ntex::rt::spawn(check);
    }
}

async fn check_for_crash(state: Rc<GatewayState>, replica: Rc<Replica>, ended_at: Duration) {
    tokio::time::sleep(GATHER_WINDOW).await;
    let is_refused = is_refused(replica.pool.peer()).await;
    // A daemon that stood still as the replica ended may find the next one at its address.
    let has_strike_of = is_refused || state.registry.is_replaced(&replica);
    let lost = state.quarantine.lost_answers.take(&replica.life);
    if !has_strike_of {
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
        logged_fingerprints(&lost)
    );
    let directory = state.peers.directory();
    for LostAnswer { fingerprint, ran } in lost {
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
fn logged_fingerprints(lost: &[LostAnswer]) -> Vec<Fingerprint> {
    let named = lost.iter().take(MAX_LOGGED);
    named.map(|lost_answer| lost_answer.fingerprint).collect()
}

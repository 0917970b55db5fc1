//! Finds out whether a replica has crashed or only broke off an answer.
//!
//! A broken answer proves little: replicas reset connections and corrupt answers, links fail, and gateway
//! machines freeze. A crashed process shows at its address: nothing listens there, and the connection is
//! refused, or what answers there has started later.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;

use driftspring_clock::Instant;
use driftspring_telemetry::events::gateway;
use driftspring_telemetry::log_event;

use super::{Fingerprint, Strike, role};
use crate::protocol::ReplicaIncarnation;
use crate::reachability;
use crate::replicas::Replica;
use crate::state::GatewayState;
use crate::upstream::{Connection, is_refused};

/// How long lost answers of one replica are gathered before its address is probed. When a replica crashed,
/// its connections broke within 2 ms of each other at seven gateways (logs of an incident); a replica takes
/// seconds to restart.
const GATHER_WINDOW: Duration = Duration::from_millis(5);

/// The maximum number of lost answers remembered per replica until its address has been probed; a replica
/// serves fewer requests of one gateway at once.
const MAX_LOST_ANSWERS: usize = 256;

/// How far apart the failures of replicas are noticed that this gateway has lost at once.
const SAME_LOSS_WINDOW: Duration = Duration::from_millis(20);

/// How long the return of the path to a service is waited for to find out whether a replica has crashed. Later, the
/// request is of no interest any more.
const MAX_PATH_LOSS: Duration = Duration::from_secs(30);

/// Time limit for the report of a replica, with its connection.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);

/// How often an address is probed that accepts connections, if no report comes.
const MAX_PROBES: u32 = 3;

/// The maximum number of fingerprints in a log line.
const MAX_LOGGED: usize = 24;

/// Lost answers by replica, until it is known whether the replica has crashed.
#[derive(Debug, Default)]
pub struct LostAnswers(RefCell<HashMap<ReplicaIncarnation, Vec<LostAnswer>>>);

/// An answer that broke off.
#[derive(Debug, Clone)]
struct LostAnswer {
    fingerprint: Fingerprint,
    /// The fingerprints of the shared parts of its prompt.
    parts: Vec<Fingerprint>,
    /// How long the request had been at the replica.
    ran: Duration,
}

impl LostAnswers {
    /// Adds a lost answer; returns whether it is the first one of this replica.
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

/// Records that the answer of `replica` to the request with this fingerprint was lost after `ran`, and starts
/// to find out whether the replica has crashed. `parts` are the fingerprints of the shared parts of its prompt.
/// A replica that is leaving may end its process: that is no crash.
pub fn note_lost_answer(
    state: &Rc<GatewayState>,
    replica: &Rc<Replica>,
    fingerprint: Fingerprint,
    parts: &[Fingerprint],
    ran: Duration,
) {
    let is_listed = state.registry.get(replica.id()).is_some();
    if !is_listed || replica.is_leaving() {
        return;
    }
    let lost_answer = LostAnswer {
        fingerprint,
        parts: parts.to_vec(),
        ran,
    };
    if state
        .quarantine
        .lost_answers
        .add(&replica.incarnation, lost_answer)
    {
        // Taken before the request is sent to another replica, which may crash too.
        let ended_at = state.quarantine.now();
        let check = check_for_crash(Rc::clone(state), Rc::clone(replica), ended_at);
        ntex::rt::spawn(check);
    }
}

async fn check_for_crash(state: Rc<GatewayState>, replica: Rc<Replica>, ended_at: Duration) {
    tokio::time::sleep(GATHER_WINDOW).await;
    let occupant = probe_address(&state, &replica).await;
    let lost = state.quarantine.lost_answers.take(&replica.incarnation);
    let is_refused = match occupant {
        Occupant::Nobody => true,
        Occupant::NextIncarnation => false,
        Occupant::Alive => return,
    };
    state.status.metrics.replicas_ended.inc();
    log_event!(
        gateway::REPLICA_ENDED,
        "replica={} digest={:016x} address={} open={} fingerprints={:?}",
        replica.id(),
        replica.incarnation_hash,
        replica.pool.peer(),
        lost.len(),
        logged_fingerprints(&lost)
    );
    let directory = state.peers.directory();
    for (fingerprint, ran) in longest_runs(lost) {
        // If the next incarnation is already there, the request may have run at either and only have broken
        // off at that one; with the start time, the strike would count against the incarnation that is alive.
        let began_at = is_refused.then(|| ended_at.saturating_sub(ran));
        let strike = Strike {
            replica: replica.incarnation_hash,
            at: ended_at,
            is_coincident: false,
            began_at,
        };
        let role = role(&directory, fingerprint, state.peers.own());
        state.quarantine.strike(fingerprint, strike, role);
    }
}

/// What answers at the address of a replica whose answers were lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Occupant {
    /// Nothing listens there.
    Nobody,
    /// A later incarnation, or another replica: this gateway's process stood still during the crash, or had lost the path.
    NextIncarnation,
    /// The replica, as far as is known.
    Alive,
}

/// Finds out what answers at the address of a replica. It is asked when it started, since the entry of a next incarnation may
/// be read later than its first answer.
async fn probe_address(state: &Rc<GatewayState>, replica: &Replica) -> Occupant {
    for _ in 0..MAX_PROBES {
        if is_refused_on_sound_path(state, replica).await {
            return Occupant::Nobody;
        }
        if state.registry.is_replaced(replica) {
            return Occupant::NextIncarnation;
        }
        let Some(born) = replica.incarnation.born else {
            break;
        };
        match reported_start(state, replica).await {
            Some(reported) if reported > born => return Occupant::NextIncarnation,
            Some(_) => return Occupant::Alive,
            None => {}
        }
    }
    match state.registry.is_replaced(replica) {
        true => Occupant::NextIncarnation,
        false => Occupant::Alive,
    }
}

/// When the incarnation started that answers at the address of a replica, if it says so.
async fn reported_start(state: &GatewayState, replica: &Replica) -> Option<u64> {
    let call = state.platform.report();
    let report = async {
        let connection = Connection::open(replica.pool.peer()).await;
        let mut connection = connection.map_err(|error| error.to_string())?;
        let answer = connection.call(&call).await;
        let answer = answer.map_err(|error| error.to_string())?;
        state.platform.read_report(&answer.body)
    };
    match tokio::time::timeout(REPORT_TIMEOUT, report).await {
        Ok(Ok(report)) => report.born,
        Ok(Err(error)) => {
            log::debug!("no report of replica {}: {error}", replica.id());
            None
        }
        Err(_) => {
            log::debug!(
                "no report of replica {} in {REPORT_TIMEOUT:?}",
                replica.id()
            );
            None
        }
    }
}

/// The requests whose answers were lost, and the parts of their prompts, each with its longest run.
fn longest_runs(lost: Vec<LostAnswer>) -> BTreeMap<Fingerprint, Duration> {
    let mut runs: BTreeMap<Fingerprint, Duration> = BTreeMap::new();
    for lost_answer in lost {
        let mut suspects = lost_answer.parts;
        suspects.push(lost_answer.fingerprint);
        for suspect in suspects {
            let longest = runs.entry(suspect).or_default();
            *longest = lost_answer.ran.max(*longest);
        }
    }
    runs
}

/// Whether the address of a replica refuses connections, and not because this gateway has lost all replicas of its service
/// at once. In that case it looks again when one of them answers.
async fn is_refused_on_sound_path(state: &Rc<GatewayState>, replica: &Replica) -> bool {
    let checked_at = Instant::now();
    if !is_refused(replica.pool.peer()).await {
        return false;
    }
    let service = replica.entry().service.clone();
    if reachability::confirm(state, &service, checked_at).await || failed_alone(state, replica) {
        return true;
    }
    let regained = reachability::until_regained(state, &service);
    match tokio::time::timeout(MAX_PATH_LOSS, regained).await {
        Ok(()) => is_refused(replica.pool.peer()).await,
        Err(_) => {
            log::debug!("{} is out of reach: no crash is known", replica.id());
            false
        }
    }
}

/// Whether no other replica of the service began to fail when this one did.
fn failed_alone(state: &GatewayState, replica: &Replica) -> bool {
    let Some(since) = replica.health.failing_since() else {
        return true;
    };
    let service = replica.entry().service.clone();
    let listed = state.registry.of_service(&service);
    let others = listed.iter().filter(|other| other.id() != replica.id());
    let mut failing = others.filter_map(|other| other.health.failing_since());
    !failing.any(|other| since.max(other) - since.min(other) <= SAME_LOSS_WINDOW)
}

/// The fingerprints to name in a log line.
fn logged_fingerprints(lost: &[LostAnswer]) -> Vec<Fingerprint> {
    let named = lost.iter().take(MAX_LOGGED);
    named.map(|lost_answer| lost_answer.fingerprint).collect()
}

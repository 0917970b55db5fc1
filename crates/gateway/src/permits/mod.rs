//! Permits to send requests to replicas that limit their rate, which all daemons keep together.
//!
//! A replica that takes one request a second from 985 daemons can't be shared out evenly: each would send one in 16 minutes, whether
//! or not it has one. So one daemon issues the permits for each limited replica, which all daemons choose alike, and
//! each send asks it first. Asking takes a round trip, and only where a replica has named a limit.
//!
//! An issuer that is silent is passed over for the next in rank, which issues a part of the rate: the first may
//! still be there for others. Where it stays silent to that one too, for 4 s, it is taken for gone, and the next issues in
//! full: two sides that can't reach each other for longer send up to the limit each.
//!
//! - [`bucket`]: the permits for one replica.
//! - [`issuer`]: all permits that this daemon issues.
//! - [`ranking`]: which daemons issue.
//! - [`silence`]: which of them don't answer.
//! - `queries`: asks others.

pub mod bucket;
pub mod issuer;
mod queries;
pub mod ranking;
pub mod silence;

use std::rc::Rc;
use std::time::Duration;

use driftspring_clock::Instant;

pub use issuer::PermitIssuer;
pub use queries::{PermitQueries, PermitQuery};
pub use silence::SilentIssuers;

use ranking::ISSUERS_PER_REPLICA;

use crate::peers::directory::name_digest;
use crate::protocol::RequestRate;
use crate::replicas::Replica;
use crate::state::GatewayState;

/// The pause after no issuer was found: a daemon that has just started learns of the others within some 100 ms.
const NO_ISSUER_BACKOFF: Duration = Duration::from_millis(250);

/// The permits of one daemon.
#[derive(Debug, Default)]
pub struct Permits {
    /// Those that it issues.
    pub issuer: PermitIssuer,
    /// What it asks others.
    pub queries: PermitQueries,
    silent: SilentIssuers,
}

impl Permits {
    /// Takes in that a daemon has answered a question.
    pub fn record_answer(&self, daemon: u64) {
        self.silent.record_answer(daemon);
    }
}

/// A permit was not given.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PermitDenied {
    /// After which time it is worth asking again.
    pub wait: Duration,
}

/// Gets a permit to send one request to a replica; at once where that names no limit.
///
/// # Errors
///
/// There is none for now.
pub async fn acquire(state: &Rc<GatewayState>, replica: &Replica) -> Result<(), PermitDenied> {
    let Some(rate) = replica.notices.limit() else {
        return Ok(());
    };
    let metrics = &state.status.metrics;
    match ask_issuers(state, replica, rate).await {
        Ok(()) => {
            metrics.permits_granted.inc();
            Ok(())
        }
        Err(wait) => {
            metrics.permits_denied.inc();
            replica
                .notices
                .pause_for_permits(wait, state.random_fraction());
            Err(PermitDenied { wait })
        }
    }
}

/// Asks the issuers of the replica's permits, the first in rank first, until one answers.
async fn ask_issuers(
    state: &Rc<GatewayState>,
    replica: &Replica,
    rate: RequestRate,
) -> Result<(), Duration> {
    for _ in 0..ISSUERS_PER_REPLICA {
        let (name, address) = match current_issuer(state, replica.incarnation_hash) {
            Issuer::Own => return issue(state, replica.incarnation_hash, rate),
            Issuer::Unknown => return Err(NO_ISSUER_BACKOFF),
            Issuer::Other { name, address } => (name, address),
        };
        let query = PermitQuery::for_permit(replica, rate);
        if let Some(answer) = queries::ask(state, query, &address).await {
            return answer;
        }
        state.status.metrics.permits_unanswered.inc();
        log::debug!("{name} did not answer for {}", replica.id());
    }
    Err(NO_ISSUER_BACKOFF)
}

/// Issues a permit for the life with this digest, if there is one, as far as this daemon may; else after which time.
///
/// # Errors
///
/// There is none for now.
pub fn issue(
    state: &Rc<GatewayState>,
    incarnation: u64,
    rate: RequestRate,
) -> Result<(), Duration> {
    let now = Instant::now();
    let rate_share = own_rate_share(state, incarnation, now);
    state
        .permits
        .issuer
        .issue(incarnation, rate, rate_share, now)
}

/// Who issues permits, as far as this daemon knows.
enum Issuer {
    Own,
    Other { name: String, address: String },
    Unknown,
}

fn current_issuer(state: &GatewayState, incarnation: u64) -> Issuer {
    if !state.peers.are_daemons_known() {
        return Issuer::Unknown;
    }
    let now = Instant::now();
    let directory = state.peers.directory();
    let own = name_digest(&state.peers.own().name);
    let issuers = ranking::issuers(&directory, incarnation);
    let digests = ranking::name_digests(&issuers);
    let silent = &state.permits.silent;
    let Some(position) = ranking::first_responding(&digests, own, silent, now) else {
        return Issuer::Unknown;
    };
    if digests[position] == own {
        return Issuer::Own;
    }
    silent.record_query(digests[position], now);
    Issuer::Other {
        name: issuers[position].name.clone(),
        address: issuers[position].peers.clone(),
    }
}

/// The share of a limit that this daemon issues.
fn own_rate_share(state: &Rc<GatewayState>, incarnation: u64, now: Instant) -> f64 {
    let directory = state.peers.directory();
    let issuers = ranking::issuers(&directory, incarnation);
    let digests = ranking::name_digests(&issuers);
    let own = name_digest(&state.peers.own().name);
    let silent = &state.permits.silent;
    let higher_ranked = ranking::higher_ranked(&digests, own);
    for (digest, issuer) in higher_ranked.iter().zip(&issuers) {
        if silent.may_probe(*digest, now) {
            silent.record_query(*digest, now);
            let (state, address) = (Rc::clone(state), issuer.peers.clone());
            ntex::rt::spawn(
                async move { queries::ask(&state, PermitQuery::probe(), &address).await },
            );
        }
    }
    ranking::rate_share(higher_ranked, silent, now)
}

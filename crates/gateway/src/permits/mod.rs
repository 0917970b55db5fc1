//! Permits to send requests to replicas that limit their request rate. The gateways enforce these limits
//! together.
//!
//! A limit of one request a second can't be divided evenly among 985 gateways: each could send one request in
//! 16 minutes, whether or not it has one. So one gateway issues the permits for each limited replica. All
//! gateways choose the same issuer, and ask it before each send. Asking takes a round trip, but only for
//! replicas that report a limit.
//!
//! If an issuer does not answer, the next in rank takes its place. It issues only part of the rate, since the
//! first may still answer others. Once the first has not answered the second for 4 s either, it is presumed
//! gone, and the second issues at the full rate. In a network partition that lasts longer, each side sends up
//! to the limit.
//!
//! - [`bucket`]: the permits for one replica.
//! - [`issuer`]: all permits that this gateway issues.
//! - [`ranking`]: which gateways issue.
//! - [`silence`]: which of them don't answer.
//! - `queries`: asks other gateways.

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

/// Pause after no issuer was found. A gateway that has just started learns of the others within some 100 ms.
const NO_ISSUER_BACKOFF: Duration = Duration::from_millis(250);

/// The permits of this gateway.
#[derive(Debug, Default)]
pub struct Permits {
    /// The permits that it issues.
    pub issuer: PermitIssuer,
    /// The queries that it sends to others.
    pub queries: PermitQueries,
    silent: SilentIssuers,
}

impl Permits {
    /// Records that a gateway has answered a query.
    pub fn record_answer(&self, gateway: u64) {
        self.silent.record_answer(gateway);
    }
}

/// A permit was denied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PermitDenied {
    /// The time after which to ask again.
    pub wait: Duration,
}

/// Acquires a permit to send one request to a replica. It returns at once if the replica reports no limit.
///
/// # Errors
///
/// No permit is available for now.
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

/// Asks the issuers for the replica, in order of rank, until one answers.
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
        log::debug!(
            "gateway {name} did not answer a permit query for replica {}",
            replica.id()
        );
    }
    Err(NO_ISSUER_BACKOFF)
}

/// Issues a permit for the incarnation with this hash, as far as the share of this gateway permits.
///
/// # Errors
///
/// No permit is available before the returned time has passed.
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

/// The issuer of permits, as far as this gateway knows.
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

/// The share of a limit that this gateway issues.
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

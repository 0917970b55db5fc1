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
//! - `questions`: asks others.

pub mod bucket;
pub mod issuer;
mod questions;
pub mod ranking;
pub mod silence;

use std::rc::Rc;
use std::time::Duration;

use driftspring_clock::Instant;

pub use issuer::PermitIssuer;
pub use questions::{PermitQuestions, Question};
pub use silence::SilentIssuers;

use ranking::ISSUERS;

use crate::peers::directory::name_digest;
use crate::protocol::RequestRate;
use crate::replicas::Replica;
use crate::state::GatewayState;

/// The pause after no issuer was found: a daemon that has just started learns of the others within some 100 ms.
const NO_ISSUER_PAUSE: Duration = Duration::from_millis(250);

/// The permits of one daemon.
#[derive(Debug, Default)]
pub struct Permits {
    /// Those that it issues.
    pub issuer: PermitIssuer,
    /// What it asks others.
    pub questions: PermitQuestions,
    silent: SilentIssuers,
}

impl Permits {
    /// Takes in that a daemon has answered a question.
    pub fn note_answer(&self, daemon: u64) {
        self.silent.note_answer(daemon);
    }
}

/// A permit was not given.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Denied {
    /// After which time it is worth asking again.
    pub wait: Duration,
}

/// Gets a permit to send one request to a replica; at once where that names no limit.
///
/// # Errors
///
/// There is none for now.
pub async fn acquire(state: &Rc<GatewayState>, replica: &Replica) -> Result<(), Denied> {
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
            Err(Denied { wait })
        }
    }
}

/// Asks the issuers of the replica's permits, the first in rank first, until one answers.
async fn ask_issuers(
    state: &Rc<GatewayState>,
    replica: &Replica,
    rate: RequestRate,
) -> Result<(), Duration> {
    for _ in 0..ISSUERS {
        let (name, address) = match issuer_of(state, replica.life_hash) {
            Issuer::Own => return issue(state, replica.life_hash, rate),
            Issuer::Unknown => return Err(NO_ISSUER_PAUSE),
            Issuer::Other { name, address } => (name, address),
        };
        let question = Question::of(replica, rate);
        if let Some(answer) = questions::ask(state, question, &address).await {
            return answer;
        }
        state.status.metrics.permits_unanswered.inc();
        log::debug!("{name} did not answer for {}", replica.id());
    }
    Err(NO_ISSUER_PAUSE)
}

/// Issues a permit for the life with this digest, if there is one, as far as this daemon may; else after which time.
///
/// # Errors
///
/// There is none for now.
pub fn issue(state: &Rc<GatewayState>, life: u64, rate: RequestRate) -> Result<(), Duration> {
    let now = Instant::now();
    let share = own_share(state, life, now);
    state.permits.issuer.issue(life, rate, share, now)
}

/// Who issues permits, as far as this daemon knows.
enum Issuer {
    Own,
    Other { name: String, address: String },
    Unknown,
}

fn issuer_of(state: &GatewayState, life: u64) -> Issuer {
    if !state.peers.are_daemons_known() {
        return Issuer::Unknown;
    }
    let now = Instant::now();
    let directory = state.peers.directory();
    let own = name_digest(&state.peers.own().name);
    let issuers = ranking::issuers(&directory, life);
    let digests = ranking::digests(&issuers);
    let silent = &state.permits.silent;
    let Some(place) = ranking::first_speaking(&digests, own, silent, now) else {
        return Issuer::Unknown;
    };
    if digests[place] == own {
        return Issuer::Own;
    }
    silent.note_question(digests[place], now);
    Issuer::Other {
        name: issuers[place].name.clone(),
        address: issuers[place].peers.clone(),
    }
}

/// The share of a limit that this daemon issues.
fn own_share(state: &Rc<GatewayState>, life: u64, now: Instant) -> f64 {
    let directory = state.peers.directory();
    let issuers = ranking::issuers(&directory, life);
    let digests = ranking::digests(&issuers);
    let own = name_digest(&state.peers.own().name);
    let silent = &state.permits.silent;
    let before = ranking::before(&digests, own);
    for (digest, issuer) in before.iter().zip(&issuers) {
        if silent.may_probe(*digest, now) {
            silent.note_question(*digest, now);
            let (state, address) = (Rc::clone(state), issuer.peers.clone());
            ntex::rt::spawn(
                async move { questions::ask(&state, Question::probe(), &address).await },
            );
        }
    }
    ranking::share(before, silent, now)
}

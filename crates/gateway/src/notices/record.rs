//! Records the notices of answers and of other gateways.

use std::rc::Rc;
use std::time::Duration;

use driftspring_clock::Instant;
use driftspring_decisions::concurrency_window::{DividedService, Division};
use driftspring_telemetry::events::gateway;
use driftspring_telemetry::log_event;

use super::brittle::WindowStart;
use super::limit::LimitNotice;
use super::replica_notices::Cooldown;
use crate::peers::directory::name_digest;
use crate::protocol::{AnswerMeta, HeaderField, RequestRate, UnreadableReason};
use crate::replicas::Replica;
use crate::state::GatewayState;
use crate::store::Rejected;

/// The source of a notice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoticeSource {
    /// An answer of the replica to this gateway.
    Answer,
    /// Another gateway.
    Peer,
}

/// Records what the headers of the answer to the request `request_id`, which was sent at `sent_at`, report
/// about its replica.
pub fn record_answer(
    state: &GatewayState,
    request_id: &str,
    replica: &Rc<Replica>,
    answer: &AnswerMeta,
    sent_at: Instant,
) {
    if !is_of_replica(request_id, replica, answer) {
        return;
    }
    record_answered_limit(state, replica, answer, sent_at);
    match &answer.brittle {
        HeaderField::Value(tolerated) => {
            record_brittle(state, replica, Some(*tolerated), NoticeSource::Answer);
        }
        // Only headers that the replica itself has written show that it is not brittle any more.
        HeaderField::Absent if answer.is_signed => {
            record_brittle(state, replica, None, NoticeSource::Answer);
        }
        HeaderField::Absent => {}
        HeaderField::Unreadable(cause) => reject(state, replica, cause),
    }
    match &answer.is_leaving {
        HeaderField::Value(true) => record_leaving(state, replica, NoticeSource::Answer),
        HeaderField::Value(false) | HeaderField::Absent => {}
        HeaderField::Unreadable(cause) => reject(state, replica, cause),
    }
    match &answer.rest {
        HeaderField::Value(time) => record_cooldown(replica, *time),
        HeaderField::Absent => {}
        HeaderField::Unreadable(cause) => reject(state, replica, cause),
    }
}

fn record_cooldown(replica: &Replica, duration: Duration) {
    let received_at = Instant::now();
    let cooldown = Cooldown {
        received_at,
        until: received_at + duration,
    };
    if replica.notices.record_cooldown(cooldown) {
        log_event!(
            gateway::REPLICA_ASKED_FOR_REST,
            "replica={} rest={duration:?}",
            replica.id()
        );
    }
}

/// Records that a replica reports that it is leaving.
pub fn record_leaving(state: &GatewayState, replica: &Rc<Replica>, source: NoticeSource) {
    if !replica.notices.record_leaving() {
        return;
    }
    let id = replica.id();
    log_event!(
        gateway::REPLICA_SAID_LEAVING,
        "replica={id} told_by={source:?}"
    );
    if source == NoticeSource::Answer {
        state.changed_notices.add(replica);
    }
}

/// Records how many refusals per second a replica tolerates, or that it is not brittle.
pub fn record_brittle(
    state: &GatewayState,
    replica: &Rc<Replica>,
    tolerated: Option<u32>,
    source: NoticeSource,
) {
    let brittleness = &replica.notices.brittleness;
    if let Some(tolerated) = tolerated {
        let service = &replica.entry().service;
        let now = Instant::now();
        if state.brittle_services.record(service, tolerated, now) {
            for listed in state.registry.of_service(service).iter() {
                let start = || window_start(state, listed);
                listed.notices.brittleness.assume(tolerated, start);
            }
        }
    }
    if !brittleness.record(tolerated, || window_start(state, replica)) {
        return;
    }
    let window = brittleness.get().map(|brittle| brittle.window.size());
    log_event!(
        gateway::REPLICA_BRITTLE,
        "replica={} refusals_tolerated={tolerated:?} window={window:?} told_by={source:?}",
        replica.id()
    );
    if source == NoticeSource::Answer {
        state.changed_notices.add(replica);
    }
}

/// The circumstances under which a window at a replica begins now.
pub fn window_start(state: &GatewayState, replica: &Replica) -> WindowStart {
    let directory = state.peers.directory();
    let own = name_digest(&state.peers.own().name);
    let before = directory
        .all()
        .filter(|daemon| name_digest(&daemon.name) < own);
    let entry = replica.entry();
    let listed = state.registry.of_service(&entry.service);
    let position = listed.iter().position(|other| other.id() == replica.id());
    let position = position.unwrap_or(0);
    let service = DividedService {
        replicas: listed.len(),
        slots: entry.slots,
        gateways: directory.count,
    };
    WindowStart {
        division: Division::new(service, before.count(), position),
        gateways: directory.count,
        random: state.random_fraction(),
        now: Instant::now(),
    }
}

/// Records that a replica refused a request of this gateway for want of room; other gateways of a brittle one are told.
pub fn record_refusal(state: &GatewayState, replica: &Rc<Replica>) {
    if replica.notices.brittleness.record_refusal(Instant::now()) {
        state.changed_notices.add(replica);
    }
}

fn reject(state: &GatewayState, replica: &Replica, cause: &str) {
    let reason = UnreadableReason::Fields;
    state.reject(Rejected::AnswerHead, replica.id(), reason, cause.to_owned());
}

/// Records what a replica reports about its limit.
pub fn record_limit(
    state: &GatewayState,
    replica: &Rc<Replica>,
    notice: LimitNotice,
    source: NoticeSource,
) {
    let before = replica.notices.limit();
    if !replica.notices.record_limit(notice) {
        return;
    }
    log_event!(
        gateway::REPLICA_LIMIT_CHANGED,
        "replica={} before={} limit={} told_by={source:?}",
        replica.id(),
        format_limit(before),
        format_limit(replica.notices.limit())
    );
    if source == NoticeSource::Answer {
        state.changed_notices.add(replica);
    }
}

/// Whether this is the answer of the replica to this request. An answer that names another request was mixed
/// up, and one that rejects the request may come from another incarnation at the same address.
fn is_of_replica(request_id: &str, replica: &Replica, answer: &AnswerMeta) -> bool {
    let is_to_request = answer
        .request_id
        .as_deref()
        .is_none_or(|id| id == request_id);
    let is_named = answer.replica.as_deref() == Some(replica.id());
    is_to_request && (is_named || !answer.is_misdirected)
}

fn format_limit(limit: Option<RequestRate>) -> String {
    limit.map_or_else(|| "none".to_owned(), |rate| rate.to_string())
}

fn record_answered_limit(
    state: &GatewayState,
    replica: &Rc<Replica>,
    answer: &AnswerMeta,
    sent_at: Instant,
) {
    let rate = match &answer.request_limit {
        HeaderField::Value(rate) => Some(*rate),
        // Only headers that the replica itself has written show that it no longer reports a limit.
        HeaderField::Absent if answer.is_signed => None,
        HeaderField::Absent => return,
        HeaderField::Unreadable(cause) => {
            return reject(state, replica, cause);
        }
    };
    let notice = LimitNotice {
        rate,
        sent_at,
        received_at: Instant::now(),
    };
    record_limit(state, replica, notice, NoticeSource::Answer);
}

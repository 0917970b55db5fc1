//! Takes the notices of an answer in.

use std::rc::Rc;
use std::time::Duration;

use driftspring_clock::Instant;
use driftspring_telemetry::events::gateway;
use driftspring_telemetry::log_event;

use super::limit::LimitNotice;
use super::replica_notices::Rest;
use crate::protocol::{AnswerMeta, HeaderField, RequestRate, UnreadableReason};
use crate::replicas::Replica;
use crate::state::GatewayState;
use crate::store::Rejected;

/// Who tells of a notice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Teller {
    /// An answer of the replica to this daemon.
    Answer,
    /// Another daemon.
    Peer,
}

/// Takes in what the head of an answer to the request `request_id`, which was sent at `sent_at`, says of its replica.
pub fn note_answer(
    state: &GatewayState,
    request_id: &str,
    replica: &Rc<Replica>,
    answer: &AnswerMeta,
    sent_at: Instant,
) {
    if !is_of_replica(request_id, replica, answer) {
        return;
    }
    note_answered_limit(state, replica, answer, sent_at);
    match &answer.is_leaving {
        HeaderField::Value(true) => note_leaving(state, replica, Teller::Answer),
        HeaderField::Value(false) | HeaderField::Absent => {}
        HeaderField::Unreadable(cause) => reject(state, replica, cause),
    }
    match &answer.rest {
        HeaderField::Value(time) => note_rest(replica, *time),
        HeaderField::Absent => {}
        HeaderField::Unreadable(cause) => reject(state, replica, cause),
    }
}

fn note_rest(replica: &Replica, time: Duration) {
    let heard_at = Instant::now();
    let rest = Rest {
        heard_at,
        until: heard_at + time,
    };
    if replica.notices.note_rest(rest) {
        log_event!(
            gateway::REPLICA_ASKED_FOR_REST,
            "replica={} rest={time:?}",
            replica.id()
        );
    }
}

/// Takes in that a replica says that it is leaving.
pub fn note_leaving(state: &GatewayState, replica: &Rc<Replica>, teller: Teller) {
    if !replica.notices.note_leaving() {
        return;
    }
    let id = replica.id();
    log_event!(
        gateway::REPLICA_SAID_LEAVING,
        "replica={id} told_by={teller:?}"
    );
    if teller == Teller::Answer {
        state.notice_news.note(replica);
    }
}

fn reject(state: &GatewayState, replica: &Replica, cause: &str) {
    let reason = UnreadableReason::Fields;
    state.reject(Rejected::AnswerHead, replica.id(), reason, cause.to_owned());
}

/// Takes in what a replica says of its limit.
pub fn note_limit(state: &GatewayState, replica: &Rc<Replica>, told: LimitNotice, teller: Teller) {
    let before = replica.notices.limit();
    if !replica.notices.note_limit(told) {
        return;
    }
    log_event!(
        gateway::REPLICA_LIMIT_CHANGED,
        "replica={} before={} limit={} told_by={teller:?}",
        replica.id(),
        describe(before),
        describe(replica.notices.limit())
    );
    if teller == Teller::Answer {
        state.notice_news.note(replica);
    }
}

/// Whether the answer is that of the replica to this request. One that names another request has lost its place, and one
/// that turns the request away may be that of another life at the same address.
fn is_of_replica(request_id: &str, replica: &Replica, answer: &AnswerMeta) -> bool {
    let is_to_request = answer
        .request_id
        .as_deref()
        .is_none_or(|id| id == request_id);
    let is_named = answer.replica.as_deref() == Some(replica.id());
    is_to_request && (is_named || !answer.is_misdirected)
}

fn describe(limit: Option<RequestRate>) -> String {
    limit.map_or_else(|| "none".to_owned(), |rate| rate.to_string())
}

fn note_answered_limit(
    state: &GatewayState,
    replica: &Rc<Replica>,
    answer: &AnswerMeta,
    sent_at: Instant,
) {
    let rate = match &answer.request_limit {
        HeaderField::Value(rate) => Some(*rate),
        // Only what the replica itself has written shows that it names no limit any more.
        HeaderField::Absent if answer.is_signed => None,
        HeaderField::Absent => return,
        HeaderField::Unreadable(cause) => {
            return reject(state, replica, cause);
        }
    };
    let told = LimitNotice {
        rate,
        sent_at,
        heard_at: Instant::now(),
    };
    note_limit(state, replica, told, Teller::Answer);
}

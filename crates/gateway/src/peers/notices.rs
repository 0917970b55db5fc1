//! Distributes the limits and leave notices of replicas ([`crate::notices`]) to all gateways, so that a gateway knows a
//! replica's limit before it sends the first request there.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use driftspring_clock::Instant;

use super::convert::to_ms;
use super::message::{Message, Report, WireBrittle, WireLimit, WireNotice};
use super::news::send_to_other_groups;
use super::send::send_to;
use super::socket::PeerSocket;
use super::spread::spread;
use crate::notices::survey::SURVEY_MAX_AGE;
use crate::notices::{LimitNotice, NoticeSource, record_brittle, record_leaving, record_limit};
use crate::protocol::RequestRate;
use crate::replicas::Replica;
use crate::state::GatewayState;

/// How long notices are batched: overloaded replicas tend to announce limits at the same time.
const BATCH_DELAY: Duration = Duration::from_millis(5);

/// The time between two reminders to the same gateway: a lost datagram costs one request of each gateway that missed it.
const REMINDER_INTERVAL: Duration = Duration::from_secs(5);

/// The number of replicas in a reminder, a different selection each time.
const MAX_REMINDER_NOTICES: usize = 36;

/// The number of notices in a datagram, which keeps it below 1,200 bytes: each takes up to 80 of them.
const MAX_NOTICES: usize = 12;

/// Sends new notices in an endless loop.
pub(super) async fn send_updates(state: Rc<GatewayState>, socket: Rc<PeerSocket>) {
    loop {
        let changed = state.changed_notices.changed.notified();
        let has_news = tokio::time::timeout(SURVEY_MAX_AGE, changed).await.is_ok();
        survey(&state);
        if !has_news {
            continue;
        }
        tokio::time::sleep(BATCH_DELAY).await;
        let replicas = state.changed_notices.take();
        let now = Instant::now();
        let notices: Vec<WireNotice> = replicas
            .iter()
            .map(|replica| to_wire(replica, now))
            .collect();
        for notices in notices.chunks(MAX_NOTICES) {
            send_to_other_groups(&state, &socket, &Message::Notices(notices.to_vec())).await;
            spread(&state, &socket, Report::Notices(notices.to_vec())).await;
        }
    }
}

fn survey(state: &GatewayState) -> Rc<Vec<Rc<Replica>>> {
    let metrics = &state.status.metrics;
    state.notice_survey.replicas(&state.registry, metrics)
}

/// Sends the known notices to a querying gateway, at once for a new one and then every few seconds: it may have just
/// started, and datagrams get lost.
pub(super) async fn remind(state: &GatewayState, socket: &PeerSocket, to: SocketAddr) {
    let surveyed = survey(state);
    if surveyed.is_empty() || !is_due(state, to) {
        return;
    }
    let replicas = surveyed.iter();
    let replicas = replicas.filter(|replica| replica.notices.has_any_to_share());
    let replicas: Vec<&Rc<Replica>> = replicas.collect();
    if replicas.is_empty() {
        return;
    }
    let now = Instant::now();
    let first = (state.peers.next_rotation() as usize * MAX_REMINDER_NOTICES) % replicas.len();
    let others = replicas.iter().cycle().skip(first);
    let selected = others.take(MAX_REMINDER_NOTICES.min(replicas.len()));
    let notices: Vec<WireNotice> = selected.map(|replica| to_wire(replica, now)).collect();
    for notices in notices.chunks(MAX_NOTICES) {
        send_to(socket, &Message::Reminder(notices.to_vec()), to).await;
    }
}

fn is_due(state: &GatewayState, to: SocketAddr) -> bool {
    let mut reminded_at = state.peers.reminded_at.borrow_mut();
    let is_due = reminded_at
        .get(&to)
        .is_none_or(|at| at.elapsed() >= REMINDER_INTERVAL);
    if is_due {
        reminded_at.retain(|_, at| at.elapsed() < REMINDER_INTERVAL);
        reminded_at.insert(to, Instant::now());
    }
    is_due
}

fn to_wire(replica: &Replica, now: Instant) -> WireNotice {
    let age_ms = |at: Instant| to_ms(now.saturating_duration_since(at));
    WireNotice {
        replica: replica.id().to_owned(),
        born: replica.incarnation.born,
        limit: replica.notices.limit_notice().map(|notice| WireLimit {
            thousandths: notice.rate.map(RequestRate::thousandths),
            // Rounded up: a notice may appear older than it is, never newer.
            sent_age_ms: age_ms(notice.sent_at).saturating_add(1),
            heard_age_ms: age_ms(notice.received_at),
        }),
        is_leaving: replica.notices.has_announced_leaving(),
        brittle: replica
            .notices
            .brittleness
            .get()
            .map(|brittle| WireBrittle {
                refusals_tolerated: brittle.refusals_tolerated,
                refused_age_ms: brittle.refused_at.map(age_ms),
            }),
    }
}

/// Applies notices that other gateways got from replicas.
pub(super) fn apply(state: &GatewayState, notices: &[WireNotice]) {
    let now = Instant::now();
    let ago = |age_ms: u64| {
        now.checked_sub(Duration::from_millis(age_ms))
            .unwrap_or(now)
    };
    for notice in notices {
        let Some(replica) = state.registry.current(&notice.incarnation()) else {
            continue;
        };
        if notice.is_leaving {
            record_leaving(state, &replica, NoticeSource::Peer);
        }
        if let Some(brittle) = notice.brittle {
            let tolerated = Some(brittle.refusals_tolerated);
            record_brittle(state, &replica, tolerated, NoticeSource::Peer);
            if let Some(age_ms) = brittle.refused_age_ms {
                let brittleness = &replica.notices.brittleness;
                brittleness.record_refusal(ago(age_ms));
            }
        }
        if let Some(limit) = &notice.limit {
            let limit_notice = LimitNotice {
                rate: limit.thousandths.map(RequestRate::from_thousandths),
                sent_at: ago(limit.sent_age_ms),
                received_at: ago(limit.heard_age_ms),
            };
            record_limit(state, &replica, limit_notice, NoticeSource::Peer);
        }
    }
}

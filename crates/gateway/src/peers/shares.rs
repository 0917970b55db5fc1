//! Computes the fair shares of tenants ([`crate::shares`]) and reports what they are computed from.
//!
//! Members report to the leader of their group; leaders report to each other and to their members, as for quotas.

use std::rc::Rc;
use std::time::Duration;

use driftspring_clock::Instant;
use driftspring_decisions::fair_share::Change;
use driftspring_telemetry::events::gateway;
use driftspring_telemetry::log_event;

use super::directory::name_digest;
use super::message::{Message, Report, WireGroupUsage, WireTotals, WireUsage};
use super::news::send_to_other_groups;
use super::send::send;
use super::socket::PeerSocket;
use super::spread::spread;
use super::usage::pack;
use crate::shares::service::{Load, ServiceShares};
use crate::state::GatewayState;

/// The time between two updates, and between two reports: an overload lasts for seconds, and quotas are reported twice
/// as often.
const UPDATE_INTERVAL: Duration = Duration::from_millis(100);

/// The number of totals in a datagram, which keeps it below 1,200 bytes whatever their values are.
const MAX_TOTALS: usize = 18;

/// The number of queued requests below which the time for which they have waited says nothing: single ones may be lost.
const MIN_QUEUED: u32 = 4;

/// Updates and reports shares in an endless loop.
pub(super) async fn send_updates(state: Rc<GatewayState>, socket: Rc<PeerSocket>) {
    loop {
        tokio::time::sleep(UPDATE_INTERVAL).await;
        if !state.shares.is_active() {
            continue;
        }
        let now = Instant::now();
        let note = |shares: &ServiceShares, change| log_change(shares, change);
        state
            .shares
            .update(now, |service| load_of(&state, service, now), note);
        state.shares.publish(&state.status.metrics.shares, now);
        if !state.shares.is_exchanging(now) {
            continue;
        }
        let own = state.shares.own_usage(now);
        match state.peers.is_leader.get() {
            true => lead(&state, &socket, &own, now).await,
            false => send_to_leader(&state, &socket, &own, now).await,
        }
    }
}

/// The load of a service, as this gateway sees it.
fn load_of(state: &GatewayState, service: &str, now: Instant) -> Load {
    let replicas = state.registry.of_service(service);
    let eligible = replicas.iter().filter(|replica| replica.is_eligible(now));
    let ages = eligible.map(|replica| replica.queue_waits.queued_ages(now));
    let (count, sum) = ages.fold((0, Duration::ZERO), |(count, sum), (more, ages)| {
        (count + more, sum + ages)
    });
    let queued_for = match u32::try_from(count) {
        Ok(count) if count >= MIN_QUEUED => sum / count,
        _ => Duration::ZERO,
    };
    let configuration = state.configuration.load();
    Load {
        queued_for,
        objective: configuration
            .as_ref()
            .and_then(|configuration| configuration.longest_objective(service)),
    }
}

fn log_change(shares: &ServiceShares, change: Change) {
    match change {
        Change::Begun => log_event!(
            gateway::SERVICE_OVERLOADED,
            "service={} capacity={:.0}/s level={:.1}/s above_share={}",
            shares.name,
            shares.capacity(),
            shares.level,
            shares.count_above()
        ),
        Change::Ended => log_event!(
            gateway::SERVICE_OVERLOAD_ENDED,
            "service={} capacity={:.0}/s",
            shares.name,
            shares.capacity()
        ),
    }
}

fn usage_of(state: &GatewayState, shares: &[WireTotals], now: Instant) -> WireUsage {
    WireUsage {
        daemon: name_digest(&state.peers.own().name),
        incarnation: state.incarnation,
        totals: Vec::new(),
        sent_ms: Some(state.quotas.now_ms(now)),
        shares: shares.to_vec(),
    }
}

async fn send_to_leader(
    state: &GatewayState,
    socket: &PeerSocket,
    own: &[WireTotals],
    now: Instant,
) {
    let Some(leader) = state.peers.leader.borrow().clone() else {
        return;
    };
    for shares in own.chunks(MAX_TOTALS) {
        let usage = Message::Usage(usage_of(state, shares, now));
        send(socket, &usage, &leader).await;
    }
}

/// Sums up the group's usage, and reports it to the leaders of other groups and to the members.
async fn lead(state: &GatewayState, socket: &PeerSocket, own: &[WireTotals], now: Instant) {
    let shares = &state.shares;
    shares.record_member_usage(&usage_of(state, own, now), now);
    let mut of_groups = Vec::new();
    for totals in shares.group_usage(now).chunks(MAX_TOTALS) {
        let usage = WireGroupUsage {
            group: state.peers.directory().group_name.clone(),
            incarnation: state.incarnation,
            totals: Vec::new(),
            leader: name_digest(&state.peers.own().name),
            sent_ms: Some(state.quotas.now_ms(now)),
            shares: totals.to_vec(),
        };
        send_to_other_groups(state, socket, &Message::GroupUsage(usage.clone())).await;
        shares.record_group_usage(&usage, now);
        of_groups.push(usage);
    }
    of_groups.extend(shares.take_queued_reports());
    for groups in pack(of_groups) {
        spread(state, socket, Report::Usage(groups)).await;
    }
}

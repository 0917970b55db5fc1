//! Reports the usage of tenants with limits ([`crate::quota`]).
//!
//! Members report to the leader of their group; leaders report to each other and to their members.

use std::rc::Rc;
use std::time::Duration;

use driftspring_clock::Instant;

use super::directory::name_digest;
use super::message::{Message, Report, WireGroupUsage, WireTotals, WireUsage};
use super::news::send_to_other_groups;
use super::send::send;
use super::socket::PeerSocket;
use super::spread::spread;
use crate::state::GatewayState;

/// The time between two reports. During it a tenant whose demand rises suddenly is admitted beyond its limit.
const REPORT_INTERVAL: Duration = Duration::from_millis(50);

/// The same if nothing was used: such a report shows that the gateways are in touch.
const IDLE_REPORT_INTERVAL: Duration = Duration::from_millis(200);

/// The number of totals in a datagram, which keeps it below 1,200 bytes: each takes up to 50 of them.
pub(super) const MAX_TOTALS: usize = 20;

/// Reports usage in an endless loop.
pub(super) async fn send_updates(state: Rc<GatewayState>, socket: Rc<PeerSocket>) {
    let mut last_reported = Vec::new();
    let mut last_reported_at = Instant::now();
    loop {
        tokio::time::sleep(REPORT_INTERVAL).await;
        if !state.quotas.has_limits() {
            tokio::time::sleep(IDLE_REPORT_INTERVAL).await;
            continue;
        }
        let now = Instant::now();
        let own = state.quotas.own_usage(now);
        let is_unchanged = own == last_reported;
        if state.peers.is_leader.get() {
            lead(&state, &socket, own.clone(), now).await;
        } else if !is_unchanged || now.duration_since(last_reported_at) >= IDLE_REPORT_INTERVAL {
            send_to_leader(&state, &socket, &own).await;
            last_reported_at = now;
        }
        last_reported = own;
    }
}

async fn send_to_leader(state: &GatewayState, socket: &PeerSocket, own: &[WireTotals]) {
    let Some(leader) = state.peers.leader.borrow().clone() else {
        return;
    };
    for totals in own.chunks(MAX_TOTALS) {
        let usage = Message::Usage(usage_of(state, totals));
        send(socket, &usage, &leader).await;
    }
}

fn usage_of(state: &GatewayState, totals: &[WireTotals]) -> WireUsage {
    WireUsage {
        daemon: name_digest(&state.peers.own().name),
        incarnation: state.incarnation,
        totals: totals.to_vec(),
        sent_ms: Some(state.quotas.now_ms(Instant::now())),
        shares: Vec::new(),
    }
}

/// Sums up the group's usage, and reports it to the leaders of other groups and to the members.
async fn lead(state: &GatewayState, socket: &PeerSocket, own: Vec<WireTotals>, now: Instant) {
    state
        .quotas
        .record_member_usage(&usage_of(state, &own), now);
    let sums = state.quotas.group_usage(now);
    let mut of_groups = Vec::new();
    for totals in datagram_chunks(&sums) {
        let usage = WireGroupUsage {
            group: state.peers.directory().group_name.clone(),
            incarnation: state.incarnation,
            totals: totals.to_vec(),
            leader: name_digest(&state.peers.own().name),
            sent_ms: Some(state.quotas.now_ms(now)),
            shares: Vec::new(),
        };
        send_to_other_groups(state, socket, &Message::GroupUsage(usage.clone())).await;
        state.quotas.record_group_usage(&usage, now);
        of_groups.push(usage);
    }
    of_groups.extend(state.quotas.take_queued_reports());
    for groups in pack(of_groups) {
        spread(state, socket, Report::Usage(groups)).await;
    }
}

/// The chunks that fit into a datagram; a single empty chunk reports that nothing was used.
fn datagram_chunks(totals: &[WireTotals]) -> Vec<&[WireTotals]> {
    match totals.is_empty() {
        true => vec![totals],
        false => totals.chunks(MAX_TOTALS).collect(),
    }
}

/// Distributes the reports of groups among datagrams.
pub(super) fn pack(of_groups: Vec<WireGroupUsage>) -> Vec<Vec<WireGroupUsage>> {
    let mut datagrams: Vec<Vec<WireGroupUsage>> = Vec::new();
    let mut size = usize::MAX;
    for usage in of_groups {
        let more = usage.totals.len() + usage.shares.len() + 1;
        if size.saturating_add(more) > MAX_TOTALS + 1 {
            datagrams.push(Vec::new());
            size = 0;
        }
        size += more;
        if let Some(datagram) = datagrams.last_mut() {
            datagram.push(usage);
        }
    }
    datagrams
}

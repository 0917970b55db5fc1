//! Forwards reports from member to member of a group.
//!
//! A report is forwarded along a tree with its originator as the root, so no member sends it to more than a few others,
//! however large the group is. The tree differs between reports: a dead member keeps reports from the members below it,
//! but not always from the same ones. The cost of a lost report is small, such as a prompt that is prefilled again.

use driftspring_clock::Instant;
use std::ops::Range;

use super::answer::{apply_load_status, apply_prompts};
use super::cached;
use super::directory::{Directory, name_digest};
use super::message::{Message, Report, Spread, WireGroupUsage};
use super::notices;
use super::records;
use super::send::{send_bytes, send_to_all};
use super::socket::PeerSocket;
use crate::state::GatewayState;

/// The number of members to which one member forwards a report. Two hops reach 72 members: another hop would wake a
/// third of the machines once more, and fewer hops would take more datagrams from one of them.
const FAN_OUT: usize = 8;

/// The positions to which the member at `position` of `count` members forwards a report; the root has position 0.
pub fn children(position: usize, count: usize) -> Range<usize> {
    let first = position * FAN_OUT + 1;
    first.min(count)..(first + FAN_OUT).min(count)
}

/// The addresses to which the member with the name digest `own` forwards a report originated by the member with the
/// digest `root`. Members that know different groups may skip some members or reach them twice.
pub fn receivers(directory: &Directory, root: u64, rotation: u32, own: u64) -> Vec<&str> {
    let others: Vec<_> = directory
        .group
        .iter()
        .filter(|member| name_digest(&member.name) != root)
        .collect();
    if others.is_empty() {
        return Vec::new();
    }
    let rotation = rotation as usize % others.len();
    let position = match own == root {
        true => Some(0),
        false => others
            .iter()
            .position(|member| name_digest(&member.name) == own)
            .map(|rank| (rank + others.len() - rotation) % others.len() + 1),
    };
    let Some(position) = position else {
        return Vec::new();
    };
    let at = |position: usize| {
        others[(position - 1 + rotation) % others.len()]
            .peers
            .as_str()
    };
    children(position, others.len() + 1).map(at).collect()
}

/// Originates a report to the own group.
pub(super) async fn spread(state: &GatewayState, socket: &PeerSocket, report: Report) {
    let own = name_digest(&state.peers.own().name);
    let rotation = state.peers.next_rotation();
    let message = Message::Spread(Spread {
        root: own,
        rotation,
        report,
    });
    let directory = state.peers.directory();
    let receivers = receivers(&directory, own, rotation, own);
    send_to_all(socket, &message, receivers.into_iter()).await;
}

/// Records a report of quotas' usage, or of shares: a report is of one kind.
pub(super) fn record_group_usage(state: &GatewayState, usage: &WireGroupUsage, now: Instant) {
    match usage.shares.is_empty() {
        true => state.quotas.record_group_usage(usage, now),
        false => state.shares.record_group_usage(usage, now),
    }
}

/// Forwards the datagram of a report and applies the report.
pub(super) async fn relay(
    state: &GatewayState,
    socket: &PeerSocket,
    spread: Spread,
    datagram: &[u8],
) {
    let own = name_digest(&state.peers.own().name);
    let directory = state.peers.directory();
    for address in receivers(&directory, spread.root, spread.rotation, own) {
        send_bytes(socket, datagram, address).await;
    }
    match spread.report {
        Report::Prompts(prompts) => apply_prompts(state, &prompts),
        Report::Cached(updates) => cached::apply(state, &updates),
        Report::Usage(groups) => {
            let now = Instant::now();
            for usage in &groups {
                record_group_usage(state, usage, now);
            }
        }
        Report::LoadStatus(status) => apply_load_status(state, &status),
        Report::Records(records) => drop(records::apply_records(state, &records)),
        Report::Notices(notices) => notices::apply(state, &notices),
        Report::StoreRecovered => state.store_outage.end(),
    }
}

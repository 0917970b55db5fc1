//! Passes reports on from member to member of a group.
//!
//! A report goes through a tree with its first sender as the root, so no member sends it to more than a few others,
//! however many there are. The tree differs from report to report: a member that is dead keeps reports from those
//! below it, but not the same ones each time. A report that is lost costs a prompt that is read again, or the like.

use driftspring_clock::Instant;
use std::ops::Range;

use super::answer::{apply_load_status, apply_prompts};
use super::cached;
use super::directory::{Directory, name_digest};
use super::message::{Message, Report, Spread};
use super::notices;
use super::records;
use super::send::{send_bytes, send_to_all};
use crate::state::GatewayState;

/// Members to which one member sends a report. Two steps reach 72 members: one more wakes a third of the machines
/// once more, fewer steps need more datagrams from one of them.
const FAN_OUT: usize = 8;

/// The places to which the member at `place` passes a report on, of `count` members in all; the root has place 0.
pub fn children(position: usize, count: usize) -> Range<usize> {
    let first = position * FAN_OUT + 1;
    first.min(count)..(first + FAN_OUT).min(count)
}

/// The addresses to which the member with the digest `own` passes on a report of the member with the digest `root`.
/// Members that know different groups may leave some out or reach them twice.
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

/// Begins to spread a report through the own group.
pub(super) async fn spread(state: &GatewayState, socket: &tokio::net::UdpSocket, report: Report) {
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

/// Takes in a report and passes its datagram on.
pub(super) async fn relay(
    state: &GatewayState,
    socket: &tokio::net::UdpSocket,
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
        Report::Cached(told) => cached::apply(state, &told),
        Report::Usage(groups) => {
            let now = Instant::now();
            for usage in &groups {
                state.quotas.record_group_usage(usage, now);
            }
        }
        Report::LoadStatus(status) => apply_load_status(state, &status),
        Report::Records(records) => drop(records::apply_records(state, &records)),
        Report::Notices(told) => notices::apply(state, &told),
        Report::StoreRecovered => state.store_outage.end(),
    }
}

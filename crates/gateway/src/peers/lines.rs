//! Asks replicas how many requests wait there, and tells all daemons.
//!
//! The leaders of the groups share the replicas among them, so that each replica is asked by one daemon however many there
//! are. Replicas at which nobody waits are told of once, those with a line each time.

use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use driftspring_clock::Instant;
use futures_util::future::join_all;

use super::directory::Directory;
use super::message::{Message, Report, WireLine};
use super::news::tell_other_groups;
use super::spread::spread;
use crate::protocol::ReplicaLife;
use crate::replicas::{Line, Replica};
use crate::state::GatewayState;
use crate::upstream;

/// The time between two questions to one replica. A report is some hundred milliseconds old anyway.
const INTERVAL: Duration = Duration::from_millis(250);

/// How long a report is waited for; one that comes later tells of the past.
const REPORT_TIMEOUT: Duration = Duration::from_millis(200);

/// Lines of one datagram, which so stays below 1,200 bytes with ids of usual length.
const MAX_LINES: usize = 32;

/// Asks and tells for ever, while this daemon leads its group.
pub(super) async fn run(state: Rc<GatewayState>, socket: Rc<tokio::net::UdpSocket>) {
    let busy: RefCell<HashSet<ReplicaLife>> = RefCell::default();
    loop {
        state.peers.until_leader().await;
        let began = Instant::now();
        let replicas = own_replicas(&state);
        let reports = replicas.iter().map(|replica| report(&state, replica));
        let reports = join_all(reports).await;
        let told = replicas.iter().zip(reports);
        let lines: Vec<WireLine> = told
            .filter_map(|(replica, queued)| news(&mut busy.borrow_mut(), replica, queued?))
            .collect();
        take(&state, &lines);
        for lines in lines.chunks(MAX_LINES) {
            tell_other_groups(&state, &socket, &Message::Lines(lines.to_vec())).await;
            spread(&state, &socket, Report::Lines(lines.to_vec())).await;
        }
        tokio::time::sleep(INTERVAL.saturating_sub(began.elapsed())).await;
    }
}

/// The replicas with models that this daemon asks: of so many groups each takes as many, by the digests of ids.
fn own_replicas(state: &GatewayState) -> Vec<Rc<Replica>> {
    let directory = state.peers.directory();
    let (own, groups) = place_of_group(&directory);
    let configuration = state.configuration.load();
    let has_engine = |replica: &Rc<Replica>| {
        let service = &replica.entry().service;
        let service = configuration.as_ref()?.service(service)?;
        service.engine.as_ref().map(|_| ())
    };
    let mut replicas = state.registry.all();
    replicas.retain(|replica| replica.id_hash % groups == own && has_engine(replica).is_some());
    replicas
}

/// The place of the own group among all, and their number.
fn place_of_group(directory: &Directory) -> (u64, u64) {
    let before = directory.other_groups.keys();
    let before = before.filter(|name| **name < directory.group_name).count();
    (before as u64, directory.other_groups.len() as u64 + 1)
}

/// How many requests wait at a replica, where it says so in time.
async fn report(state: &GatewayState, replica: &Replica) -> Option<u32> {
    let call = state.platform.report();
    let answer = upstream::call(&replica.pool, &call, REPORT_TIMEOUT).await;
    let (status, body) = answer.ok()?;
    let report = state.platform.read_report(&body).ok()?;
    let is_other_life = report.born.is_some() && report.born != replica.life.born;
    (status.is_success() && !is_other_life).then_some(report.queued)
}

/// What is told of a replica; nothing where nobody waits there and all know.
fn news(busy: &mut HashSet<ReplicaLife>, replica: &Replica, queued: u32) -> Option<WireLine> {
    let has_news = match queued {
        0 => busy.remove(&replica.life),
        _ => {
            busy.insert(replica.life.clone());
            true
        }
    };
    has_news.then(|| WireLine {
        replica: replica.id().to_owned(),
        born: replica.life.born,
        queued,
    })
}

/// Takes in what replicas told.
pub(super) fn take(state: &GatewayState, lines: &[WireLine]) {
    let at = Instant::now();
    for line in lines {
        if let Some(replica) = state.registry.current(&line.life()) {
            replica.set_line(Line {
                queued: line.queued,
                at,
            });
        }
    }
}

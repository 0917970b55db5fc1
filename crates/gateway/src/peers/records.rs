//! Exchanges records of requests that terminate replicas ([`crate::quarantine`]).
//!
//! Strikes go to the few gateways that keep a request's record. What all gateways need goes through the tree of each
//! group, and to one gateway of every other group. A gateway that missed it learns of it with the next query or reply:
//! both have a digest of the known records, and a gateway whose digest differs sends its records.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use super::convert::to_ms;
use super::message::{Message, Report, WireRecord, WireRecordStrike, WireRecords, WireStrike};
use super::news::send_to_other_groups;
use super::send::{send, send_to};
use super::socket::PeerSocket;
use super::spread::spread;
use crate::quarantine::shared::{ANNOUNCE_INTERVAL, Outbox};
use crate::quarantine::{Fingerprint, Record, RecordSource, Stored, Strike, homes, role};
use crate::standstill;
use crate::state::GatewayState;
use crate::store::{StoreEra, StorePosition};

/// How long changes are batched: a replica that terminates strikes dozens of requests at once.
const BATCH_DELAY: Duration = Duration::from_millis(2);

/// The number of strikes or fingerprints in a datagram, which keeps it below 1,200 bytes: each takes up to 60 of them.
const MAX_STRIKES: usize = 18;

/// The number of records in a datagram: each takes up to 560 bytes.
const MAX_RECORDS: usize = 2;

/// The number of records that are sent at once to a gateway with another digest; the rest follows after its next query.
const MAX_RECONCILED: usize = 60;

/// Sends strikes, clearances and records in an endless loop.
pub(super) async fn send_updates(state: Rc<GatewayState>, socket: Rc<PeerSocket>) {
    loop {
        match state.quarantine.has_announcements() {
            true => {
                let more = state.quarantine.announce_wakeup.notified();
                // The wait ends early if there is more to send.
                let _ = tokio::time::timeout(ANNOUNCE_INTERVAL, more).await;
            }
            false => state.quarantine.announce_wakeup.notified().await,
        }
        tokio::time::sleep(BATCH_DELAY).await;
        let outbox = state.quarantine.take_outbox();
        send_to_homes(&state, &socket, &outbox).await;
        let news: Vec<WireRecord> = outbox
            .updates
            .iter()
            .filter_map(|fingerprint| own_record(&state, *fingerprint))
            .collect();
        for records in news.chunks(MAX_RECORDS) {
            send_to_all_daemons(&state, &socket, records).await;
        }
    }
}

/// Sends strikes, and the fingerprints of completed requests, to the gateways that keep the records.
async fn send_to_homes(state: &GatewayState, socket: &PeerSocket, outbox: &Outbox) {
    let now = state.quarantine.now();
    let strikes = outbox.strikes.iter().map(|(fingerprint, strike)| {
        let strike = WireStrike {
            fingerprint: fingerprint.number(),
            replica: strike.replica,
            age_ms: age_ms(now, strike.at),
            ran_ms: ran_ms(strike),
        };
        (*fingerprint, strike)
    });
    let cleared = outbox.cleared.iter();
    let cleared = cleared.map(|fingerprint| (*fingerprint, fingerprint.number()));
    for (home, strikes) in by_home(state, strikes) {
        for strikes in strikes.chunks(MAX_STRIKES) {
            send(socket, &Message::Strikes(strikes.to_vec()), &home).await;
        }
    }
    for (home, cleared) in by_home(state, cleared) {
        for cleared in cleared.chunks(MAX_STRIKES) {
            send(socket, &Message::Cleared(cleared.to_vec()), &home).await;
        }
    }
}

/// The items for each gateway, by address, without those for this gateway.
fn by_home<T: Clone>(
    state: &GatewayState,
    items: impl Iterator<Item = (Fingerprint, T)>,
) -> HashMap<String, Vec<T>> {
    let directory = state.peers.directory();
    let mut by_home: HashMap<String, Vec<T>> = HashMap::new();
    for (fingerprint, item) in items {
        for home in homes(&directory, fingerprint) {
            if home.name != state.peers.own().name {
                let items = by_home.entry(home.peers.clone()).or_default();
                items.push(item.clone());
            }
        }
    }
    by_home
}

async fn send_to_all_daemons(state: &GatewayState, socket: &PeerSocket, records: &[WireRecord]) {
    let message = Message::Records(WireRecords {
        records: records.to_vec(),
        is_for_group: true,
    });
    send_to_other_groups(state, socket, &message).await;
    spread(state, socket, Report::Records(records.to_vec())).await;
}

/// Sends the known records to a gateway with another digest.
pub(super) async fn reconcile(
    state: &GatewayState,
    socket: &PeerSocket,
    their_digest: Option<u64>,
    to: SocketAddr,
) {
    // A gateway of an earlier version sends no digest, and keeps no records.
    if their_digest.is_none_or(|theirs| theirs == digest(state)) {
        return;
    }
    let known = state.quarantine.read(|ledger| {
        let known = ledger.shared_records();
        let known = known.map(|(fingerprint, record)| wire(state, fingerprint, record));
        known.collect::<Vec<WireRecord>>()
    });
    let known = rotated_part(known, state.peers.next_rotation());
    for records in known.chunks(MAX_RECORDS) {
        let message = Message::Records(WireRecords {
            records: records.to_vec(),
            is_for_group: false,
        });
        send_to(socket, &message, to).await;
    }
}

/// The records to send at once, a different selection for each `rotation`.
fn rotated_part(mut records: Vec<WireRecord>, rotation: u32) -> Vec<WireRecord> {
    let first = (rotation as usize * MAX_RECONCILED) % records.len().max(1);
    records.sort_by_key(|record| record.fingerprint);
    records.rotate_left(first);
    records.truncate(MAX_RECONCILED);
    records
}

/// The digest of the known records.
pub(super) fn digest(state: &GatewayState) -> u64 {
    state.quarantine.read(|ledger| ledger.digest())
}

/// Applies strikes. Strikes that were queued while this process was suspended are dropped as if lost: it is unknown
/// when their replicas terminated, and these would seem to have terminated together. The other gateways that keep the
/// record have them, and send the record.
pub(super) fn apply_strikes(state: &GatewayState, strikes: &[WireStrike]) {
    if standstill::has_just_woken() {
        log::info!(
            "{} strikes dropped: they may have been queued while the process was suspended",
            strikes.len()
        );
        return;
    }
    let now = state.quarantine.now();
    let directory = state.peers.directory();
    for wire_strike in strikes {
        let strike = Strike {
            replica: wire_strike.replica,
            at: moment(now, wire_strike.age_ms),
            is_coincident: false,
            began_at: began_at(now, wire_strike.age_ms, wire_strike.ran_ms),
        };
        let fingerprint = Fingerprint::from_number(wire_strike.fingerprint);
        let role = role(&directory, fingerprint, state.peers.own());
        state
            .quarantine
            .record_strike(fingerprint, strike, role, RecordSource::Peer);
    }
}

/// Clears completed requests.
pub(super) fn apply_cleared(state: &GatewayState, cleared: &[u128]) {
    for number in cleared {
        let fingerprint = Fingerprint::from_number(*number);
        state.quarantine.clear(fingerprint, RecordSource::Peer);
    }
}

/// Applies records; true if any of them was new.
pub(super) fn apply_records(state: &GatewayState, records: &[WireRecord]) -> bool {
    let now = state.quarantine.now();
    let directory = state.peers.directory();
    let mut has_news = false;
    for wire_record in records {
        let strikes = wire_record.strikes.iter();
        let record = Record {
            generation: wire_record.generation,
            strikes: strikes
                .map(|wire_strike| Strike {
                    replica: wire_strike.replica,
                    at: moment(now, wire_strike.age_ms),
                    is_coincident: wire_strike.is_coincident,
                    began_at: began_at(now, wire_strike.age_ms, wire_strike.ran_ms),
                })
                .collect(),
            is_quarantined: wire_record.is_quarantined,
            trials: wire_record.trials,
            stored: Stored {
                position: stored_position(wire_record),
                is_quarantined: wire_record.is_stored_quarantined,
                isolated_trials: wire_record.stored_isolated_trials,
            },
            cleared_at: moment(now, wire_record.cleared_age_ms),
            completions: wire_record.completions,
            isolated_trials: wire_record.isolated_trials,
            isolated_trial_at: wire_record
                .isolated_trial_age_ms
                .map_or(Duration::ZERO, |age_ms| moment(now, age_ms)),
        };
        let fingerprint = Fingerprint::from_number(wire_record.fingerprint);
        let role = role(&directory, fingerprint, state.peers.own());
        has_news |= state
            .quarantine
            .merge_record(fingerprint, record, role, RecordSource::Peer);
    }
    has_news
}

fn own_record(state: &GatewayState, fingerprint: Fingerprint) -> Option<WireRecord> {
    state.quarantine.read(|ledger| {
        let record = ledger.get(fingerprint)?;
        Some(wire(state, fingerprint, record))
    })
}

fn wire(state: &GatewayState, fingerprint: Fingerprint, record: &Record) -> WireRecord {
    let now = state.quarantine.now();
    let strikes = record.strikes.iter();
    let stored = record.stored.position;
    WireRecord {
        fingerprint: fingerprint.number(),
        generation: record.generation,
        strikes: strikes
            .map(|strike| WireRecordStrike {
                replica: strike.replica,
                age_ms: age_ms(now, strike.at),
                is_coincident: strike.is_coincident,
                ran_ms: ran_ms(strike),
            })
            .collect(),
        is_quarantined: record.is_quarantined,
        trials: record.trials,
        stored_revision: stored.map_or(0, |stored| stored.revision),
        is_stored_quarantined: record.stored.is_quarantined,
        cleared_age_ms: age_ms(now, record.cleared_at),
        stored_era: stored.and_then(|stored| stored.era.number()),
        completions: record.completions,
        isolated_trials: record.isolated_trials,
        isolated_trial_age_ms: (record.isolated_trials > 0)
            .then(|| age_ms(now, record.isolated_trial_at)),
        stored_isolated_trials: record.stored.isolated_trials,
    }
}

/// The store position of a record according to another gateway.
fn stored_position(wire_record: &WireRecord) -> Option<StorePosition> {
    let position = StorePosition {
        era: StoreEra::from_number(wire_record.stored_era),
        revision: wire_record.stored_revision,
    };
    Some(position).filter(|position| position.revision > 0)
}

fn age_ms(now: Duration, at: Duration) -> u64 {
    to_ms(now.saturating_sub(at))
}

fn moment(now: Duration, age_ms: u64) -> Duration {
    now.saturating_sub(Duration::from_millis(age_ms))
}

fn ran_ms(strike: &Strike) -> Option<u64> {
    let began_at = strike.began_at?;
    Some(age_ms(strike.at, began_at))
}

/// When a request started at a replica that terminated `age_ms` ago.
fn began_at(now: Duration, age_ms: u64, ran_ms: Option<u64>) -> Option<Duration> {
    let ran = Duration::from_millis(ran_ms?);
    Some(moment(now, age_ms).saturating_sub(ran))
}

//! Datagrams: size, round trip, and errors in place of panics.

use driftspring_membership::config::MAX_DATAGRAM_BYTES;
use driftspring_membership::message::{Datagram, MessageKind, Section};
use driftspring_membership::rows::{LoadReport, MemberChange, MemberRow};
use driftspring_membership::tag::{ClusterTag, EngineTag, MemberTag};
use driftspring_types::{DaemonId, Incarnation, MemberRecord, MemberState, Revision, ZoneName};
use musli::{Decode, Encode};
use quickcheck::quickcheck;

fn record() -> MemberRecord {
    MemberRecord {
        id: DaemonId::from("daemon-380"),
        zone: ZoneName::from("zone-6"),
        incarnation: Incarnation(1_764_000_000_000),
        refutation: 3,
        state: MemberState::Leaving,
        peer_address: "10.20.30.40:7400".to_owned(),
        caller_address: "[::1]:80".to_owned(),
        operator_address: String::new(),
        complete_to: Revision(41_000),
    }
}

fn datagram() -> Datagram {
    let mut datagram = Datagram {
        kind: MessageKind::Ping { sequence: 77 },
        sender: MemberTag(0xdead_beef),
        members_digest: u32::MAX,
        engines_digest: 1,
        member_rows: Section::default(),
        member_changes: Section::default(),
        engine_rows: Section::default(),
        loads: Section::default(),
        zone_contacts: Section::default(),
        notice: Section::from_bytes(vec![1, 2, 3]),
        cluster: Some(ClusterTag::of("cluster")),
    };
    datagram
        .member_rows
        .push(&MemberRow::from(&record()), usize::MAX);
    let change = MemberChange {
        tag: MemberTag(u32::MAX),
        refutation: 1,
        state: MemberState::Suspect,
    };
    datagram.member_changes.push(&change, usize::MAX);
    let load = LoadReport {
        tag: EngineTag(u32::MAX),
        report_sequence: 100_000,
        running: 30,
        queued: 12,
        pending_prefill_units: 6_000,
    };
    datagram.loads.push(&load, usize::MAX);
    datagram
}

#[test]
fn a_datagram_survives_the_journey() {
    let sent = datagram();
    let bytes = sent.encode().unwrap();
    let received = Datagram::decode(&bytes).unwrap();
    assert_eq!(received, sent);
    let rows = received.member_rows.items::<MemberRow>().unwrap();
    assert_eq!(MemberRecord::from(rows[0].clone()), record());
}

#[test]
fn packed_items_are_compact() {
    let datagram = datagram();
    assert!(datagram.loads.len() <= 12, "load: {}", datagram.loads.len());
    assert!(
        datagram.member_changes.len() <= 9,
        "change: {}",
        datagram.member_changes.len()
    );
    let whole = musli::wire::to_vec(&record()).unwrap().len();
    assert!(datagram.member_rows.len() < whole);
}

#[test]
fn every_truncation_is_an_error() {
    let bytes = datagram().encode().unwrap();
    for length in 0..bytes.len() {
        assert!(
            Datagram::decode(&bytes[..length]).is_err(),
            "{length} bytes"
        );
    }
    assert!(Datagram::decode(&vec![0; MAX_DATAGRAM_BYTES + 1]).is_err());
}

/// What a later version of the protocol might send.
#[derive(Encode, Decode)]
struct LaterDatagram {
    kind: MessageKind,
    sender: MemberTag,
    members_digest: u32,
    engines_digest: u32,
    #[musli(Binary, name = 40)]
    added_later: String,
}

#[test]
fn fields_that_a_later_version_adds_are_skipped() {
    let later = LaterDatagram {
        kind: MessageKind::News,
        sender: MemberTag(5),
        members_digest: 1,
        engines_digest: 2,
        added_later: "new".to_owned(),
    };
    let bytes = musli::wire::to_vec(&later).unwrap();
    let received = Datagram::decode(&bytes).unwrap();
    assert_eq!(received.sender, MemberTag(5));
    assert!(received.member_rows.is_empty());
}

quickcheck! {
    fn hostile_bytes_never_panic(bytes: Vec<u8>) -> bool {
        let _ = Datagram::decode(&bytes);
        true
    }

    fn a_flipped_byte_never_panics(position: usize, value: u8) -> bool {
        let mut bytes = datagram().encode().unwrap();
        let position = position % bytes.len();
        bytes[position] = value;
        let _ = Datagram::decode(&bytes);
        true
    }
}

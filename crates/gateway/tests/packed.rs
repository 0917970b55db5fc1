//! Packing of replicas in pages of changes.

#[path = "support/sync_queries.rs"]
mod sync_queries;

use std::collections::BTreeMap;
use std::rc::Rc;

use driftspring_gateway::peers::bit_rows::{BitRows, MAX_ROWS};
use driftspring_gateway::peers::change_log::ChangeLog;
use driftspring_gateway::peers::message::{
    Change, Item, ItemKey, MAX_DATAGRAM_BYTES, Message, SyncQuery, SyncReply, WireDaemon,
    WireReplica,
};
use driftspring_gateway::peers::packed::{PackedPageSize, PackedReplicas, ReplicaTable};
use driftspring_gateway::peers::packed_pages::PackedPages;
use musli::{Decode, Encode};
use quickcheck::{Arbitrary, Gen, quickcheck};
use sync_queries::{EarlierSyncQuery, earlier_sync_query, sync_query};

/// A query of an earlier version, which packs replicas in columns.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
struct ColumnPackingQuery {
    nonce: u64,
    log: u64,
    sequence: u64,
    #[musli(default)]
    content: u64,
    #[musli(default)]
    quarantine: Option<u64>,
    #[musli(default)]
    store_era: Option<u64>,
    #[musli(default)]
    configuration: u64,
    #[musli(default)]
    accepts_packed: bool,
}

/// A query of a gateway that accepts packed replicas and has the changes of `log` up to `sequence`.
fn packed_query(log: u64, sequence: u64) -> SyncQuery {
    SyncQuery {
        accepts_packed: true,
        ..sync_query(log, sequence, 1)
    }
}

/// The space for a page of changes in a datagram; the remaining bytes are for the rest of the reply.
const PAGE_BYTES: usize = MAX_DATAGRAM_BYTES - 350;

#[derive(Clone, Debug)]
struct UpTo100(Vec<Change>);

impl Arbitrary for UpTo100 {
    fn arbitrary(generator: &mut Gen) -> Self {
        let count = u16::arbitrary(generator) % 100;
        Self((0..count).map(|number| change(number, generator)).collect())
    }
}

fn name(prefix: &str, generator: &mut Gen) -> String {
    let lengths = [1, 5, 9, 30];
    let length = *generator.choose(&lengths).expect("a length");
    let number = u8::arbitrary(generator) % 4;
    format!("{prefix}{number}{}", "x".repeat(length))
}

fn address(generator: &mut Gen) -> String {
    let texts = ["10.0.0.1:80", "[::1]:80", "somewhere", "010.0.0.1:80", ""];
    let number = u32::arbitrary(generator);
    let [a, b, c, d] = number.to_be_bytes();
    match u8::arbitrary(generator) % 8 {
        0 => (*generator.choose(&texts).expect("a text")).to_owned(),
        _ => format!("{a}.{b}.{c}.{d}:{}", u16::arbitrary(generator)),
    }
}

fn change(number: u16, generator: &mut Gen) -> Change {
    let id = format!("{}-{number}", name("i", generator));
    match u8::arbitrary(generator) % 10 {
        0 => Change::Removed(ItemKey::Replica(id)),
        1 => Change::Put(Item::Daemon(WireDaemon {
            name: id,
            peers: address(generator),
            zone: name("z", generator),
            capacity: u32::arbitrary(generator),
        })),
        _ => Change::Put(Item::Replica(WireReplica {
            id,
            born: Option::arbitrary(generator),
            service: name("s", generator),
            address: address(generator),
            zone: name("z", generator),
            slots: u32::arbitrary(generator) % 300,
            is_draining: bool::arbitrary(generator),
            models: (0..u8::arbitrary(generator) % 3)
                .map(|_| (name("m", generator), u64::arbitrary(generator)))
                .collect(),
            software: bool::arbitrary(generator).then(|| name("v", generator)),
        })),
    }
}

fn reply_with(changes: Vec<Change>) -> SyncReply {
    SyncReply {
        nonce: u64::MAX,
        proof_age_ms: Some(100_000),
        view_age_ms: Some(100_000),
        store_revision: u64::MAX,
        configuration_version: u64::MAX,
        weights: Vec::new(),
        lease: None,
        log_id: u64::MAX,
        sequence: u64::MAX,
        is_from_start: true,
        has_more: true,
        changes,
        has_same_items: false,
        store_down_age_ms: Some(100_000),
        quarantine_digest: Some(u64::MAX),
        store_era: Some(u64::MAX),
        proof_revision: Some(u64::MAX),
        highest_token: u64::MAX,
        packed: None,
        suspected_weights: Vec::new(),
        view_reader_log: Some(u64::MAX),
    }
}

fn pack(reply: &mut SyncReply) {
    let packed = PackedReplicas::take_replicas(&mut reply.changes);
    reply.packed = Some(Box::new(packed));
}

fn by_key(changes: &[Change]) -> BTreeMap<ItemKey, Change> {
    let keyed = changes.iter().map(|change| (change.key(), change.clone()));
    keyed.collect()
}

/// The reply as the querying gateway decodes it.
fn round_trip(reply: SyncReply) -> SyncReply {
    let bytes = Message::SyncReply(Box::new(reply))
        .encode()
        .expect("encoded");
    match Message::decode(&bytes) {
        Some(Message::SyncReply(reply)) => *reply,
        other => panic!("{other:?}"),
    }
}

quickcheck! {
    fn packing_round_trips(changes: UpTo100) -> bool {
        let mut reply = reply_with(changes.0.clone());
        pack(&mut reply);
        let mut read = round_trip(reply);
        read.unpack();
        read.changes.len() == changes.0.len() && by_key(&read.changes) == by_key(&changes.0)
    }

    fn a_page_that_fits_stays_within_a_datagram(changes: UpTo100) -> bool {
        let mut log = ChangeLog::new(u64::MAX);
        for change in changes.0 {
            if let Change::Put(item) = change {
                log.put(item);
            }
        }
        let query = packed_query(0, 0);
        let mut size = PackedPageSize::new(PAGE_BYTES);
        let page = log.page(&query, |change| size.fits(change));
        let mut reply = reply_with(page.changes);
        pack(&mut reply);
        let bytes = Message::SyncReply(Box::new(reply)).encode().expect("encoded");
        bytes.len() <= MAX_DATAGRAM_BYTES
    }

    fn rows_round_trip(rows: Vec<(u32, u16)>) -> bool {
        let rows: Vec<Vec<u8>> = rows
            .into_iter()
            .map(|(one, other)| [&one.to_be_bytes()[..], &other.to_be_bytes()].concat())
            .collect();
        let packed = BitRows::pack(&rows);
        packed.rows().eq(rows.into_iter().take(MAX_ROWS))
    }

    fn decoding_tables_of_arbitrary_bytes_is_safe_and_bounded(
        texts: Vec<String>,
        bytes: Vec<u8>,
        has_birth: bool
    ) -> bool {
        let Ok(rows) = musli::wire::decode::<_, BitRows>(bytes.as_slice()) else {
            return true;
        };
        let tables = vec![ReplicaTable { has_birth, rows }];
        let packed = PackedReplicas { texts, tables, ..PackedReplicas::default() };
        packed.changes().count() <= MAX_ROWS
    }

    fn decoding_rows_of_arbitrary_parts_is_safe_and_bounded(
        common: Vec<u8>,
        differing: Vec<u8>,
        count: u8,
        bits: Vec<u8>
    ) -> bool {
        let parts = RowParts { common: common.clone(), differing, count, bits };
        let bytes = musli::wire::to_vec(&parts).expect("encoded");
        let rows: BitRows = musli::wire::decode(bytes.as_slice()).expect("decoded");
        let mut read = rows.rows();
        read.all(|row| row.len() <= common.len()) && rows.rows().count() <= MAX_ROWS
    }
}

/// The encoded fields of rows.
#[derive(Debug, Encode, Decode)]
struct RowParts {
    #[musli(bytes)]
    common: Vec<u8>,
    #[musli(bytes)]
    differing: Vec<u8>,
    count: u8,
    #[musli(bytes)]
    bits: Vec<u8>,
}

#[test]
fn replicas_with_missing_names_are_left_out() {
    let mut reply = reply_with(vec![Change::Put(Item::Replica(WireReplica {
        id: "r1".to_owned(),
        born: Some(7),
        service: "service".to_owned(),
        address: "10.0.0.1:80".to_owned(),
        zone: "a".to_owned(),
        slots: 4,
        is_draining: false,
        models: vec![("model".to_owned(), 1)],
        software: Some("v1".to_owned()),
    }))]);
    pack(&mut reply);
    let mut packed = reply.packed.expect("packed");
    assert_eq!(packed.changes().count(), 1);
    packed.texts.pop();
    assert_eq!(packed.changes().count(), 0);
}

#[test]
fn earlier_versions_decode_queries_and_get_no_packed_replicas() {
    let earlier = earlier_sync_query();
    let asked = SyncQuery {
        quarantine_digest: earlier.quarantine,
        accepts_packed: true,
        ..sync_query(earlier.log_id, earlier.sequence, earlier.content_digest)
    };
    let bytes = musli::wire::to_vec(&asked).expect("encoded");
    let read: EarlierSyncQuery = musli::wire::decode(bytes.as_slice()).expect("decoded");
    assert_eq!(read, earlier);
    let bytes = musli::wire::to_vec(&earlier).expect("encoded");
    let read: SyncQuery = musli::wire::decode(bytes.as_slice()).expect("decoded");
    assert!(!read.accepts_packed);
}

#[test]
fn column_and_row_packing_versions_fall_back_to_the_plain_form() {
    let earlier = ColumnPackingQuery {
        nonce: 1,
        log: 2,
        sequence: 3,
        content: 4,
        quarantine: Some(5),
        store_era: Some(6),
        configuration: 7,
        accepts_packed: true,
    };
    let bytes = musli::wire::to_vec(&earlier).expect("encoded");
    let read: SyncQuery = musli::wire::decode(bytes.as_slice()).expect("decoded");
    assert_eq!(read.configuration_version, earlier.configuration);
    assert!(!read.accepts_packed, "it is not told rows");
    let asked = SyncQuery {
        accepts_packed: true,
        ..read
    };
    let bytes = musli::wire::to_vec(&asked).expect("encoded");
    let read: ColumnPackingQuery = musli::wire::decode(bytes.as_slice()).expect("decoded");
    assert_eq!(read.configuration, earlier.configuration);
    assert!(!read.accepts_packed, "it does not tell columns");
}

/// A query of a gateway that has the first `sequence` changes of a log.
fn query_after(log: &ChangeLog, sequence: u64) -> SyncQuery {
    packed_query(log.id(), sequence)
}

#[test]
fn a_page_is_built_once_until_the_log_changes() {
    let mut log = ChangeLog::new(7);
    let mut generator = Gen::new(10);
    for number in 0..500 {
        if let Change::Put(item) = change(number, &mut generator) {
            log.put(item);
        }
    }
    let mut pages = PackedPages::default();
    let mut after = 0;
    while after < log.sequence() {
        let query = query_after(&log, after);
        let page = pages.page(&log, &query).expect("a page");
        let again = pages.page(&log, &query).expect("the same page");
        assert!(Rc::ptr_eq(&page, &again));
        assert!(page.page.sequence > after);
        after = page.page.sequence;
    }
    let first = pages.page(&log, &query_after(&log, 0)).expect("a page");
    log.remove(&ItemKey::Replica("none".to_owned()));
    let same = pages.page(&log, &query_after(&log, 0)).expect("a page");
    assert!(Rc::ptr_eq(&first, &same), "nothing has changed");
    let key = log.items().next().expect("an item").key();
    log.remove(&key);
    let changed = pages.page(&log, &query_after(&log, 0)).expect("a page");
    assert!(!Rc::ptr_eq(&first, &changed), "an item is gone");
}

//! Messages survive the codec, stay small, and a cut one is an error.

use driftspring_replication::{Delta, MergeRule, Notice, Replica};
use driftspring_types::{Incarnation, ObjectRecord, Revision};

fn record(key: &str, revision: u64, value: Option<&str>) -> ObjectRecord {
    ObjectRecord {
        key: key.to_owned(),
        revision: Revision(revision),
        value: value.map(str::to_owned),
    }
}

#[test]
fn a_notice_fits_into_a_gossip_message() {
    const MAX_NOTICE_BYTES: usize = 32;
    let notice = Notice {
        complete_to: Revision(1_000_000),
        highest: Revision(1_000_010),
        listed_to: Revision(900_000),
        loose_digest: u32::MAX,
    };
    let bytes = musli::wire::to_vec(&notice).expect("encodes");
    assert!(bytes.len() <= MAX_NOTICE_BYTES, "{} bytes", bytes.len());
    assert_eq!(musli::wire::from_slice::<Notice>(&bytes).ok(), Some(notice));
}

#[test]
fn a_cut_delta_is_an_error() {
    let delta = Delta {
        records: vec![
            record("tenants/a", 3, Some("{}")),
            record("routes/b", 4, None),
        ],
        complete_to: Revision(4),
        ..Delta::default()
    };
    let bytes = musli::wire::to_vec(&delta).expect("encodes");
    assert_eq!(musli::wire::from_slice::<Delta>(&bytes).ok(), Some(delta));
    for length in 0..bytes.len() {
        assert!(musli::wire::from_slice::<Delta>(&bytes[..length]).is_err());
    }
}

#[test]
fn a_default_holds_until_its_key_is_written_or_deleted() {
    let default = record("routes/a", 0, Some("default"));
    let mut replica = Replica::new(
        MergeRule::HighestRevision,
        Incarnation(1),
        [default.clone()],
    );
    replica.apply_list(Revision(5), vec![record("routes/b", 2, Some("other"))]);
    assert_eq!(replica.get("routes/a"), Some(&default));
    let deletion = record("routes/a", 6, None);
    replica.apply_own_write(deletion.clone());
    assert_eq!(replica.get("routes/a"), Some(&deletion));
}

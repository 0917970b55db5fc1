//! The change log that gateways follow, and the encoding of their datagrams.

#[path = "support/sync_queries.rs"]
mod sync_queries;

use std::collections::BTreeMap;
use std::time::Duration;

use driftspring_gateway::peers::change_log::ChangeLog;
use driftspring_gateway::peers::followed_log::FollowedLog;
use driftspring_gateway::peers::known::MAX_PROMPTS;
use driftspring_gateway::peers::message::{
    Change, Item, ItemKey, Message, OtherGroupPrompts, RECEIVE_BUFFER_BYTES, SyncQuery, SyncReply,
    WirePrompt, WireReplica,
};
use quickcheck::quickcheck;

fn replica(id: u8, slots: u32) -> Item {
    Item::Replica(WireReplica {
        id: format!("r{id}"),
        born: Some(7),
        service: "service".to_owned(),
        address: "10.0.0.1:80".to_owned(),
        zone: "a".to_owned(),
        slots,
        is_draining: false,
        models: vec![("model".to_owned(), 1)],
        software: Some("v1".to_owned()),
    })
}

/// A gateway that follows a log page by page.
struct Follower {
    own: ChangeLog,
    followed: FollowedLog,
    transferred: usize,
}

impl Follower {
    fn new() -> Self {
        Self {
            own: ChangeLog::new(1000),
            followed: FollowedLog::default(),
            transferred: 0,
        }
    }

    fn ask(&mut self) -> SyncQuery {
        let (log, sequence, content_digest) = self.followed.query_fields(&self.own);
        sync_queries::sync_query(log, sequence, content_digest)
    }

    fn apply(&mut self, answer: &SyncReply) {
        for change in self.followed.apply(answer, &self.own) {
            self.transferred += 1;
            match change {
                Change::Put(item) => drop(self.own.put(item)),
                Change::Removed(key) => drop(self.own.remove(&key)),
            }
        }
    }

    fn catch_up(&mut self, log: &ChangeLog) {
        loop {
            let query = self.ask();
            let answer = answer(log, &query);
            self.apply(&answer);
            if !answer.has_more {
                return;
            }
        }
    }

    fn items(&self) -> BTreeMap<ItemKey, Item> {
        items(&self.own)
    }
}

fn items(log: &ChangeLog) -> BTreeMap<ItemKey, Item> {
    log.items().map(|item| (item.key(), item.clone())).collect()
}

/// The reply of a gateway with this log, three changes per page.
fn answer(log: &ChangeLog, query: &SyncQuery) -> SyncReply {
    let mut count = 0;
    let page = log.page(query, |_| {
        count += 1;
        count <= 3
    });
    SyncReply {
        nonce: query.nonce,
        log_id: log.id(),
        sequence: page.sequence,
        is_from_start: page.is_from_start,
        has_more: page.has_more,
        changes: page.changes,
        has_same_items: page.has_same_items,
        ..SyncReply::default()
    }
}

quickcheck! {
    fn a_follower_converges_to_the_log(steps: Vec<(u8, u8, bool)>) -> bool {
        let mut log = ChangeLog::new(77);
        let mut follower = Follower::new();
        for (id, slots, catches_up) in steps {
            match slots % 4 {
                0 => drop(log.remove(&ItemKey::Replica(format!("r{id}")))),
                slots => drop(log.put(replica(id, u32::from(slots)))),
            }
            if catches_up {
                follower.catch_up(&log);
            }
        }
        follower.catch_up(&log);
        follower.items() == items(&log)
    }

    fn whatever_was_learnt_elsewhere_ends_with_what_the_log_has(steps: Vec<(u8, u8)>) -> bool {
        let mut log = ChangeLog::new(77);
        let mut follower = Follower::new();
        for (id, kind) in steps {
            let key = ItemKey::Replica(format!("r{id}"));
            match kind % 5 {
                0 => drop(log.remove(&key)),
                1 => drop(log.put(replica(id, u32::from(kind)))),
                2 => {
                    follower.followed.reset();
                    follower.own.remove(&key);
                }
                3 => {
                    follower.followed.reset();
                    follower.own.put(replica(id, u32::from(kind)));
                }
                _ => follower.catch_up(&log),
            }
        }
        follower.catch_up(&log);
        follower.items() == items(&log)
    }
}

#[test]
fn replicas_that_were_missing_from_a_daemons_own_list_come_back_from_its_source() {
    let mut log = ChangeLog::new(77);
    log.put(replica(1, 1));
    log.put(replica(2, 1));
    let mut follower = Follower::new();
    follower.catch_up(&log);
    // It reads the store itself while the entries are expired, which its source never sees.
    follower.followed.reset();
    follower.own.remove(&ItemKey::Replica("r1".to_owned()));
    follower.catch_up(&log);
    assert_eq!(follower.items(), items(&log));
}

#[test]
fn a_follower_with_the_same_items_is_sent_none() {
    let mut log = ChangeLog::new(77);
    let mut follower = Follower::new();
    for id in 0..100 {
        log.put(replica(id, 1));
        follower.own.put(replica(99 - id, 1));
    }
    follower.catch_up(&log);
    assert_eq!(follower.transferred, 0);
    log.put(replica(7, 2));
    follower.catch_up(&log);
    assert_eq!(follower.transferred, 1, "it stands at the end of the log");
    assert_eq!(follower.items(), items(&log));
}

#[test]
fn before_the_last_page_not_all_is_known() {
    let mut log = ChangeLog::new(77);
    let mut follower = Follower::new();
    for id in 0..7 {
        log.put(replica(id, 1));
    }
    let mut known = Vec::new();
    for _ in 0..3 {
        let query = follower.ask();
        follower.apply(&answer(&log, &query));
        known.push(follower.followed.is_complete());
    }
    assert_eq!(known, [false, false, true], "three changes a page");
}

#[test]
fn a_reply_to_an_outdated_digest_is_ignored() {
    let mut log = ChangeLog::new(77);
    let mut follower = Follower::new();
    log.put(replica(1, 1));
    follower.own.put(replica(1, 1));
    let query = follower.ask();
    follower.own.remove(&ItemKey::Replica("r1".to_owned()));
    let answer = answer(&log, &query);
    assert!(answer.has_same_items);
    follower.apply(&answer);
    assert!(!follower.followed.is_complete());
    follower.catch_up(&log);
    assert!(follower.followed.is_complete());
    assert_eq!(follower.items(), items(&log));
}

#[test]
fn a_daemon_rejects_an_older_view_of_a_source_that_it_did_not_follow() {
    let mut log = ChangeLog::new(77);
    log.put(replica(1, 8));
    let mut follower = Follower::new();
    let told = |follower: &mut Follower, log: &ChangeLog, age_ms: u64| SyncReply {
        view_age_ms: Some(age_ms),
        ..answer(log, &follower.ask())
    };
    let own = Some(Duration::from_millis(500));
    let (older, same_age) = (
        told(&mut follower, &log, 900),
        told(&mut follower, &log, 502),
    );
    assert!(follower.followed.has_older_view(&older, own));
    assert!(!follower.followed.has_older_view(&same_age, own));
    assert!(
        !follower.followed.has_older_view(&older, None),
        "nothing is known"
    );
    follower.catch_up(&log);
    let same_items = told(&mut Follower::new(), &ChangeLog::new(78), 900);
    let same_items = SyncReply {
        has_same_items: true,
        ..same_items
    };
    assert!(!follower.followed.has_older_view(&same_items, own));
    log.put(replica(2, 8));
    let news = told(&mut follower, &log, 900);
    assert!(
        !follower.followed.has_older_view(&news, own),
        "it is followed already"
    );
}

#[test]
fn a_follower_that_missed_discarded_tombstones_gets_everything() {
    let mut log = ChangeLog::new(1);
    let mut follower = Follower::new();
    log.put(replica(1, 1));
    follower.catch_up(&log);
    for round in 0..600 {
        log.put(replica(2, round + 1));
        log.remove(&ItemKey::Replica("r2".to_owned()));
        log.put(replica((round % 200) as u8 + 10, round));
        log.remove(&ItemKey::Replica(format!("r{}", round % 200 + 10)));
    }
    log.remove(&ItemKey::Replica("r1".to_owned()));
    follower.catch_up(&log);
    assert!(follower.items().is_empty());
}

#[test]
fn an_unchanged_item_is_not_recorded_as_a_change() {
    let mut log = ChangeLog::new(1);
    assert!(log.put(replica(1, 1)));
    assert!(!log.put(replica(1, 1)));
    assert!(log.put(replica(1, 2)));
    assert!(!log.remove(&ItemKey::Replica("r9".to_owned())));
}

#[test]
fn datagrams_round_trip() {
    let message = Message::SyncQuery(sync_queries::sync_query(u64::MAX, 3, 3));
    let bytes = message.encode().expect("encodes");
    assert_eq!(Message::decode(&bytes), Some(message));
    assert_eq!(Message::decode(&bytes[..bytes.len() - 1]), None);
    assert_eq!(Message::decode(b"not a datagram"), None);
}

#[test]
fn a_full_batch_of_prompts_fits_into_a_datagram() {
    let prompt = |number: usize| WirePrompt {
        replica: format!("engine-of-the-service-{number:010}"),
        born: Some(u64::MAX),
        tokens: u64::MAX >> number,
        prefixes: vec![u64::MAX; 3],
        sender: u32::MAX,
        output_tokens: u32::MAX,
        pause_target_ms: u32::MAX,
        whole_tokens: u32::MAX,
    };
    let message = Message::OtherGroupPrompts(OtherGroupPrompts {
        prompts: (0..MAX_PROMPTS).map(prompt).collect(),
        zone: "zone-of-the-sender".to_owned(),
    });
    let bytes = message.encode().expect("it encodes");
    assert!(bytes.len() <= RECEIVE_BUFFER_BYTES, "{} bytes", bytes.len());
    assert_eq!(Message::decode(&bytes), Some(message));
}

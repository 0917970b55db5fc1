//! What daemons tell each other: the change log and the encoding.

#[path = "support/questions.rs"]
mod questions;

use std::collections::BTreeMap;
use std::time::Duration;

use driftspring_gateway::peers::change_log::ChangeLog;
use driftspring_gateway::peers::followed_log::FollowedLog;
use driftspring_gateway::peers::known::MAX_PROMPTS;
use driftspring_gateway::peers::message::{
    Ask, Change, FarPrompts, Item, ItemKey, Message, RECEIVE_BYTES, Tell, WirePrompt, WireReplica,
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
    })
}

/// A daemon that follows a log page by page.
struct Follower {
    own: ChangeLog,
    place: FollowedLog,
    transferred: usize,
}

impl Follower {
    fn new() -> Self {
        Self {
            own: ChangeLog::new(1000),
            place: FollowedLog::default(),
            transferred: 0,
        }
    }

    fn ask(&mut self) -> Ask {
        let (log, sequence, content) = self.place.question(&self.own);
        questions::ask(log, sequence, content)
    }

    fn take(&mut self, answer: &Tell) {
        for change in self.place.take(answer, &self.own) {
            self.transferred += 1;
            match change {
                Change::Put(item) => drop(self.own.put(item)),
                Change::Gone(key) => drop(self.own.remove(&key)),
            }
        }
    }

    fn catch_up(&mut self, log: &ChangeLog) {
        loop {
            let question = self.ask();
            let answer = answer(log, &question);
            self.take(&answer);
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

/// What a daemon with this log answers, three changes a page.
fn answer(log: &ChangeLog, question: &Ask) -> Tell {
    let mut count = 0;
    let page = log.page(question, |_| {
        count += 1;
        count <= 3
    });
    Tell {
        nonce: question.nonce,
        log: log.id(),
        sequence: page.sequence,
        is_from_start: page.is_from_start,
        has_more: page.has_more,
        changes: page.changes,
        is_same: page.is_same,
        ..Tell::default()
    }
}

quickcheck! {
    fn a_follower_ends_with_what_the_log_has(steps: Vec<(u8, u8, bool)>) -> bool {
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
                    follower.place.start_anew();
                    follower.own.remove(&key);
                }
                3 => {
                    follower.place.start_anew();
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
    // It reads the store itself while the entries have lapsed, which its source never sees.
    follower.place.start_anew();
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
        let question = follower.ask();
        follower.take(&answer(&log, &question));
        known.push(follower.place.knows_all());
    }
    assert_eq!(known, [false, false, true], "three changes a page");
}

#[test]
fn an_answer_that_no_longer_fits_ones_own_items_is_not_trusted() {
    let mut log = ChangeLog::new(77);
    let mut follower = Follower::new();
    log.put(replica(1, 1));
    follower.own.put(replica(1, 1));
    let question = follower.ask();
    follower.own.remove(&ItemKey::Replica("r1".to_owned()));
    let answer = answer(&log, &question);
    assert!(answer.is_same);
    follower.take(&answer);
    assert!(!follower.place.knows_all());
    follower.catch_up(&log);
    assert!(follower.place.knows_all());
    assert_eq!(follower.items(), items(&log));
}

#[test]
fn a_daemon_does_not_go_back_to_the_older_view_of_one_that_it_did_not_follow() {
    let mut log = ChangeLog::new(77);
    log.put(replica(1, 8));
    let mut follower = Follower::new();
    let told = |follower: &mut Follower, log: &ChangeLog, age_ms: u64| Tell {
        view_age_ms: Some(age_ms),
        ..answer(log, &follower.ask())
    };
    let own = Some(Duration::from_millis(500));
    let (older, same_age) = (
        told(&mut follower, &log, 900),
        told(&mut follower, &log, 502),
    );
    assert!(follower.place.is_behind(&older, own));
    assert!(!follower.place.is_behind(&same_age, own));
    assert!(!follower.place.is_behind(&older, None), "nothing is known");
    follower.catch_up(&log);
    let same_items = told(&mut Follower::new(), &ChangeLog::new(78), 900);
    let same_items = Tell {
        is_same: true,
        ..same_items
    };
    assert!(!follower.place.is_behind(&same_items, own));
    log.put(replica(2, 8));
    let news = told(&mut follower, &log, 900);
    assert!(
        !follower.place.is_behind(&news, own),
        "it is followed already"
    );
}

#[test]
fn a_follower_that_missed_forgotten_tombstones_gets_everything() {
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
fn an_item_that_has_not_changed_is_no_news() {
    let mut log = ChangeLog::new(1);
    assert!(log.put(replica(1, 1)));
    assert!(!log.put(replica(1, 1)));
    assert!(log.put(replica(1, 2)));
    assert!(!log.remove(&ItemKey::Replica("r9".to_owned())));
}

#[test]
fn datagrams_come_back_as_they_were() {
    let message = Message::Ask(questions::ask(u64::MAX, 3, 3));
    let bytes = message.encode().expect("encodes");
    assert_eq!(Message::decode(&bytes), Some(message));
    assert_eq!(Message::decode(&bytes[..bytes.len() - 1]), None);
    assert_eq!(Message::decode(b"not a datagram"), None);
}

#[test]
fn as_many_prompts_as_are_sent_at_once_fit_into_a_datagram() {
    let prompt = |number: usize| WirePrompt {
        replica: format!("engine-of-the-service-{number:010}"),
        born: Some(u64::MAX),
        tokens: u64::MAX >> number,
        prefixes: vec![u64::MAX; 3],
        sender: u32::MAX,
    };
    let message = Message::FarPrompts(FarPrompts {
        prompts: (0..MAX_PROMPTS).map(prompt).collect(),
        zone: "zone-of-the-sender".to_owned(),
    });
    let bytes = message.encode().expect("it encodes");
    assert!(bytes.len() <= RECEIVE_BYTES, "{} bytes", bytes.len());
    assert_eq!(Message::decode(&bytes), Some(message));
}

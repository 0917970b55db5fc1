//! What daemons tell each other: the change log, the choice of a source, the encoding.

use std::collections::BTreeMap;
use std::time::Duration;

use driftspring_gateway::peers::change_log::ChangeLog;
use driftspring_gateway::peers::message::{
    Ask, Change, Item, ItemKey, Message, WireDaemon, WireReplica,
};
use driftspring_gateway::peers::source::{Source, SourceChooser, ranked_group};
use quickcheck::quickcheck;

fn replica(id: u8, slots: u32) -> Item {
    Item::Replica(WireReplica {
        id: format!("r{id}"),
        service: "service".to_owned(),
        address: "10.0.0.1:80".to_owned(),
        zone: "a".to_owned(),
        slots,
        is_draining: false,
        models: vec![("model".to_owned(), 1)],
    })
}

/// Someone who follows a log page by page.
#[derive(Default)]
struct Follower {
    log: u64,
    sequence: u64,
    items: BTreeMap<ItemKey, Item>,
}

impl Follower {
    fn catch_up(&mut self, log: &ChangeLog) {
        loop {
            let page = log.page(self.log, self.sequence, |changes, _| changes.len() < 3);
            if page.is_from_start {
                self.items.clear();
            }
            for change in page.changes {
                match change {
                    Change::Put(item) => drop(self.items.insert(item.key(), item)),
                    Change::Gone(key) => drop(self.items.remove(&key)),
                }
            }
            self.log = log.id();
            self.sequence = page.sequence;
            if !page.has_more {
                return;
            }
        }
    }
}

quickcheck! {
    fn a_follower_ends_with_what_the_log_has(steps: Vec<(u8, u8, bool)>) -> bool {
        let mut log = ChangeLog::new(77);
        let mut follower = Follower::default();
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
        let items: BTreeMap<ItemKey, Item> =
            log.items().map(|item| (item.key(), item.clone())).collect();
        follower.items == items
    }
}

#[test]
fn whoever_missed_forgotten_tombstones_gets_everything() {
    let mut log = ChangeLog::new(1);
    let mut follower = Follower::default();
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
    assert!(follower.items.is_empty());
}

#[test]
fn an_item_that_has_not_changed_is_no_news() {
    let mut log = ChangeLog::new(1);
    assert!(log.put(replica(1, 1)));
    assert!(!log.put(replica(1, 1)));
    assert!(log.put(replica(1, 2)));
    assert!(!log.remove(&ItemKey::Replica("r9".to_owned())));
}

fn daemon(name: &str, zone: &str) -> WireDaemon {
    WireDaemon {
        name: name.to_owned(),
        peers: "10.0.0.1:7000".to_owned(),
        zone: zone.to_owned(),
    }
}

#[test]
fn every_daemon_ranks_its_group_alike() {
    let daemons: Vec<WireDaemon> = (0..40)
        .map(|number| daemon(&format!("d{number}"), ["a", "b"][number % 2]))
        .collect();
    let group = ranked_group(&daemons, &daemons[0]);
    assert_eq!(group.len(), 20);
    assert!(group.iter().all(|daemon| daemon.zone == "a"));
    assert_eq!(ranked_group(&daemons, &daemons[2]), group);
}

fn choose(
    chooser: &mut SourceChooser,
    now: u64,
    group: &[WireDaemon],
    own: usize,
) -> Option<String> {
    match chooser.choose(Duration::from_millis(now), group, &group[own].name) {
        Source::Store => None,
        Source::Daemon(daemon) => Some(daemon.name),
    }
}

fn group() -> Vec<WireDaemon> {
    let daemons: Vec<WireDaemon> = ["x", "y", "z"]
        .iter()
        .map(|name| daemon(name, "a"))
        .collect();
    ranked_group(&daemons, &daemons[0])
}

#[test]
fn the_first_in_rank_reads_the_store_and_the_others_ask_it() {
    let group = group();
    assert_eq!(choose(&mut SourceChooser::default(), 0, &group, 0), None);
    let first = Some(group[0].name.clone());
    assert_eq!(choose(&mut SourceChooser::default(), 0, &group, 1), first);
    assert_eq!(choose(&mut SourceChooser::default(), 0, &group, 2), first);
}

#[test]
fn a_silent_source_is_passed_over_and_tried_again_later() {
    let group = group();
    let mut chooser = SourceChooser::default();
    choose(&mut chooser, 0, &group, 2);
    chooser.on_silence(Duration::from_millis(300));
    assert_eq!(
        choose(&mut chooser, 300, &group, 2),
        Some(group[0].name.clone())
    );
    chooser.on_silence(Duration::from_millis(600));
    assert_eq!(
        choose(&mut chooser, 600, &group, 2),
        Some(group[1].name.clone())
    );
    assert_eq!(
        choose(&mut chooser, 9000, &group, 2),
        Some(group[0].name.clone())
    );
}

#[test]
fn a_source_with_an_old_view_is_passed_over() {
    let group = group();
    let mut chooser = SourceChooser::default();
    choose(&mut chooser, 0, &group, 1);
    assert!(chooser.on_answer(Duration::ZERO, Some(Duration::from_secs(1))));
    assert!(!chooser.on_answer(Duration::ZERO, Some(Duration::from_secs(4))));
    assert_eq!(choose(&mut chooser, 1, &group, 1), None);
}

#[test]
fn a_reader_that_the_store_refuses_asks_those_behind_it() {
    let group = group();
    let mut chooser = SourceChooser::default();
    let now = Duration::from_secs(10);
    assert_eq!(choose(&mut chooser, 10_000, &group, 0), None);
    chooser.on_store(
        now,
        &group[0].name,
        Duration::from_secs(9),
        Some(Duration::from_secs(3)),
    );
    assert_eq!(
        choose(&mut chooser, 10_000, &group, 0),
        Some(group[1].name.clone())
    );
    assert_eq!(choose(&mut chooser, 13_000, &group, 0), None);
}

#[test]
fn datagrams_come_back_as_they_were() {
    let message = Message::Ask(Ask {
        nonce: 7,
        log: u64::MAX,
        sequence: 3,
    });
    let bytes = message.encode().expect("encodes");
    assert_eq!(Message::decode(&bytes), Some(message));
    assert_eq!(Message::decode(&bytes[..bytes.len() - 1]), None);
    assert_eq!(Message::decode(b"not a datagram"), None);
}

#[test]
fn the_store_counts_as_down_for_all_only_where_others_know_nothing_recent_either() {
    let group = group();
    let mut chooser = SourceChooser::default();
    let now = Duration::from_secs(10);
    let old = Some(Duration::from_secs(3));
    chooser.on_store(now, &group[0].name, Duration::from_secs(9), old);
    assert!(!chooser.is_everybody_stale(now));
    for _ in 0..2 {
        assert!(choose(&mut chooser, 10_000, &group, 0).is_some());
        chooser.on_answer(now, old);
    }
    assert!(chooser.is_everybody_stale(now));
    assert!(!chooser.is_everybody_stale(now + Duration::from_secs(5)));
    chooser.on_store(
        now,
        &group[0].name,
        Duration::from_secs(9),
        Some(Duration::ZERO),
    );
    assert!(!chooser.is_everybody_stale(now));
}

#[test]
fn a_daemon_that_has_just_begun_to_read_the_store_does_not_take_it_for_down() {
    let group = group();
    let mut chooser = SourceChooser::default();
    let now = Duration::from_secs(10);
    let old = Some(Duration::from_secs(3));
    for _ in 0..2 {
        assert!(choose(&mut chooser, 10_000, &group, 2).is_some());
        chooser.on_answer(now, old);
    }
    chooser.on_store(now, &group[2].name, Duration::from_micros(19), old);
    assert!(!chooser.is_everybody_stale(now));
}

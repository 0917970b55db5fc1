//! How reports reach every member of a group, and which gateways of other groups receive them.

use std::collections::HashMap;
use std::time::Duration;

use driftspring_clock::Instant;
use driftspring_gateway::cache::{CacheUpdate, CachedPartChange};
use driftspring_gateway::peers::cached::pack;
use driftspring_gateway::peers::directory::{Directory, name_digest};
use driftspring_gateway::peers::message::{
    MAX_DATAGRAM_BYTES, Message, Report, Spread, WireDaemon,
};
use driftspring_gateway::peers::relays::Relays;
use driftspring_gateway::peers::spread::receivers;
use quickcheck::quickcheck;

fn daemons(count: usize, zones: &[&str]) -> Vec<WireDaemon> {
    (0..count)
        .map(|number| WireDaemon {
            name: format!("d{number}"),
            peers: format!("10.0.{}.{}:7000", number / 200, number % 200),
            zone: zones[number % zones.len()].to_owned(),
            capacity: 100,
        })
        .collect()
}

/// How many times each member receives a report that `root` originates, and the most copies that one member sends.
fn spread(
    daemons: &[WireDaemon],
    root: &WireDaemon,
    rotation: u32,
) -> (HashMap<String, usize>, usize) {
    let by_address: HashMap<&str, &WireDaemon> = daemons
        .iter()
        .map(|daemon| (daemon.peers.as_str(), daemon))
        .collect();
    let mut received: HashMap<String, usize> = HashMap::new();
    let mut max_sent = 0;
    let mut senders = vec![root];
    while let Some(sender) = senders.pop() {
        let directory = Directory::new(daemons, sender);
        let (root, own) = (name_digest(&root.name), name_digest(&sender.name));
        let next = receivers(&directory, root, rotation, own);
        max_sent = max_sent.max(next.len());
        for address in next {
            let member = by_address[address];
            *received.entry(member.name.clone()).or_default() += 1;
            senders.push(member);
        }
    }
    (received, max_sent)
}

quickcheck! {
    fn a_report_reaches_every_other_member_once_with_bounded_fan_out(
        size: u8,
        root: u8,
        rotation: u32
    ) -> bool {
        let daemons = daemons(usize::from(size) % 90 + 1, &["a"]);
        let root = &daemons[usize::from(root) % daemons.len()];
        let (received, max_sent) = spread(&daemons, root, rotation);
        let others = daemons.iter().filter(|daemon| daemon.name != root.name);
        let is_complete = others.clone().all(|daemon| received.get(&daemon.name) == Some(&1));
        is_complete && received.len() == others.count() && max_sent <= 8
    }
}

#[test]
fn members_take_turns_in_forwarding_reports() {
    let daemons = daemons(59, &["a"]);
    let passes_on = |rotation: u32| {
        let directory = Directory::new(&daemons, &daemons[7]);
        let (root, own) = (name_digest("d3"), name_digest("d7"));
        !receivers(&directory, root, rotation, own).is_empty()
    };
    let times = (0..580).filter(|rotation| passes_on(*rotation)).count();
    assert!((50..=110).contains(&times), "{times} of 580");
}

#[test]
fn the_last_reporter_is_the_receiver_and_others_are_tried_in_turn() {
    let daemons = daemons(40, &["a", "b"]);
    let directory = Directory::new(&daemons, &daemons[0]);
    let created_at = Instant::now();
    let relays = Relays::new(created_at);
    let at = |ms: u64| created_at + Duration::from_millis(ms);
    let group = &directory.other_groups["b"];
    for (ms, index) in [(0, 0), (600, 1), (1100, 2), (1600, 3), (2100, 0)] {
        assert_eq!(
            relays.targets(&directory, at(ms)),
            [group[index].peers.clone()]
        );
    }
    relays.record_report("b", group[9].peers.clone(), at(3000));
    assert_eq!(
        relays.targets(&directory, at(4400)),
        [group[9].peers.clone()]
    );
    let later = relays.targets(&directory, at(9000));
    assert_ne!(later, [group[9].peers.clone()]);
}

fn update(number: usize, changes: usize, is_from_start: bool) -> CacheUpdate {
    CacheUpdate {
        store: format!("172.20.100.{number}:18603")
            .parse()
            .expect("an address"),
        epoch: u64::MAX,
        next: u64::MAX,
        is_known: true,
        is_from_start,
        changes: (0..changes)
            .map(|change| CachedPartChange {
                part: u64::MAX - change as u64,
                tokens: u32::MAX,
            })
            .collect(),
    }
}

#[test]
fn store_changes_are_split_completely_among_small_enough_datagrams() {
    let all = vec![
        update(1, 130, true),
        update(2, 0, true),
        update(3, 3, false),
        update(4, 60, false),
    ];
    let datagrams = pack(all.clone());
    for datagram in &datagrams {
        let message = Message::Spread(Spread {
            root: u64::MAX,
            rotation: u32::MAX,
            report: Report::Cached(datagram.clone()),
        });
        let bytes = message.encode().expect("it encodes");
        assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{} bytes", bytes.len());
        assert_eq!(Message::decode(&bytes), Some(message));
    }
    let decoded: Vec<CacheUpdate> = datagrams
        .iter()
        .flatten()
        .filter_map(|wire| wire.to_news())
        .collect();
    for update in &all {
        let parts: Vec<&CacheUpdate> = decoded
            .iter()
            .filter(|part| part.store == update.store)
            .collect();
        let changes: Vec<CachedPartChange> =
            parts.iter().flat_map(|part| part.changes.clone()).collect();
        assert_eq!(changes, update.changes);
        assert_eq!(parts[0].is_from_start, update.is_from_start);
        assert!(parts[1..].iter().all(|part| !part.is_from_start));
    }
}

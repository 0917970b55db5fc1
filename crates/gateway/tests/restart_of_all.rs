//! Which gateways read the store after all gateways of a large system were killed at once.
//!
//! The tests guard against two failures. Each gateway that had just started queried the first of its group, which had no
//! view yet, and treated that as a time-out. So it promoted readers further behind, until about a hundred of 300
//! gateways listed all of 3,000 replicas. These lists and those that each gateway starts with filled the store's link,
//! 1,000 Mbit/s, for three seconds, and nothing was served.
//!
//! Later all of 100 members queried one reader for all pages, although another one with an equally large machine had
//! the same view 0.03 s later. The members got the first page 0.7 s after their start in the median and the last one
//! 1.65 s after it; the first member, which was almost alone, needed 0.54 s for all pages, the others 0.9 s in the
//! median.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use driftspring_gateway::peers::directory::Directory;
use driftspring_gateway::peers::message::WireDaemon;
use driftspring_gateway::peers::source::{Source, SourceChooser};

/// The number of gateways in each zone.
const MEMBERS: usize = 100;

/// The number of gateways that may read the store for a group if there are several: the first four that reply.
const READERS: usize = 4;

/// The duration of a list of 3,000 replicas on a machine with a link of 10 Mbit/s.
const LIST_DURATION: Duration = Duration::from_millis(1000);

/// The time after the start within which requests must be served.
const SERVING_DEADLINE: Duration = Duration::from_secs(2);

/// The time to the next query after one without a usable reply.
const RETRY_INTERVAL: Duration = Duration::from_millis(25);

/// The time to the next query if no other gateway is left to query, or after a usable reply.
const ASK_INTERVAL: Duration = Duration::from_millis(500);

struct Member {
    own: WireDaemon,
    chooser: SourceChooser,
    next_query_at: Duration,
    reading_since: Option<Duration>,
    informed_since: Option<Duration>,
    has_listed: bool,
}

impl Member {
    fn new(own: WireDaemon) -> Self {
        Self {
            own,
            chooser: SourceChooser::default(),
            next_query_at: Duration::ZERO,
            reading_since: None,
            informed_since: None,
            has_listed: false,
        }
    }

    /// Advances to `now`; `informed` holds the names of the gateways that have all replicas.
    fn step(&mut self, now: Duration, directory: &Directory, informed: &BTreeSet<String>) {
        if self
            .reading_since
            .is_some_and(|since| now >= since + LIST_DURATION)
        {
            self.informed_since.get_or_insert(now);
        }
        if now < self.next_query_at {
            return;
        }
        let others = directory.first_of_other_groups();
        let source = self
            .chooser
            .choose(now, &directory.group, &others, &self.own.name);
        self.next_query_at = now + ASK_INTERVAL;
        match source {
            Source::Store => {
                self.reading_since.get_or_insert(now);
                self.has_listed = true;
            }
            Source::Daemon(daemon) => {
                let age = informed.contains(&daemon.name).then_some(Duration::ZERO);
                if self.chooser.on_reply(now, age, age) {
                    self.reading_since = None;
                    self.informed_since.get_or_insert(now);
                } else if !self.chooser.is_last_resort() {
                    self.next_query_at = now + RETRY_INTERVAL;
                }
            }
        }
    }
}

/// Simulates the members of one of three groups, which all start at once; the other groups have no view.
fn simulate(until: Duration, is_refused: impl Fn(usize) -> bool) -> Vec<Member> {
    let daemons: Vec<WireDaemon> = (0..3 * MEMBERS)
        .map(|number| WireDaemon {
            name: format!("d{number}"),
            peers: "10.0.0.1:7000".to_owned(),
            zone: ["a", "b", "c"][number % 3].to_owned(),
            capacity: 100,
        })
        .collect();
    let directory = Directory::new(&daemons, &daemons[0]);
    let mut members: Vec<Member> = directory.group.iter().cloned().map(Member::new).collect();
    let mut now = Duration::ZERO;
    while now <= until {
        let informed = members
            .iter()
            .filter(|member| member.informed_since.is_some());
        let informed = informed.map(|member| member.own.name.clone()).collect();
        for (rank, member) in members.iter_mut().enumerate() {
            member.step(now, &directory, &informed);
            if is_refused(rank) {
                member.reading_since = None;
            }
        }
        now += Duration::from_millis(5);
    }
    members
}

#[test]
fn only_the_first_few_of_a_group_list_the_replicas() {
    let members = simulate(SERVING_DEADLINE, |_| false);
    let listed = members.iter().filter(|member| member.has_listed).count();
    assert!(listed <= READERS, "{listed} of {MEMBERS} list the replicas");
    let last = members.iter().map(|member| member.informed_since).max();
    assert!(members.iter().all(|member| member.informed_since.is_some()));
    assert!(
        last.flatten() <= Some(SERVING_DEADLINE),
        "the last knows at {last:?}"
    );
}

#[test]
fn if_the_store_refuses_the_first_few_those_behind_them_read_it() {
    let members = simulate(Duration::from_secs(6), |rank| rank < READERS);
    let others_informed = members.iter().skip(READERS);
    assert!(
        others_informed
            .into_iter()
            .all(|member| member.informed_since.is_some())
    );
}

/// The number of machines in each zone with more capacity than the others.
const LARGE_MACHINES: usize = 2;

/// How many members of a group query each of the others, if [`LARGE_MACHINES`] of its gateways have more capacity and
/// all have just started.
fn asked_by_members(is_silent: impl Fn(&str) -> bool) -> BTreeMap<String, usize> {
    let daemons: Vec<WireDaemon> = (0..3 * MEMBERS)
        .map(|number| WireDaemon {
            name: format!("d{number}"),
            peers: "10.0.0.1:7000".to_owned(),
            zone: ["a", "b", "c"][number % 3].to_owned(),
            capacity: if number < 3 * LARGE_MACHINES { 200 } else { 10 },
        })
        .collect();
    let directory = Directory::new(&daemons, &daemons[0]);
    let others = directory.first_of_other_groups();
    let mut asked = BTreeMap::new();
    for own in directory.group.iter().skip(READERS) {
        let mut chooser = SourceChooser::default();
        chooser.set_just_started(true);
        let mut now = Duration::ZERO;
        let name = loop {
            let source = chooser.choose(now, &directory.group, &others, &own.name);
            let Source::Daemon(daemon) = source else {
                panic!("{} reads the store", own.name);
            };
            if !is_silent(&daemon.name) {
                break daemon.name;
            }
            chooser.on_timeout(now);
            now += RETRY_INTERVAL;
        };
        *asked.entry(name).or_default() += 1;
    }
    asked
}

#[test]
fn starting_members_are_shared_evenly_among_equal_first_readers() {
    let asked = asked_by_members(|_| false);
    let (members, fair_share) = (MEMBERS - READERS, (MEMBERS - READERS) / LARGE_MACHINES);
    assert_eq!(asked.values().sum::<usize>(), members);
    assert_eq!(asked.len(), LARGE_MACHINES, "{asked:?}");
    assert!(
        asked
            .values()
            .all(|count| count.abs_diff(fair_share) <= fair_share / 3),
        "{asked:?}"
    );
}

#[test]
fn members_query_the_other_first_readers_if_one_does_not_reply() {
    let first = asked_by_members(|_| false);
    for silent in first.keys() {
        let asked = asked_by_members(|name| name == silent);
        assert!(!asked.contains_key(silent), "{asked:?}");
        assert_eq!(asked.values().sum::<usize>(), MEMBERS - READERS);
    }
}

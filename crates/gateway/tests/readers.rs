//! Which gateways read the store while it refuses some of them.
//!
//! The tests guard against readers that alternate in an outage for the first in rank of a group (9 s). The second read
//! the store instead and queried the first again after each skip period. The first relayed the second's own view, less
//! than a second old, so the second followed it and stopped reading. Both views became too old, and both started
//! reading and listed everything again.

#[path = "support/daemons.rs"]
#[allow(dead_code, reason = "each test file uses a part")]
mod daemons;

use std::time::Duration;

use daemons::in_zones;
use driftspring_gateway::peers::directory::Directory;
use driftspring_gateway::peers::message::WireDaemon;
use driftspring_gateway::peers::source::{Source, SourceChooser};

/// The time between two reads of a reader.
const READ_INTERVAL: Duration = Duration::from_millis(900);

/// The time to the next query after one without a usable reply.
const RETRY_INTERVAL: Duration = Duration::from_millis(25);

/// The time to the next query after a usable reply.
const ASK_INTERVAL: Duration = Duration::from_millis(500);

/// The number of gateways of a group that may read the store if there are several groups.
const READERS: usize = 4;

const STEP: Duration = Duration::from_millis(5);

/// The time of the read from which a view comes, and the gateway that read.
#[derive(Debug, Clone, PartialEq, Eq)]
struct View {
    read_at: Duration,
    reader: String,
}

struct Member {
    own: WireDaemon,
    directory: Directory,
    chooser: SourceChooser,
    next_query_at: Duration,
    reading_since: Option<Duration>,
    view: Option<View>,
    /// How many times it started reading the store, which lists everything.
    list_count: usize,
}

impl Member {
    fn new(own: &WireDaemon, daemons: &[WireDaemon]) -> Self {
        Self {
            own: own.clone(),
            directory: Directory::new(daemons, own),
            chooser: SourceChooser::default(),
            next_query_at: Duration::ZERO,
            reading_since: None,
            view: None,
            list_count: 0,
        }
    }

    fn view_age(&self, now: Duration) -> Option<Duration> {
        self.view.as_ref().map(|view| now - view.read_at)
    }

    /// Reads the store if a read is due.
    fn read(&mut self, now: Duration) {
        let is_due = self
            .view
            .as_ref()
            .is_none_or(|view| view.reader != self.own.name || now >= view.read_at + READ_INTERVAL);
        if self.reading_since.is_some() && is_due {
            self.view = Some(View {
                read_at: now,
                reader: self.own.name.clone(),
            });
        }
    }

    /// Queries once; `views` holds the views of all gateways.
    fn ask(&mut self, now: Duration, is_failing: bool, views: &[(String, Option<View>)]) {
        if is_failing && self.reading_since.is_none() {
            self.chooser.on_store_failing(now, &self.own.name);
        }
        let others = self.directory.first_of_other_groups();
        let group = &self.directory.group;
        let source = self.chooser.choose(now, group, &others, &self.own.name);
        self.next_query_at = now + ASK_INTERVAL;
        let Source::Daemon(asked) = source else {
            let reading = now
                - *self.reading_since.get_or_insert_with(|| {
                    self.list_count += 1;
                    now
                });
            let age = self.view_age(now);
            return self
                .chooser
                .on_store_view(now, &self.own.name, reading, age);
        };
        let relayed = views.iter().find(|(name, _)| *name == asked.name);
        let relayed = relayed.and_then(|(_, view)| view.clone());
        let age = relayed.as_ref().map(|view| now - view.read_at);
        let is_useful = self.chooser.on_reply(now, age, age);
        if let Some(relayed) = relayed.filter(|_| is_useful) {
            if relayed.reader == self.own.name {
                self.chooser.on_own_view(now);
                self.next_query_at = now + RETRY_INTERVAL;
                return;
            }
            self.reading_since = None;
            if self
                .view
                .as_ref()
                .is_none_or(|view| view.read_at < relayed.read_at)
            {
                self.view = Some(relayed);
            }
        } else {
            self.chooser.on_unusable_reply(self.view_age(now));
            if !self.chooser.is_last_resort() {
                self.next_query_at = now + RETRY_INTERVAL;
            }
        }
    }
}

/// Simulates gateways until `until`; the store refuses those for which `is_refused` is true from `since` on.
fn simulate(
    daemons: &[WireDaemon],
    since: Duration,
    until: Duration,
    is_refused: impl Fn(&Member) -> bool,
) -> Vec<Member> {
    let mut members: Vec<Member> = daemons
        .iter()
        .map(|own| Member::new(own, daemons))
        .collect();
    let mut now = Duration::from_secs(10);
    let (since, until) = (now + since, now + until);
    while now < until {
        let views: Vec<_> = members
            .iter()
            .map(|member| (member.own.name.clone(), member.view.clone()))
            .collect();
        for (number, member) in members.iter_mut().enumerate() {
            let is_failing = now >= since && is_refused(member);
            if !is_failing {
                member.read(now);
            }
            // Gateways query at different moments.
            let offset = STEP * u32::try_from(number % 20).unwrap_or(0);
            if now >= member.next_query_at + offset {
                member.ask(now, is_failing, &views);
            }
        }
        now += STEP;
    }
    members
}

/// How many times each gateway starts reading the store, and so lists everything, while the store doesn't answer the
/// first in rank of each group for 9 s.
fn lists_in_outage(daemons: &[WireDaemon]) -> Vec<usize> {
    let is_first = |member: &Member| member.directory.group[0].name == member.own.name;
    let healthy_period = Duration::from_secs(5);
    let before = simulate(daemons, healthy_period, healthy_period, is_first);
    let after = simulate(
        daemons,
        healthy_period,
        healthy_period + Duration::from_secs(9),
        is_first,
    );
    let pairs = before.iter().zip(&after);
    pairs
        .map(|(before, after)| after.list_count - before.list_count)
        .collect()
}

#[test]
fn an_outage_for_the_first_makes_each_other_daemon_list_at_most_once() {
    let list_counts = lists_in_outage(&in_zones(7, &["a"]));
    assert!(
        list_counts.iter().all(|list_count| *list_count <= 1),
        "{list_counts:?}"
    );
    assert!(list_counts.contains(&1), "nobody reads the store instead");
}

#[test]
fn an_outage_for_the_first_of_all_groups_causes_at_most_one_list_per_reader() {
    for count in [20, 100] {
        let zones = ["a", "b", "c", "d", "e"];
        let list_counts = lists_in_outage(&in_zones(count, &zones));
        let sum: usize = list_counts.iter().sum();
        assert!(sum <= zones.len() * READERS, "{list_counts:?}");
        assert!(sum > 0, "nobody reads the store instead");
    }
}

/// Guards against one reader per group: with five groups, 586 of 1,214 calls to the store in 49 s were the readers'
/// reads of the configuration, one every 0.9 s each.
#[test]
fn one_daemon_reads_the_store_for_all_groups() {
    for (count, zones) in [(20, &["a", "b", "c", "d", "e"][..]), (60, &["a", "b", "c"])] {
        let members = simulate(
            &in_zones(count, zones),
            Duration::MAX / 4,
            Duration::from_secs(10),
            |_| false,
        );
        let readers = members
            .iter()
            .filter(|member| member.reading_since.is_some());
        assert_eq!(readers.count(), 1, "{count} daemons, {zones:?}");
        let views = members
            .iter()
            .map(|member| member.view_age(Duration::from_secs(20)));
        let oldest = views.max().flatten().expect("all know something");
        assert!(oldest < Duration::from_millis(2500), "{oldest:?}");
    }
}

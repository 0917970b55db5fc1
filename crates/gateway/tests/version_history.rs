//! The software versions in use, how far back they are known, and their record in the store.

use std::collections::HashMap;
use std::time::Duration;

use driftspring_clock::Instant;
use driftspring_gateway::peers::directory::Directory;
use driftspring_gateway::peers::message::WireDaemon;
use driftspring_gateway::protocol::{SoftwareVersion, VersionRecord};
use driftspring_gateway::store::{StoreEra, StorePosition};
use driftspring_gateway::stream_versions::history::{
    VERSION_RETENTION, VersionHistory, VersionSet, Versions,
};
use driftspring_gateway::stream_versions::origin::MAX_STREAM_AGE;
use driftspring_gateway::stream_versions::stored::{StoredRecord, StoredVersions, record_to_write};
use driftspring_gateway::stream_versions::writer_rank;
use quickcheck::quickcheck;

const SERVICE: u64 = 7;
const SECOND: Duration = Duration::from_secs(1);

fn version(name: &str) -> SoftwareVersion {
    SoftwareVersion::named(name)
}

fn listed(names: &[&str]) -> HashMap<u64, VersionSet> {
    let versions = names.iter().map(|name| Some(version(name)));
    HashMap::from([(SERVICE, versions.collect())])
}

#[test]
fn a_former_version_counts_as_in_use_for_a_while() {
    let (mut history, now) = (VersionHistory::default(), Instant::now());
    assert_eq!(history.versions(SERVICE, now), Versions::None);
    assert!(history.update(listed(&["v1"]), now).is_empty());
    assert_eq!(history.sole(SERVICE, now), Some(version("v1")));
    assert_eq!(history.update(listed(&["v1", "v2"]), now), [SERVICE]);
    assert_eq!(history.versions(SERVICE, now), Versions::Several);
    assert!(history.update(listed(&["v2"]), now).is_empty());
    let before = now + VERSION_RETENTION - SECOND;
    assert_eq!(history.versions(SERVICE, before), Versions::Several);
    let after = now + VERSION_RETENTION;
    assert_eq!(history.sole(SERVICE, after), Some(version("v2")));
}

#[test]
fn a_replica_of_unknown_version_is_one_of_another_version() {
    let (mut history, now) = (VersionHistory::default(), Instant::now());
    let mut with_unknown = listed(&["v1"]);
    with_unknown.entry(SERVICE).or_default().insert(None);
    history.update(listed(&["v1"]), now);
    assert_eq!(history.update(with_unknown, now), [SERVICE]);
    assert_eq!(history.sole(SERVICE, now), None);
}

#[test]
fn a_service_without_replicas_keeps_its_former_version() {
    let (mut history, now) = (VersionHistory::default(), Instant::now());
    history.update(listed(&["v1"]), now);
    history.update(HashMap::new(), now);
    assert_eq!(history.sole(SERVICE, now), Some(version("v1")));
    history.update(listed(&["v2"]), now);
    assert_eq!(history.versions(SERVICE, now), Versions::Several);
}

fn version_record(names: &[&str], is_complete: bool) -> VersionRecord {
    VersionRecord {
        versions: names.iter().map(|name| version(name)).collect(),
        is_complete,
        era: StoreEra::UNNAMED,
    }
}

#[test]
fn a_history_reaches_back_to_the_start_of_the_view_or_to_a_complete_record() {
    let (mut history, start) = (VersionHistory::default(), Instant::now());
    history.update(listed(&["v1"]), start);
    let span = |history: &VersionHistory, since: Option<Instant>, now: Instant| {
        history.span(SERVICE, since, now)
    };
    let now = start + 5 * SECOND;
    assert_eq!(span(&history, None, now), Duration::ZERO);
    assert_eq!(span(&history, Some(start), now), 5 * SECOND);
    for (is_complete, is_proof) in [(false, true), (true, false), (false, false)] {
        let record = version_record(&["v1"], is_complete);
        history.apply_record(SERVICE, &record, is_proof, Some(start), now);
        assert_eq!(span(&history, Some(start), now), 5 * SECOND);
    }
    let record = version_record(&["v1"], true);
    assert!(!history.apply_record(SERVICE, &record, true, Some(start), now));
    assert_eq!(span(&history, Some(start), now), VERSION_RETENTION);
    assert_eq!(span(&history, None, now), Duration::ZERO);
    // The view was interrupted after the record was read.
    let (since, now) = (now + 9 * SECOND, now + 10 * SECOND);
    assert_eq!(span(&history, Some(since), now), SECOND);
    // Nothing was in use before the first start of the whole system.
    let mut history = VersionHistory::default();
    history.set_first_start(start);
    assert!(span(&history, Some(start + SECOND), start + SECOND) >= VERSION_RETENTION);
    assert_eq!(span(&history, Some(since), now), SECOND);
}

#[test]
fn versions_of_a_record_count_as_in_use_until_it_was_read() {
    let (mut history, start) = (VersionHistory::default(), Instant::now());
    history.update(listed(&["v2"]), start);
    let record = version_record(&["v1", "v2"], true);
    assert!(history.apply_record(SERVICE, &record, true, Some(start), start));
    assert_eq!(history.versions(SERVICE, start), Versions::Several);
    let before = start + VERSION_RETENTION - SECOND;
    assert_eq!(history.versions(SERVICE, before), Versions::Several);
    let after = start + VERSION_RETENTION;
    assert_eq!(history.sole(SERVICE, after), Some(version("v2")));
    // A gateway that has watched since the version left does not take it for one in use because a record still names it.
    history.apply_record(SERVICE, &record, true, Some(start), after);
    assert_eq!(history.sole(SERVICE, after), Some(version("v2")));
    // It may have been back while the view was interrupted.
    history.apply_record(SERVICE, &record, true, Some(start + SECOND), after);
    assert_eq!(history.versions(SERVICE, after), Versions::Several);
}

#[test]
fn a_record_is_written_when_a_version_comes_or_goes_and_when_all_are_known() {
    let era = StoreEra::UNNAMED;
    let in_use =
        |names: &[&str]| -> VersionSet { names.iter().map(|name| Some(version(name))).collect() };
    let long = VERSION_RETENTION;
    let write = |stored: Option<&VersionRecord>, in_use: &VersionSet, span: Duration| {
        record_to_write(stored, in_use, span, era)
    };
    let (one, two) = (
        version_record(&["v1"], true),
        version_record(&["v1", "v2"], true),
    );
    let unsure = version_record(&["v1"], false);
    assert_eq!(write(None, &in_use(&[]), long), None);
    assert_eq!(write(None, &in_use(&["v1"]), long), Some(one.clone()));
    assert_eq!(write(None, &in_use(&["v1"]), SECOND), Some(unsure.clone()));
    assert_eq!(write(Some(&one), &in_use(&["v1"]), long), None);
    assert_eq!(
        write(Some(&one), &in_use(&["v1", "v2"]), long),
        Some(two.clone())
    );
    assert_eq!(write(Some(&two), &in_use(&["v1"]), long), Some(one.clone()));
    assert_eq!(
        write(Some(&unsure), &in_use(&["v1"]), long),
        Some(one.clone())
    );
    // A gateway that knows less leaves a complete record alone.
    assert_eq!(write(Some(&one), &in_use(&["v1"]), SECOND), None);
    // A replica that names no version may be of any.
    let mut with_unknown = in_use(&["v1"]);
    with_unknown.insert(None);
    assert_eq!(write(Some(&one), &with_unknown, long), Some(unsure));
    // A record that came back with a copy of the store is written again.
    let later = StoreEra::named(2);
    let expected = VersionRecord {
        era: later,
        ..one.clone()
    };
    assert_eq!(
        record_to_write(Some(&one), &in_use(&["v1"]), long, later),
        Some(expected)
    );
}

#[test]
fn a_stored_record_proves_a_version_only_if_it_is_complete_and_of_this_era() {
    let stored = |record: Option<VersionRecord>| StoredRecord {
        record,
        position: StorePosition::unnamed(3),
    };
    let era = StoreEra::UNNAMED;
    let complete = stored(Some(version_record(&["v1"], true)));
    assert!(complete.proves_only(version("v1"), era));
    assert!(!complete.proves_only(version("v2"), era));
    assert!(!complete.proves_only(version("v1"), StoreEra::named(2)));
    let others = [
        stored(None),
        stored(Some(version_record(&["v1"], false))),
        stored(Some(version_record(&["v1", "v2"], true))),
    ];
    assert!(
        others
            .iter()
            .all(|stored| !stored.proves_only(version("v1"), era))
    );
    let of = |stored: &StoredRecord, era| StoredVersions::of(Some(stored), era);
    assert_eq!(StoredVersions::of(None, era), StoredVersions::Absent);
    assert_eq!(of(&others[0], era), StoredVersions::Absent);
    assert_eq!(of(&others[1], era), StoredVersions::Incomplete);
    assert_eq!(of(&complete, era), StoredVersions::Complete);
    assert_eq!(of(&complete, StoreEra::named(2)), StoredVersions::Restored);
}

/// The cost of a record must not grow with the number of gateways.
#[test]
fn three_of_any_number_of_gateways_write_the_record_of_a_service_each_in_its_turn() {
    for count in [3, 7, 380, 985] {
        let daemon = |number: usize| WireDaemon {
            name: format!("gateway-{number}"),
            peers: format!("10.0.{}.{}:7340", number / 250, number % 250),
            zone: format!("zone-{}", number % 5),
            capacity: 0,
        };
        let daemons: Vec<WireDaemon> = (0..count).map(daemon).collect();
        let rank = |own: &WireDaemon| writer_rank(&Directory::new(&daemons, own), SERVICE, own);
        let mut ranks: Vec<usize> = daemons.iter().filter_map(rank).collect();
        ranks.sort_unstable();
        assert_eq!(ranks, [0, 1, 2], "{count} gateways");
    }
}

/// One step in the life of a system whose gateways keep a history and write the record.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// Replicas of this version start.
    Start(u8),
    /// Those of this version leave.
    Leave(u8),
    /// Time passes, in tenths of the retention.
    Pass(u8),
    /// The gateway is killed and starts again, reading the record.
    Restart,
}

impl Step {
    fn of(number: u16) -> Self {
        let argument = (number >> 3) as u8;
        match number % 8 {
            0 | 1 => Self::Start(argument % 3),
            2 | 3 => Self::Leave(argument % 3),
            4 | 5 => Self::Pass(argument % 12),
            _ => Self::Restart,
        }
    }
}

quickcheck! {
    /// Over any series of releases and restarts, a gateway that relies on its history names no version but those that were in
    /// use, and all of them.
    fn a_history_that_reaches_back_far_enough_names_all_versions(steps: Vec<u16>) -> bool {
        let start = Instant::now();
        let mut now = start;
        let mut listed_now: VersionSet = VersionSet::new();
        let mut last_listed: HashMap<Option<SoftwareVersion>, Instant> = HashMap::new();
        let mut stored: Option<VersionRecord> = None;
        let mut history = VersionHistory::default();
        history.set_first_start(start);
        let mut since = start;
        for step in steps.into_iter().map(Step::of) {
            match step {
                Step::Start(number) => {
                    listed_now.insert(Some(SoftwareVersion(number.into())));
                }
                Step::Leave(number) => {
                    listed_now.remove(&Some(SoftwareVersion(number.into())));
                }
                Step::Pass(tenths) => now += VERSION_RETENTION / 10 * u32::from(tenths),
                Step::Restart => {
                    history = VersionHistory::default();
                    since = now;
                    if let Some(record) = &stored {
                        history.apply_record(SERVICE, record, true, Some(since), now);
                    }
                }
            }
            for version in &listed_now {
                last_listed.insert(*version, now);
            }
            history.update(HashMap::from([(SERVICE, listed_now.clone())]), now);
            let span = history.span(SERVICE, Some(since), now);
            let in_use = history.in_use(SERVICE, now);
            if let Some(record) = record_to_write(stored.as_ref(), &in_use, span, StoreEra::UNNAMED) {
                stored = Some(record);
            }
            let was_in_use = last_listed.iter().filter(|(_, until)| now.saturating_duration_since(**until) < VERSION_RETENTION);
            let was_in_use: VersionSet = was_in_use.map(|(version, _)| *version).collect();
            if span >= MAX_STREAM_AGE && !was_in_use.is_subset(&in_use) {
                return false;
            }
        }
        true
    }
}

//! Records of streams, the versions in use, and the decision where a stream began.

use std::collections::HashMap;
use std::time::Duration;

use driftspring_clock::Instant;
use driftspring_gateway::peers::directory::Directory;
use driftspring_gateway::peers::message::{
    Message, WireDaemon, WireReplica, WireStream, WireStreamReply,
};
use driftspring_gateway::protocol::{SoftwareVersion, VersionRecord};
use driftspring_gateway::store::{StoreEra, StorePosition};
use driftspring_gateway::stream_versions::history::{
    VERSION_RETENTION, VersionHistory, VersionSet, Versions,
};
use driftspring_gateway::stream_versions::origin::{
    Asker, Knowledge, KnownVersions, MAX_STREAM_AGE, MAX_VIEW_AGE, StreamOrigin, UnknownOrigin,
    decide,
};
use driftspring_gateway::stream_versions::records::{MAX_RECORDS, StreamRecord, StreamRecords};
use driftspring_gateway::stream_versions::stored::{StoredRecord, StoredVersions, record_to_write};
use driftspring_gateway::stream_versions::{StreamKey, VersionBinding, writer_rank};
use musli::{Decode, Encode};
use quickcheck::quickcheck;

const SERVICE: u64 = 7;
const SECOND: Duration = Duration::from_secs(1);

fn version(name: &str) -> SoftwareVersion {
    SoftwareVersion::named(name)
}

fn record(name: &str, expires_at: Instant) -> StreamRecord {
    StreamRecord {
        service: SERVICE,
        version: Some(version(name)),
        expires_at,
        is_own: false,
    }
}

fn key(id: &str) -> StreamKey {
    StreamKey::new("tenant", id)
}

fn listed(names: &[&str]) -> HashMap<u64, VersionSet> {
    let versions = names.iter().map(|name| Some(version(name)));
    HashMap::from([(SERVICE, versions.collect())])
}

/// What a gateway knows that has watched the replicas for so long, and whose view is so old.
fn watched(versions: Versions, span: Duration, view_age: Duration) -> KnownVersions {
    KnownVersions {
        versions,
        span,
        view_age: Some(view_age),
    }
}

/// What a gateway knows that has run for long.
fn knows(versions: Versions) -> Knowledge {
    Knowledge {
        record: None,
        known: watched(versions, MAX_STREAM_AGE, Duration::ZERO),
    }
}

fn asker(versions: Versions, is_current: bool, asked: usize) -> Asker {
    let view_age = match is_current {
        true => MAX_VIEW_AGE,
        false => MAX_VIEW_AGE + SECOND,
    };
    Asker {
        known: watched(versions, MAX_STREAM_AGE, view_age),
        asked,
    }
}

#[test]
fn keys_of_other_tenants_differ() {
    assert_ne!(StreamKey::new("a", "1"), StreamKey::new("b", "1"));
    assert_ne!(StreamKey::new("ab", "1"), StreamKey::new("a", "b1"));
}

#[test]
fn a_record_is_kept_until_it_expires() {
    let (mut records, now) = (StreamRecords::default(), Instant::now());
    let one = record("v1", now + SECOND);
    records.insert(key("1"), one, now);
    assert_eq!(records.get(key("1"), now), Some(one));
    assert_eq!(records.get(key("2"), now), None);
    assert_eq!(records.get(key("1"), now + SECOND), None);
    records.insert(key("2"), record("v1", now + 3 * SECOND), now + 2 * SECOND);
    assert_eq!(records.len(), 1);
}

#[test]
fn an_id_used_for_streams_of_two_versions_names_none() {
    let (mut records, now) = (StreamRecords::default(), Instant::now());
    records.insert(key("1"), record("v1", now + SECOND), now);
    records.insert(key("1"), record("v2", now + SECOND), now);
    let known = records.get(key("1"), now).expect("a record");
    assert_eq!(known.version, None);
    // It stays so, whichever record comes next.
    records.insert(key("1"), record("v1", now + SECOND), now);
    let known = records.get(key("1"), now).expect("a record");
    assert_eq!(known.version, None);
}

#[test]
fn records_are_bounded() {
    let (mut records, now) = (StreamRecords::default(), Instant::now());
    for number in 0..MAX_RECORDS + 10 {
        let id = number.to_string();
        records.insert(key(&id), record("v1", now + SECOND), now);
    }
    assert_eq!(records.len(), MAX_RECORDS);
    assert_eq!(records.get(key("0"), now), None);
    let last = (MAX_RECORDS + 9).to_string();
    assert!(records.get(key(&last), now).is_some());
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

#[test]
fn a_record_decides_whatever_versions_are_in_use() {
    let now = Instant::now();
    let found = Knowledge {
        record: Some(record("v1", now + SECOND)),
        ..knows(Versions::Several)
    };
    let expected = StreamOrigin::Recorded {
        service: SERVICE,
        version: version("v1"),
    };
    let asker = asker(Versions::One(version("v2")), false, 5);
    assert_eq!(decide(&asker, &[found]), Ok(expected));
    let other = Knowledge {
        record: Some(record("v2", now + SECOND)),
        ..found
    };
    assert_eq!(
        decide(&asker, &[found, other]),
        Err(UnknownOrigin::Ambiguous)
    );
}

#[test]
fn without_a_record_only_a_single_version_is_certain() {
    let one = Versions::One(version("v1"));
    let only = Ok(StreamOrigin::OnlyVersion(version("v1")));
    let unknown = Err(UnknownOrigin::NotRecorded);
    assert_eq!(decide(&asker(one, true, 0), &[]), only);
    assert_eq!(decide(&asker(one, true, 1), &[knows(one)]), only);
    // A gateway that has just started has seen nothing yet.
    assert_eq!(decide(&asker(one, true, 1), &[knows(Versions::None)]), only);
    assert_eq!(decide(&asker(Versions::None, true, 1), &[knows(one)]), only);
    for other in [Versions::Several, Versions::One(version("v2"))] {
        assert_eq!(decide(&asker(one, true, 1), &[knows(other)]), unknown);
        assert_eq!(decide(&asker(other, true, 1), &[knows(one)]), unknown);
    }
    assert_eq!(decide(&asker(Versions::None, true, 0), &[]), unknown);
}

#[test]
fn a_gateway_with_an_old_view_relies_on_a_majority_of_replies() {
    let one = Versions::One(version("v1"));
    let only = Ok(StreamOrigin::OnlyVersion(version("v1")));
    let isolated = Err(UnknownOrigin::Isolated);
    assert_eq!(decide(&asker(one, true, 3), &[]), only);
    assert_eq!(decide(&asker(one, false, 3), &[]), isolated);
    assert_eq!(decide(&asker(one, false, 3), &[knows(one)]), isolated);
    assert_eq!(decide(&asker(one, false, 3), &[knows(one); 2]), only);
}

#[test]
fn a_bound_request_runs_at_its_version_only() {
    let (v1, v2) = (Some(version("v1")), Some(version("v2")));
    let allowed = |binding: VersionBinding| [v1, v2, None].map(|known| binding.allows(known));
    assert_eq!(allowed(VersionBinding::Free), [true, true, true]);
    assert_eq!(allowed(VersionBinding::to(v1)), [true, false, false]);
    assert_eq!(allowed(VersionBinding::to(None)), [false, false, false]);
}

quickcheck! {
    /// No mix of replies without a record leads to a version that some gateway contradicts.
    fn contradicted_versions_are_never_chosen(own: u8, replies: Vec<u8>, is_current: bool) -> bool {
        let to_versions = |number: u8| match number % 4 {
            0 => Versions::None,
            1 => Versions::Several,
            2 => Versions::One(version("v1")),
            _ => Versions::One(version("v2")),
        };
        let own = to_versions(own);
        let all: Vec<Knowledge> = replies.iter().map(|number| knows(to_versions(*number))).collect();
        match decide(&asker(own, is_current, all.len()), &all) {
            Ok(StreamOrigin::OnlyVersion(chosen)) => {
                let agrees = |versions| matches!(versions, Versions::None) || versions == Versions::One(chosen);
                agrees(own) && all.iter().all(|one| agrees(one.known.versions))
            }
            Ok(StreamOrigin::Recorded { .. }) => false,
            Err(_) => true,
        }
    }
}

#[test]
fn records_and_replies_survive_datagrams() {
    let now = Instant::now();
    let known = record("v1", now + SECOND);
    let wire = WireStream::new(key("1"), &known, now);
    assert_eq!(wire.to_record(now), (key("1"), known));
    let reply = WireStreamReply {
        nonce: 1,
        daemon: 2,
        record: Some(wire.clone()),
        sole_version: Some(version("v1").0),
        has_several_versions: false,
        span_ms: Some(60_000),
        view_age_ms: Some(400),
    };
    for message in [
        Message::StreamsBegun(vec![wire]),
        Message::StreamReply(reply.clone()),
    ] {
        let bytes = message.encode().expect("a datagram");
        assert_eq!(Message::decode(&bytes), Some(message));
    }
    let knowledge = reply.knowledge(now);
    assert_eq!(knowledge.record, Some(known));
    let versions = Versions::One(version("v1"));
    let expected = watched(versions, 60 * SECOND, Duration::from_millis(400));
    assert_eq!(knowledge.known, expected);
}

/// The reply of gateways of the build before, which names no span.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
struct EarlierReply {
    nonce: u64,
    daemon: u64,
    record: Option<WireStream>,
    sole_version: Option<u64>,
    has_several_versions: bool,
}

#[test]
fn a_reply_of_the_build_before_proves_nothing_of_earlier_versions() {
    let earlier = EarlierReply {
        nonce: 1,
        daemon: 2,
        record: None,
        sole_version: Some(version("v1").0),
        has_several_versions: false,
    };
    let bytes = musli::wire::to_vec(&earlier).expect("bytes");
    let read: WireStreamReply = musli::wire::decode(bytes.as_slice()).expect("a reply");
    let reply = read.knowledge(Instant::now());
    let one = Versions::One(version("v1"));
    let started = Asker {
        known: watched(one, SECOND, Duration::ZERO),
        asked: 1,
    };
    let too_short = Err(UnknownOrigin::HistoryTooShort { span: SECOND });
    assert_eq!(decide(&started, &[reply]), too_short);
    // It is still believed to have seen another version.
    let several = EarlierReply {
        sole_version: None,
        has_several_versions: true,
        ..earlier.clone()
    };
    let bytes = musli::wire::to_vec(&several).expect("bytes");
    let read: WireStreamReply = musli::wire::decode(bytes.as_slice()).expect("a reply");
    let reply = read.knowledge(Instant::now());
    let unknown = Err(UnknownOrigin::NotRecorded);
    assert_eq!(decide(&asker(one, true, 1), &[reply]), unknown);
    // And it reads replies of this build.
    let bytes = musli::wire::to_vec(&read).expect("bytes");
    let read: EarlierReply = musli::wire::decode(bytes.as_slice()).expect("a reply");
    assert_eq!(read, several);
}

/// Guards against streams that are mixed because gateways that have all just started take the absence of a record for proof.
#[test]
fn absence_of_a_record_proves_nothing_beyond_the_time_that_is_known() {
    let one = Versions::One(version("v1"));
    let only = Ok(StreamOrigin::OnlyVersion(version("v1")));
    let reply = |span: Duration, view_age: Duration| Knowledge {
        record: None,
        known: watched(one, span, view_age),
    };
    let started = Asker {
        known: watched(one, 3 * SECOND, Duration::ZERO),
        asked: 2,
    };
    let too_short = |span: Duration| Err(UnknownOrigin::HistoryTooShort { span });
    assert_eq!(decide(&started, &[]), too_short(3 * SECOND));
    let young = reply(5 * SECOND, Duration::ZERO);
    assert_eq!(decide(&started, &[young; 2]), too_short(5 * SECOND));
    let almost = MAX_STREAM_AGE - SECOND;
    let replies = [young, reply(almost, Duration::ZERO)];
    assert_eq!(decide(&started, &replies), too_short(almost));
    let old = reply(MAX_STREAM_AGE, Duration::ZERO);
    assert_eq!(decide(&started, &[young, old]), only);
    // A gateway that was cut off knows what was in use before, and one that has just started what is now.
    let cut_off = reply(MAX_STREAM_AGE, 4 * SECOND);
    assert_eq!(decide(&started, &[young, cut_off]), only);
    // Nobody knows what was in use in between.
    let cut_off = reply(MAX_STREAM_AGE, 60 * SECOND);
    assert_eq!(decide(&started, &[young, cut_off]), too_short(5 * SECOND));
    // While the store is away, a majority of gateways whose views are equally old is enough.
    let away = Asker {
        known: watched(one, MAX_STREAM_AGE, 60 * SECOND),
        asked: 2,
    };
    assert_eq!(decide(&away, &[cut_off; 2]), only);
    assert_eq!(decide(&away, &[cut_off]), Err(UnknownOrigin::Isolated));
    // Gateways that have just started are none of that majority.
    let no_view = Knowledge {
        record: None,
        known: KnownVersions {
            versions: Versions::None,
            span: Duration::ZERO,
            view_age: None,
        },
    };
    assert_eq!(decide(&away, &[no_view; 2]), Err(UnknownOrigin::Isolated));
    let no_view = Knowledge {
        record: None,
        known: KnownVersions {
            view_age: None,
            ..old.known
        },
    };
    assert_eq!(decide(&started, &[no_view; 2]), too_short(3 * SECOND));
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

#[test]
fn a_full_datagram_of_records_keeps_to_the_size_limit() {
    let now = Instant::now();
    let largest = WireStream {
        key: u128::MAX,
        service: u64::MAX,
        version: Some(u64::MAX),
        lifetime_ms: 3_600_000,
    };
    assert!(largest.to_record(now).1.expires_at > now);
    let message = Message::StreamsBegun(vec![largest; 22]);
    let bytes = message.encode().expect("a datagram").len();
    assert!(bytes <= 1200, "{bytes} bytes");
}

/// A replica as gateways of the build before describe it.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
struct EarlierReplica {
    id: String,
    #[musli(default)]
    born: Option<u64>,
    service: String,
    address: String,
    zone: String,
    slots: u32,
    is_draining: bool,
    models: Vec<(String, u64)>,
}

#[test]
fn the_build_before_reads_replicas_and_is_read() {
    let earlier = EarlierReplica {
        id: "i-1".to_owned(),
        born: Some(4),
        service: "s".to_owned(),
        address: "10.0.0.1:80".to_owned(),
        zone: "z".to_owned(),
        slots: 8,
        is_draining: false,
        models: vec![("m".to_owned(), 1)],
    };
    let bytes = musli::wire::to_vec(&earlier).expect("bytes");
    let mut read: WireReplica = musli::wire::decode(bytes.as_slice()).expect("a replica");
    assert_eq!(read.software, None);
    read.software = Some("v1".to_owned());
    let bytes = musli::wire::to_vec(&read).expect("bytes");
    let read: EarlierReplica = musli::wire::decode(bytes.as_slice()).expect("a replica");
    assert_eq!(read, earlier);
}

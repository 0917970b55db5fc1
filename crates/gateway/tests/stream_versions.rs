//! Records of streams, and the decision where a stream began.

use std::time::Duration;

use driftspring_clock::Instant;
use driftspring_gateway::peers::message::{Message, WireReplica, WireStream, WireStreamReply};
use driftspring_gateway::protocol::SoftwareVersion;
use driftspring_gateway::stream_versions::history::Versions;
use driftspring_gateway::stream_versions::origin::{
    Asker, Knowledge, KnownVersions, MAX_STREAM_AGE, MAX_VIEW_AGE, StreamOrigin, UnknownOrigin,
    decide,
};
use driftspring_gateway::stream_versions::records::{MAX_RECORDS, StreamRecord, StreamRecords};
use driftspring_gateway::stream_versions::{StreamKey, VersionBinding};
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

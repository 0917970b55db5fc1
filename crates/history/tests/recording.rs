//! Recordings read back as they were recorded.

use driftspring_history::{
    Answer, ConfigOperation, ConfigResult, Ending, Event, History, Invocation, ObservedObject,
    Recorder, StoreEra, StorePosition, StoreReturn, TimedEvent, Token, expected_token,
    expected_tokens, merge_histories, prefix_blocks, prompt_hash, read_history,
};
use driftspring_types::{EngineId, Incarnation, RequestId, Revision};
use quickcheck::quickcheck;

fn sample_events(request_id: RequestId) -> Vec<Event> {
    let prompt = b"clause 4";
    vec![
        Event::Invoked(Invocation {
            client: "client-1".to_owned(),
            request_id,
            daemon: Some("daemon-1".into()),
            tenant: "moreton".into(),
            model: "spec-reader".into(),
            idempotency_key: None,
            repeatable: true,
            prompt_hash: prompt_hash(prompt),
            prefix_blocks: prefix_blocks(prompt),
            expected_tokens: Some(expected_tokens(prompt, 2)),
        }),
        Event::TokenReceived(Token {
            request_id,
            sequence: Some(0),
            named_request_id: Some(request_id),
            text: expected_token(prompt, 0),
        }),
        Event::Answered(Answer {
            request_id,
            status: Some(200),
            ending: Ending::NotRun { reason: None },
            text: None,
            named_request_id: None,
        }),
        Event::EngineLeaving {
            engine: EngineId::from("engine-1"),
        },
    ]
}

fn temporary_file(name: &str) -> std::path::PathBuf {
    let unique = RequestId::generate();
    std::env::temp_dir().join(format!("driftspring-{name}-{unique}.jsonl"))
}

#[test]
fn a_file_recording_reads_back_in_order_and_passes_over_a_torn_last_line() {
    let path = temporary_file("recording");
    let recorder = Recorder::to_file(&path).expect("recorder");
    let events = sample_events(RequestId::generate());
    for event in &events {
        recorder.record(event.clone());
    }
    recorder.history();
    let mut text = std::fs::read_to_string(&path).expect("history file");
    text.push_str("{\"at_us\": 1, \"event\": {\"ki");
    std::fs::write(&path, text).expect("torn line");
    let history = read_history(&path).expect("history");
    std::fs::remove_file(&path).expect("remove");
    let read: Vec<_> = history.iter().map(|(_, _, event)| event.clone()).collect();
    assert_eq!(read, events);
}

#[test]
fn a_malformed_line_is_an_error_that_names_the_line() {
    let path = temporary_file("malformed");
    std::fs::write(&path, "\n{\"at_us\": 1}\n").expect("file");
    let error = read_history(&path).expect_err("no event");
    std::fs::remove_file(&path).expect("remove");
    assert!(format!("{error:#}").contains("line 2"), "{error:#}");
}

#[test]
fn threads_share_a_recording_in_memory() {
    let recorder = Recorder::in_memory().expect("recorder");
    let threads: Vec<_> = (0..4)
        .map(|_| {
            let recorder = recorder.clone();
            std::thread::spawn(move || {
                for event in sample_events(RequestId::generate()) {
                    recorder.record(event);
                }
            })
        })
        .collect();
    for thread in threads {
        thread.join().expect("thread");
    }
    assert_eq!(recorder.history().events.len(), 16);
}

#[test]
fn a_disabled_recorder_keeps_nothing() {
    let recorder = Recorder::disabled();
    recorder.record(sample_events(RequestId::generate()).remove(0));
    assert!(!recorder.is_enabled());
    assert_eq!(recorder.history(), History::default());
}

#[test]
fn positions_are_read_from_recordings_without_eras() {
    let unnamed = |revision| StorePosition::unnamed(Revision(revision));
    let write = r#"{"operation": "write", "expected": 3, "value": "text"}"#;
    let ConfigOperation::Write { expected, .. } = serde_json::from_str(write).expect("a write")
    else {
        panic!("no write");
    };
    assert_eq!(expected, Some(unnamed(3)));
    let accepted = r#"{"result": "accepted", "revision": 4}"#;
    let accepted: ConfigResult = serde_json::from_str(accepted).expect("a result");
    assert_eq!(
        accepted,
        ConfigResult::Accepted {
            position: unnamed(4)
        }
    );
    let observed = r#"{"at_us": 1, "event": {"kind": "config_observed", "daemon": "daemon-1", "incarnation": 1,
        "key": "routes/depot", "revision": 5}}"#;
    let observed: TimedEvent = serde_json::from_str(observed).expect("an event");
    let Event::ConfigObserved(observed) = observed.event else {
        panic!("no observation");
    };
    assert_eq!((observed.position, observed.version), (unnamed(5), None));
}

quickcheck! {
    fn positions_read_back_as_they_were_recorded(era: u64, revision: u64, version: Option<u64>) -> bool {
        let position = StorePosition::new(StoreEra(era), Revision(revision));
        let events = [
            Event::StoreReturned(StoreReturn { era: StoreEra(era), copy: position }),
            Event::ConfigObserved(ObservedObject {
                daemon: "daemon-1".into(),
                incarnation: Incarnation(1),
                key: "routes/depot".to_owned(),
                position,
                version,
            }),
        ];
        events.into_iter().all(|event| {
            let event = TimedEvent { at_us: 1, event };
            let text = serde_json::to_string(&event).expect("written");
            serde_json::from_str::<TimedEvent>(&text).is_ok_and(|read| read == event)
        })
    }

    fn merged_histories_are_in_the_order_of_time(times: Vec<u32>, others: Vec<u32>) -> bool {
        let histories = [times.clone(), others.clone()].map(|times| {
            let recorder = Recorder::in_memory().expect("recorder");
            for at_us in times {
                let event = Event::EngineLeaving { engine: EngineId::from("engine-1") };
                recorder.record_at(u64::from(at_us), event);
            }
            recorder.history()
        });
        let merged = merge_histories(histories);
        merged.events.len() == times.len() + others.len()
            && merged.events.is_sorted_by_key(|timed| timed.at_us)
    }

    fn blocks_are_equal_exactly_as_far_as_the_texts_are(changed: usize) -> bool {
        let text = vec![7_u8; 2048];
        let mut other = text.clone();
        let changed = changed % text.len();
        other[changed] = 8;
        let (left, right) = (prefix_blocks(&text), prefix_blocks(&other));
        let equal = left.iter().zip(&right).take_while(|(left, right)| left == right).count();
        equal == changed / 256
    }
}

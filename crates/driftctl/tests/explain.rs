//! `driftctl explain`: the story of a request from log lines.

use driftctl::explain::explain;

fn line(time: &str, name: &str, message: &str) -> String {
    line_of("machine-1", time, name, message)
}

fn line_of(machine: &str, time: &str, name: &str, message: &str) -> String {
    let json = serde_json::json!({"time": time, "level": "INFO", "module": "m", "event": 1,
        "name": name, "message": message});
    format!("  12.3 {machine} {json}\n")
}

fn log() -> String {
    [
        line(
            "10:00:01",
            "STORE_LOST",
            "task=configuration_reader error=\"x\"",
        ),
        line(
            "10:00:02",
            "REQUEST_SENT",
            "request=r1 route=a replica=i-1 address=x",
        ),
        line(
            "10:00:02",
            "REQUEST_SENT",
            "request=r10 route=a replica=i-2 address=x",
        ),
        line(
            "10:00:03",
            "REPLICA_SUSPECT",
            "replica=i-1 pause=250ms cause=\"reset\"",
        ),
        line(
            "10:00:03",
            "REPLICA_SUSPECT",
            "replica=i-9 pause=250ms cause=\"reset\"",
        ),
        line(
            "10:00:03",
            "ATTEMPT_ENDED",
            "request=r1 replica=i-1 taken_for=lost elapsed=1s detail=\"reset\"",
        ),
        "not a log line\n".to_owned(),
        line(
            "10:00:04",
            "CALLER_REFUSED",
            "request=r1 route=a status=502 step=Dispatch reason=Unknown peer=None",
        ),
    ]
    .concat()
}

#[test]
fn a_request_is_told_from_its_sending_to_its_end_with_what_befell_its_replica() {
    let told = explain("r1", log().as_bytes()).expect("readable");
    assert!(told.is_complete);
    let text = told.lines.join("\n");
    assert!(text.contains("ATTEMPT_ENDED"), "{text}");
    assert!(text.contains("replica=i-1 pause"), "{text}");
    assert!(!text.contains("i-9") && !text.contains("r10"), "{text}");
    assert!(
        told.lines
            .last()
            .expect("a conclusion")
            .contains("may have run"),
        "{text}"
    );
}

#[test]
fn missing_lines_are_said() {
    let told = explain("r10", log().as_bytes()).expect("readable");
    assert!(!told.is_complete);
    assert!(told.lines.last().expect("a conclusion").contains("missing"));
    let unknown = explain("r2", log().as_bytes()).expect("readable");
    assert!(!unknown.is_complete);
    assert!(unknown.lines[0].contains("no line names request r2"));
}

fn conclusion(lines: &[String]) -> String {
    let told = explain("r1", lines.concat().as_bytes()).expect("readable");
    told.lines.last().expect("a conclusion").clone()
}

#[test]
fn a_killed_gateway_is_told_from_its_next_start() {
    let sent = line("10:00:02", "REQUEST_SENT", "request=r1 replica=i-1");
    let other = line_of("machine-2", "10:00:03", "GATEWAY_STARTED", "name=machine-2");
    let start = line("10:00:04", "GATEWAY_STARTED", "name=machine-1");
    let stop = line("10:00:03", "GATEWAY_STOPPING", "open=1");
    let killed = conclusion(&[sent.clone(), other.clone(), start.clone()]);
    assert!(
        killed.contains("killed") && killed.contains("10:00:04"),
        "{killed}"
    );
    let stopped = conclusion(&[sent.clone(), stop, start]);
    assert!(stopped.contains("told to stop"), "{stopped}");
    let unknown = conclusion(&[sent, other]);
    assert!(unknown.contains("missing"), "{unknown}");
}

#[test]
fn a_replicas_own_failure_is_told_from_a_whole_success() {
    let ended = |status: u16| {
        let message = format!("request=r1 replica=i-1 status={status} elapsed=1ms");
        conclusion(&[line("10:00:02", "REQUEST_ENDED", &message)])
    };
    assert!(ended(500).contains("itself answered 500"));
    assert!(ended(200).contains("whole answer"));
}

#[test]
fn what_other_machines_saw_of_the_replica_is_left_out() {
    let sent = line("10:00:02", "REQUEST_SENT", "request=r1 replica=i-1");
    let suspect = line_of(
        "machine-2",
        "10:00:03",
        "REPLICA_SUSPECT",
        "replica=i-1 seen=there",
    );
    let end = line("10:00:04", "CALLER_LEFT", "request=r1 elapsed=2s");
    let told = explain("r1", [sent, suspect, end].concat().as_bytes()).expect("readable");
    assert!(!told.lines.join("\n").contains("seen=there"));
}

#[test]
fn a_request_in_quarantine_is_told_with_what_brought_it_there() {
    let log = [
        line(
            "10:00:01",
            "REQUEST_QUARANTINED",
            "fingerprint=aa count=3 told_by=Peer",
        ),
        line(
            "10:00:01",
            "REQUEST_QUARANTINED",
            "fingerprint=bb count=3 told_by=Own",
        ),
        line(
            "10:00:05",
            "CALLER_REFUSED",
            "request=r1 route=a status=503 step=Dispatch reason=Quarantined detail=\"quarantined fingerprint=aa\"",
        ),
    ];
    let told = explain("r1", log.concat().as_bytes()).expect("readable");
    assert!(told.is_complete);
    let text = told.lines.join("\n");
    assert!(text.contains("fingerprint=aa count=3"), "{text}");
    assert!(!text.contains("fingerprint=bb"), "{text}");
    assert!(
        text.contains("replicas that ran the same request have ended"),
        "{text}"
    );
}

#[test]
fn a_request_that_was_held_is_told_with_its_ends_its_good_ends_and_why() {
    let log = [
        line(
            "10:00:00",
            "REQUEST_CLEARED",
            "fingerprint=aa count=1 good_ends=4 was_quarantined=false told_by=Own",
        ),
        line(
            "10:00:01",
            "REQUEST_STRUCK",
            "fingerprint=aa replica_digest=0a count=3 told_by=Peer",
        ),
        line(
            "10:00:01",
            "REQUEST_QUARANTINED",
            "fingerprint=aa count=3 good_ends=4 rivals=1 told_by=Peer",
        ),
        line(
            "10:00:02",
            "REQUEST_STRUCK",
            "fingerprint=bb replica_digest=0a count=3 told_by=Peer",
        ),
        line(
            "10:00:04",
            "REQUEST_TRIED",
            "fingerprint=aa why=others_have_the_same_ends rivals=1",
        ),
        line(
            "10:00:05",
            "CALLER_REFUSED",
            "request=r1 route=a status=503 step=Dispatch reason=Quarantined detail=\"quarantined fingerprint=aa\"",
        ),
    ];
    let told = explain("r1", log.concat().as_bytes()).expect("readable");
    let text = told.lines.join("\n");
    for part in [
        "REQUEST_CLEARED fingerprint=aa count=1 good_ends=4",
        "REQUEST_STRUCK fingerprint=aa replica_digest=0a count=3",
        "good_ends=4 rivals=1",
        "REQUEST_TRIED fingerprint=aa why=others_have_the_same_ends",
    ] {
        assert!(text.contains(part), "{part:?} is missing: {text}");
    }
    assert!(!text.contains("fingerprint=bb"), "{text}");
}

#[test]
fn a_request_that_every_replica_put_off_is_told_with_what_the_first_of_them_said() {
    let log = [
        line(
            "10:00:01",
            "REPLICA_PASSED_OVER",
            "replica=i-1 said=limit:1/s said_ago=2s ends_in=300ms",
        ),
        line(
            "10:00:01",
            "REPLICA_PASSED_OVER",
            "replica=i-2 said=rest said_ago=1s ends_in=2s",
        ),
        line(
            "10:00:02",
            "CALLER_REFUSED",
            "request=r1 route=a status=503 step=Choose reason=Paused peer=None detail=\"all asked for a pause, the first back is replica=i-1 said=limit:1/s ends_in=300ms\"",
        ),
    ]
    .concat();
    let told = explain("r1", log.as_bytes()).expect("readable");
    assert!(told.is_complete);
    let around = told.lines.iter().filter(|line| line.contains("said_ago"));
    let around: Vec<&String> = around.collect();
    assert_eq!(around.len(), 1, "{:?}", told.lines);
    assert!(around[0].contains("replica=i-1 said=limit:1/s"));
}

/// The lines of a stream with this longest pause.
fn stream_lines(longest_pause: &str, pause_target: &str) -> String {
    let sent = "request=r1 replica=i-1 home=false reading=85ms interference_ms=12.5 streams=7 prefill_share=0.83 \
                home_replica=i-2 home_interference_ms=90.0";
    let ended = format!(
        "request=r1 replica=i-1 status=200 elapsed=2s longest_pause={longest_pause} pause_target={pause_target}"
    );
    let lines = [
        line("10:00:02", "REQUEST_SENT", sent),
        line("10:00:03", "REQUEST_ENDED", &ended),
    ];
    let told = explain("r1", lines.concat().as_bytes()).expect("readable");
    told.lines.join("\n")
}

#[test]
fn a_stream_with_a_pause_over_its_target_is_told_with_what_ran_beside_it() {
    let late = stream_lines("412.25ms", "Some(300ms)");
    assert!(
        late.contains("its longest pause, 412.25ms, exceeds the target of 300ms"),
        "{late}"
    );
    assert!(
        late.contains(
            "when it was sent to i-1: other prompts to prefill for 85ms, running streams: 7"
        ),
        "{late}"
    );
    assert!(late.contains("home of its prompt: i-2"), "{late}");
    assert!(stream_lines("1.2s", "Some(300ms)").contains("exceeds"));
    for (pause, target) in [
        ("299ms", "Some(300ms)"),
        ("9s", "None"),
        ("0ns", "Some(1µs)"),
        ("x", "y"),
    ] {
        let told = stream_lines(pause, target);
        assert!(!told.contains("exceeds"), "{told}");
    }
}

#[test]
fn a_request_above_its_tenants_share_is_told_with_that_share() {
    let log = line(
        "10:00:02",
        "CALLER_REFUSED",
        "request=r1 route=a status=503 step=Share reason=OverShare peer=None detail=\"service llm, tenant \\\\\\\"a\\\\\\\": share 120/s, asked 600/s, admitted 0.200 of it\"",
    );
    let told = explain("r1", log.as_bytes()).expect("readable");
    let conclusion = told.lines.last().expect("a conclusion");
    for part in ["above its share", "share 120/s, asked 600/s"] {
        assert!(conclusion.contains(part), "{conclusion}");
    }
}

#[test]
fn a_request_that_was_sent_to_a_second_replica_is_told_with_the_one_that_answered() {
    let log = [
        line(
            "10:00:01",
            "REPLICA_SLOW",
            "replica=i-1 slowdown=8.00 limit=1",
        ),
        line("10:00:02", "REQUEST_SENT", "request=r1 route=a replica=i-1"),
        line(
            "10:00:03",
            "REQUEST_HEDGED",
            "request=r1 replica=i-2 first=i-1",
        ),
        line("10:00:03", "REQUEST_SENT", "request=r1 route=a replica=i-2"),
        line(
            "10:00:04",
            "HEDGE_ENDED",
            "request=r1 replica=i-2 hedge_won=true other=i-1 closed=true",
        ),
        line(
            "10:00:04",
            "REQUEST_ENDED",
            "request=r1 replica=i-2 status=200",
        ),
    ];
    let told = explain("r1", log.concat().as_bytes()).expect("readable");
    assert!(told.lines.iter().any(|line| line.contains("REPLICA_SLOW")));
    let conclusion = conclusion(&log);
    assert!(
        conclusion.contains("i-1 took longer")
            && conclusion.contains("sent to i-2 too, which answered first"),
        "{conclusion}"
    );
}

#[test]
fn the_configuration_that_allowed_a_request_is_told_and_the_one_before_its_wait() {
    let sent = "request=r1 route=a tenant=\"tenant-1\" configuration=107 replica=i-1";
    let waited = "request=r1 before=100 after=107 waited_for=[KeyProof(4.7s)] outcome=allowed";
    let lines = [
        line("10:00:01", "CONFIGURATION_CHANGED_MEANWHILE", waited),
        line("10:00:02", "REQUEST_SENT", sent),
    ];
    let told = explain("r1", lines.concat().as_bytes()).expect("readable");
    let expected = "allowed by configuration 107: route a, tenant tenant-1; \
                    configuration 100 was in force when it began to wait";
    assert!(told.lines.iter().any(|line| line == expected), "{told:?}");
}

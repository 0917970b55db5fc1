//! Streams are forwarded in complete events, however their bytes are split.

use driftspring_gateway::pipeline::EventSplitter;
use quickcheck::quickcheck;

fn stream(events: u8) -> Vec<u8> {
    let event = |number| format!("id: {number}\ndata: piece {number}\n\n");
    (1..=u32::from(events))
        .map(event)
        .collect::<String>()
        .into_bytes()
}

quickcheck! {
    fn any_split_of_the_bytes_gives_the_same_complete_events(events: u8, splits: Vec<usize>) -> bool {
        let whole = stream(events);
        let mut positions: Vec<usize> = splits.iter().map(|split| split % (whole.len() + 1)).collect();
        positions.push(whole.len());
        positions.sort_unstable();
        let mut splitter = EventSplitter::default();
        let mut forwarded = Vec::new();
        let mut from = 0;
        for position in positions {
            let events = splitter.push(&whole[from..position]).expect("short events");
            if !events.is_empty() && !events.ends_with(b"\n\n") {
                return false;
            }
            forwarded.extend_from_slice(&events);
            from = position;
        }
        forwarded == whole && !splitter.is_inside_event()
    }
}

#[test]
fn the_last_id_is_that_of_the_last_complete_event() {
    let mut splitter = EventSplitter::after(Some("3".to_owned()));
    assert_eq!(splitter.last_id(), Some("3"));
    let events = splitter
        .push(b"id: 4\ndata: a\n\nid: 5\ndata: b")
        .expect("short");
    assert_eq!(&events[..], b"id: 4\ndata: a\n\n");
    assert_eq!(splitter.last_id(), Some("4"));
    assert!(splitter.is_inside_event());
}

#[test]
fn a_partial_event_is_discarded_before_another_replica_resumes() {
    let mut splitter = EventSplitter::default();
    splitter
        .push(b"id: 1\ndata: a\n\nid: 2\ndata: half")
        .expect("short");
    splitter.discard_partial_event();
    let events = splitter.push(b"id: 2\ndata: whole\n\n").expect("short");
    assert_eq!(&events[..], b"id: 2\ndata: whole\n\n");
}

#[test]
fn lines_may_end_with_carriage_returns() {
    let mut splitter = EventSplitter::default();
    let events = splitter.push(b"id: 1\r\ndata: a\r\n\r\nid").expect("short");
    assert_eq!(&events[..], b"id: 1\r\ndata: a\r\n\r\n");
    assert_eq!(splitter.last_id(), Some("1"));
}

//! The incremental parser of server-sent events.

use driftspring_external::engine::SseParser;
use quickcheck::{Arbitrary, Gen, quickcheck};

/// One event's text without its blank line: no newline in it.
#[derive(Debug, Clone)]
struct EventText(String);

impl Arbitrary for EventText {
    fn arbitrary(gen_: &mut Gen) -> Self {
        let text = String::arbitrary(gen_).replace(['\n', '\r'], " ");
        Self(format!("data: {text}"))
    }
}

/// Feeds `stream` in pieces of `piece_bytes` and returns the events.
fn parse_in_pieces(stream: &[u8], piece_bytes: usize) -> Vec<Vec<u8>> {
    let mut parser = SseParser::default();
    let mut events = Vec::new();
    for piece in stream.chunks(piece_bytes) {
        parser.push(piece);
        while let Some(event) = parser.next_event().expect("events are short") {
            events.push(event.to_vec());
        }
    }
    assert!(!parser.has_partial_event());
    events
}

quickcheck! {
    fn events_do_not_depend_on_the_pieces(texts: Vec<EventText>, piece: u8, windows: bool) -> bool {
        let blank_line = if windows { "\r\n\r\n" } else { "\n\n" };
        let expected: Vec<Vec<u8>> = texts
            .iter()
            .map(|text| format!("{}{blank_line}", text.0).into_bytes())
            .collect();
        let stream = expected.concat();
        parse_in_pieces(&stream, usize::from(piece) + 1) == expected
    }
}

#[test]
fn an_endless_event_is_refused() {
    let mut parser = SseParser::default();
    let piece = vec![b'x'; 700_000];
    parser.push(&piece);
    assert_eq!(parser.next_event(), Ok(None));
    parser.push(&piece);
    assert!(parser.next_event().is_err());
}

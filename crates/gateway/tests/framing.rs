//! Messages whose elements have no end are read on, or sound ones are taken for such.

use std::time::Duration;

use driftspring_gateway::upstream::{Element, Framing, Messages, Meter};

/// How many bytes of an element are enough for it to have no end.
const MANY: usize = 256 * 1024;

/// Follows the bytes in pieces of this size.
fn follow(framing: &mut Framing, bytes: &[u8], size: usize) -> Result<(), Element> {
    bytes
        .chunks(size)
        .try_for_each(|piece| framing.follow(piece))
}

fn answer(bytes: &[u8], size: usize) -> Framing {
    let mut framing = Framing::new(Messages::Answers);
    follow(&mut framing, bytes, size).expect("a sound answer");
    framing
}

const WHOLE: [&str; 9] = [
    "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ndata",
    "HTTP/1.1 200 OK\nContent-Length:4\n\ndata",
    "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n",
    "HTTP/1.1 204 No Content\r\n\r\n",
    "HTTP/1.1 304 Not Modified\r\ncontent-length: 12\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n4\r\ndata\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4;a=\"b;c\"\r\nda\r\n\r\n00\r\nx: y\r\nz: \r\n\r\n",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ndata",
    "\r\nHTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\ncontent-length: 9\r\n\r\n000A \r\n0123456789\r\n0\r\n\r\n",
];

#[test]
fn whole_answers_end_where_their_bytes_do() {
    for text in WHOLE {
        for size in 1..=text.len() {
            let last = text.len() - 1;
            let before = answer(&text.as_bytes()[..last], size);
            assert!(!before.is_done(), "{text:?} in pieces of {size} ends early");
            assert!(
                answer(text.as_bytes(), size).is_done(),
                "{text:?} by {size}"
            );
        }
    }
}

#[test]
fn the_answer_to_a_head_request_has_no_body() {
    let mut framing = Framing::new(Messages::Answers);
    framing.begin(true);
    let head = b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\n";
    framing.follow(head).expect("sound");
    assert!(framing.is_done());
}

#[test]
fn a_body_that_ends_with_its_connection_is_of_any_length() {
    let mut framing = answer(b"HTTP/1.1 200 OK\r\n\r\n", 7);
    follow(&mut framing, &vec![b'.'; 64 * MANY], MANY).expect("sound");
    assert_eq!(
        (framing.is_done(), framing.element()),
        (false, Element::Body)
    );
}

#[test]
fn requests_follow_each_other() {
    let text = "POST /a HTTP/1.1\r\ncontent-length: 4\r\n\r\ndataGET /b HTTP/1.1\r\nx: y\r\n\r\n";
    for size in 1..=text.len() {
        let mut framing = Framing::new(Messages::Requests);
        for _ in 0..10_000 {
            follow(&mut framing, text.as_bytes(), size).expect("sound");
            assert!(framing.is_done());
        }
    }
}

#[test]
fn each_element_without_end_is_named() {
    let ok = "HTTP/1.1 200 OK\r\n";
    let chunked = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    let cases = [
        ("HTTP/1.1 200 ".to_owned(), "x", Element::StartLine),
        (String::new(), "\r\n", Element::StartLine),
        (
            String::new(),
            "HTTP/1.1 102 Processing\r\n\r\n",
            Element::InterimAnswers,
        ),
        (ok.to_owned(), "x: y\r\n", Element::Headers),
        (format!("{ok}x: "), "y", Element::Headers),
        (chunked.to_owned(), "0", Element::ChunkSize),
        (format!("{chunked}4;"), "x", Element::ChunkExtension),
        (format!("{chunked}0\r\n"), "x: y\r\n", Element::Trailer),
        (chunked.to_owned(), "1\r\n.\r\n", Element::Chunks),
        (chunked.to_owned(), "2\r\n..\r\n", Element::Chunks),
        (chunked.to_owned(), "1;x\r\n.\r\n", Element::Chunks),
    ];
    for (beginning, unit, element) in cases {
        for size in [1, 13, 16 * 1024] {
            let bytes = unit.repeat(MANY / unit.len());
            let mut framing = answer(beginning.as_bytes(), size);
            let followed = follow(&mut framing, bytes.as_bytes(), size);
            assert_eq!(followed, Err(element), "{beginning:?} {unit:?} by {size}");
        }
    }
}

#[test]
fn small_chunks_with_padded_sizes_have_no_limit() {
    let mut framing = answer(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", 7);
    let chunk = b"00000009\r\ndata: x\n\n\r\n";
    follow(&mut framing, &chunk.repeat(MANY), 4096).expect("sound");
    assert!(!framing.is_done());
}

#[test]
fn tiny_chunks_have_no_limit_as_long_as_events_end() {
    let mut framing = answer(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", 7);
    let piece = b"1\r\n.\r\n".repeat(2500);
    for _ in 0..100 {
        framing.follow(&piece).expect("sound");
        framing.note_progress();
    }
    // Extensions are a part of the framing of an event, however short each of them is.
    let padded = [b"1;".as_slice(), &[b'x'; 4000], b"\r\n.\r\n"].concat();
    for _ in 0..100 {
        follow(&mut framing, &padded, 4096).expect("sound");
        framing.note_progress();
    }
    assert_eq!(
        follow(&mut framing, &padded.repeat(100), 4096),
        Err(Element::Chunks)
    );
}

#[test]
fn chunks_that_hold_more_data_than_framing_have_no_limit() {
    let mut framing = answer(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", 7);
    let chunk = b"5\r\ndata.\r\n";
    follow(&mut framing, &chunk.repeat(MANY), 4096).expect("sound");
    assert!(!framing.is_done());
}

fn meter() -> Meter {
    let peer = "127.0.0.1:1".parse().expect("an address");
    let meter = Meter::new(peer, Messages::Answers);
    meter.begin_answer(false);
    meter
}

#[test]
fn silence_inside_an_element_does_not_count() {
    let meter = meter();
    // Written piece by piece, with a silence of more than a second in the middle of a line.
    for piece in ["HTTP", "/1.1", " 200", " OK\r", "\nx", ": ", "y"] {
        meter.note(piece.as_bytes()).expect("sound");
    }
    std::thread::sleep(Duration::from_millis(1200));
    for piece in [
        "y",
        "y",
        "\r\n",
        "content-length",
        ": ",
        "1000000",
        "\r\n",
        "\r\n",
    ] {
        meter.note(piece.as_bytes()).expect("sound");
    }
    meter.note(b"data").expect("sound");
    std::thread::sleep(Duration::from_millis(600));
    meter.note(b"data").expect("sound");
    assert_eq!(meter.end_if_endless(Element::Body), None);
    assert_eq!(meter.endless(), None);
}

#[test]
fn interim_answers_from_time_to_time_are_no_element_without_end() {
    let meter = meter();
    for _ in 0..40 {
        meter
            .note(b"HTTP/1.1 102 Processing\r\n\r\n")
            .expect("sound");
        std::thread::sleep(Duration::from_millis(25));
    }
}

#[test]
fn single_bytes_that_keep_coming_end_the_answer() {
    let meter = meter();
    let mut bytes = b"HTTP/1.1 102 Processing\r\n\r\n".iter().cycle();
    let ended = (0..200).find_map(|_| {
        std::thread::sleep(Duration::from_millis(10));
        let byte = bytes.next().copied().into_iter().collect::<Vec<u8>>();
        meter.note(&byte).err()
    });
    let ended = ended.expect("it is ended before 2 s");
    assert_eq!(ended.element, Element::InterimAnswers);
    assert_eq!(meter.endless(), Some(ended));
}

#[test]
fn a_long_body_that_still_comes_at_its_deadline_is_endless_unless_its_length_is_known() {
    let block = vec![b'.'; 64 * 1024];
    for (headers, is_endless) in [("", true), ("content-length: 9000000\r\n", false)] {
        let meter = meter();
        let head = format!("HTTP/1.1 200 OK\r\n{headers}\r\n");
        meter.note(head.as_bytes()).expect("sound");
        for _ in 0..32 {
            meter.note(&block).expect("sound");
        }
        // At full speed it may yet end within the limit of its reader.
        assert!(!meter.is_doubtful(), "{headers:?}");
        let ended = meter.end_if_endless(Element::Body);
        assert_eq!(ended.is_some(), is_endless, "{headers:?}");
    }
}

#[test]
fn a_long_body_that_keeps_coming_is_avoided_unless_its_length_is_known() {
    let block = vec![b'.'; 64 * 1024];
    for (headers, is_avoided) in [("", true), ("content-length: 9000000\r\n", false)] {
        let meter = meter();
        let head = format!("HTTP/1.1 200 OK\r\n{headers}\r\n");
        meter.note(head.as_bytes()).expect("sound");
        for _ in 0..32 {
            std::thread::sleep(Duration::from_millis(10));
            meter.note(&block).expect("sound");
        }
        assert_eq!(meter.is_doubtful(), is_avoided, "{headers:?}");
        let ended = meter.end_if_endless(Element::Body);
        assert_eq!(ended.is_some(), is_avoided, "{headers:?}");
    }
}

#[test]
fn a_body_of_single_bytes_counts_as_endless_only_when_it_is_given_up() {
    let meter = meter();
    let head = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    meter.note(head).expect("sound");
    for _ in 0..60 {
        meter.note(b"1\r\n.\r\n").expect("sound");
        std::thread::sleep(Duration::from_millis(10));
    }
    // An event that is whole begins the measurement anew.
    meter.note_progress();
    assert_eq!(meter.end_if_endless(Element::Event), None);
    for _ in 0..60 {
        meter.note(b"1\r\n.\r\n").expect("sound");
        std::thread::sleep(Duration::from_millis(10));
    }
    let ended = meter.end_if_endless(Element::Event).expect("it has no end");
    assert_eq!(ended.element, Element::Event);
}

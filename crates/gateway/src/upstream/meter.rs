//! What has arrived of the message that is read on a connection.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use driftspring_clock::Instant;

use super::endless::EndlessError;
use super::framing::{Element, Framing, Messages};

/// How long a few bytes at a time may keep coming before the element of the framing that they belong to ends.
const MAX_ELEMENT_TIME: Duration = Duration::from_millis(500);

/// How long a few bytes at a time have to keep coming for other requests to avoid the server, and for a message that is not
/// whole by its deadline to count as one without end.
const MIN_ANSWER_TIME: Duration = Duration::from_millis(250);

/// The length, in bytes, from which a message is long: one that did not announce its length is then doubtful without
/// trickling.
const LONG_BYTES: u64 = 1024 * 1024;

/// How much of the time between two reads counts as time in which bytes came: a server may fall silent and go on.
const MAX_COUNTED_GAP: Duration = Duration::from_millis(100);

/// The mean size of reads up to which a few bytes come at a time, in bytes.
const FEW_BYTES: u64 = 64;

/// The reads of a part of a message.
#[derive(Debug, Default)]
struct Arrivals {
    last: Option<Instant>,
    reads: u64,
    bytes: u64,
    /// The time in which bytes kept coming.
    active_time: Duration,
}

impl Arrivals {
    fn note(&mut self, bytes: u64, now: Instant) {
        if let Some(last) = self.last {
            let gap = now.saturating_duration_since(last);
            self.active_time += gap.min(MAX_COUNTED_GAP);
        }
        self.last = Some(now);
        self.reads += 1;
        self.bytes += bytes;
    }

    /// Whether bytes came a few at a time for so long.
    fn is_trickle(&self, time: Duration) -> bool {
        self.active_time >= time && self.bytes < self.reads * FEW_BYTES
    }
}

/// The reads that ended inside a line of an element.
#[derive(Debug, Default)]
struct ElementArrivals {
    /// Number of elements that had ended before it.
    ended_before: u64,
    arrivals: Arrivals,
}

#[derive(Debug)]
struct Reading {
    framing: Framing,
    begun_at: Instant,
    element: ElementArrivals,
    /// Reads since the message, or the event of a stream, began.
    answer: Arrivals,
    endless: Option<EndlessError>,
}

impl Reading {
    fn is_long(&self) -> bool {
        self.answer.bytes >= LONG_BYTES && !self.framing.is_sized()
    }

    fn is_doubtful(&self) -> bool {
        let is_long_and_slow = self.is_long() && self.answer.active_time >= MIN_ANSWER_TIME;
        is_long_and_slow || self.answer.is_trickle(MIN_ANSWER_TIME)
    }

    fn endless(&mut self, element: Element, bytes: u64) -> EndlessError {
        let elapsed = self.begun_at.elapsed();
        let error = EndlessError {
            element,
            bytes,
            elapsed,
        };
        *self.endless.insert(error)
    }
}

/// What has arrived of a message.
#[derive(Debug)]
pub struct Meter {
    peer: SocketAddr,
    reading: RefCell<Reading>,
}

impl Meter {
    /// Meters the messages of this peer.
    pub fn new(peer: SocketAddr, messages: Messages) -> Self {
        let reading = Reading {
            framing: Framing::new(messages),
            begun_at: Instant::now(),
            element: ElementArrivals::default(),
            answer: Arrivals::default(),
            endless: None,
        };
        Self {
            peer,
            reading: RefCell::new(reading),
        }
    }

    /// A request is sent, whose answer is read next.
    pub fn begin_answer(&self, is_answer_to_head: bool) {
        let mut reading = self.reading.borrow_mut();
        reading.framing.begin(is_answer_to_head);
        reading.begun_at = Instant::now();
        reading.answer = Arrivals::default();
    }

    /// A part of the message that is whole by itself has been read, as an event of a stream.
    pub fn note_progress(&self) {
        let mut reading = self.reading.borrow_mut();
        reading.answer = Arrivals::default();
        reading.framing.note_progress();
    }

    /// The element without end for which the connection was ended.
    pub fn endless(&self) -> Option<EndlessError> {
        self.reading.borrow().endless
    }

    /// Notes bytes that were read.
    ///
    /// # Errors
    ///
    /// An element of the message has no end.
    pub fn note(&self, bytes: &[u8]) -> Result<(), EndlessError> {
        let now = Instant::now();
        let mut reading = self.reading.borrow_mut();
        let read = bytes.len() as u64;
        reading.answer.note(read, now);
        if let Err(element) = reading.framing.follow(bytes) {
            let length = reading.framing.element_bytes();
            return Err(self.end(&mut reading, element, length));
        }
        let ended = reading.framing.ended_elements();
        if reading.element.ended_before != ended {
            reading.element = ElementArrivals {
                ended_before: ended,
                arrivals: Arrivals::default(),
            };
        }
        if reading.framing.is_inside_line() {
            reading.element.arrivals.note(read, now);
            if reading.element.arrivals.is_trickle(MAX_ELEMENT_TIME) {
                let element = reading.framing.element();
                let length = reading.framing.element_bytes();
                return Err(self.end(&mut reading, element, length));
            }
        }
        Ok(())
    }

    /// Whether bytes have come for a while, a few at a time, or very many without an announced length, and neither the
    /// message nor an event of it has ended. A sound server may do so, so this is no reason to end the message. Silence does
    /// not count, nor does a long body at full speed: it ends soon, or at the limit of its reader.
    pub fn is_doubtful(&self) -> bool {
        let reading = self.reading.borrow();
        !reading.framing.is_done() && reading.is_doubtful()
    }

    /// Ends a message that is given up at its deadline, if bytes of it keep coming, a few at a time or very many. Silence does
    /// not count.
    pub fn end_if_endless(&self, body: Element) -> Option<EndlessError> {
        let mut reading = self.reading.borrow_mut();
        if reading.endless.is_some() || reading.framing.is_done() {
            return None;
        }
        let last = reading.answer.last;
        let is_coming = last.is_some_and(|last| last.elapsed() <= MAX_COUNTED_GAP);
        if !is_coming || !(reading.is_long() || reading.is_doubtful()) {
            return None;
        }
        let element = match reading.framing.element() {
            Element::ChunkSize | Element::Body => body,
            element => element,
        };
        let bytes = reading.answer.bytes;
        Some(self.end(&mut reading, element, bytes))
    }

    /// Records that this element of the message has no end, as a reader of its body has found.
    pub fn end_body(&self, element: Element, bytes: u64) -> EndlessError {
        self.end(&mut self.reading.borrow_mut(), element, bytes)
    }

    fn end(&self, reading: &mut Reading, element: Element, bytes: u64) -> EndlessError {
        let error = reading.endless(element, bytes);
        error.report(self.peer);
        error
    }
}

//! Follows the framing of HTTP/1.1 messages as their bytes arrive, and limits each element of it.
//!
//! It does not check messages, which is up to the HTTP library: it only knows where an element ends, so that one without
//! end is noticed. Limits of the contents of bodies are up to those who read them.

use std::fmt;

use crate::caller_limits;

/// Limit of the head of an answer, including all interim answers before it, in bytes.
const MAX_HEAD_BYTES: u64 = 64 * 1024;

/// Limit of the head of a request, in bytes: what callers may send, and the headers of the hop.
const MAX_REQUEST_HEAD_BYTES: u64 = caller_limits::MAX_HEAD_BYTES as u64 + 16 * 1024;

/// Limit of the digits of a chunk's size, in bytes. Some servers pad them with zeros.
const MAX_CHUNK_SIZE_BYTES: u64 = 64;

/// Limit of the extensions of one chunk, in bytes.
const MAX_CHUNK_EXTENSION_BYTES: u64 = 4 * 1024;

/// Limit of the trailer of a message, in bytes.
const MAX_TRAILER_BYTES: u64 = 8 * 1024;

/// Limit of the framing of chunks beyond [`FRAMING_RATIO`] times their data, in bytes: for the whole body, or for what comes
/// until the end of an event. More is read at once than one event, so this is above the size of a read.
const MAX_SURPLUS_FRAMING_BYTES: u64 = 32 * 1024;

/// How many bytes of framing a byte of data may have. The sizes of small chunks may be padded with zeros.
const FRAMING_RATIO: u64 = 2;

/// How much of a line of a head is kept, in bytes: enough for the values that tell how the body is framed.
const KEPT_LINE_BYTES: usize = 256;

/// An element of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Element {
    /// The status line, or the line of a request.
    StartLine,
    /// Interim answers before the answer.
    InterimAnswers,
    /// The header lines.
    Headers,
    /// The digits of a chunk's size.
    ChunkSize,
    /// The extensions of a chunk.
    ChunkExtension,
    /// The chunks: they have far more framing than data.
    Chunks,
    /// The trailer.
    Trailer,
    /// The body.
    Body,
    /// An event of a stream.
    Event,
}

impl Element {
    /// Its name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::StartLine => "start_line",
            Self::InterimAnswers => "interim_answers",
            Self::Headers => "headers",
            Self::ChunkSize => "chunk_size",
            Self::ChunkExtension => "chunk_extension",
            Self::Chunks => "chunks",
            Self::Trailer => "trailer",
            Self::Body => "body",
            Self::Event => "event",
        }
    }
}

impl fmt::Display for Element {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}

/// Which messages arrive on a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Messages {
    /// Answers; each begins when its request is sent.
    Answers,
    /// Requests, one after the other.
    Requests,
}

impl Messages {
    /// Limit of a head, in bytes.
    fn max_head_bytes(self) -> u64 {
        match self {
            Self::Answers => MAX_HEAD_BYTES,
            Self::Requests => MAX_REQUEST_HEAD_BYTES,
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// In the head.
    Head,
    ChunkSize,
    ChunkExtension,
    /// In the data of a chunk, of which so many bytes are due.
    ChunkData(u64),
    /// In the line end after the data of a chunk.
    ChunkEnd,
    Trailer,
    /// In a body of which so many bytes are due.
    Sized(u64),
    /// In a body that ends with the connection.
    UntilClose,
    /// Behind the end of the message.
    Done,
    /// In bytes that are no valid framing. The HTTP library rejects them.
    Invalid,
}

/// The position in a message.
#[derive(Debug)]
pub struct Framing {
    messages: Messages,
    state: State,
    /// The beginning of the current line of the head.
    line: Vec<u8>,
    /// Length of that line so far, in bytes.
    line_bytes: u64,
    is_start_line: bool,
    status: u16,
    has_interim_answer: bool,
    is_answer_to_head: bool,
    is_chunked: bool,
    has_transfer_encoding: bool,
    content_length: Option<u64>,
    chunk_size: u64,
    /// Bytes of the current element.
    element_bytes: u64,
    /// Bytes of the framing and of the data of the chunks since the body, or an event in it, began.
    framing_bytes: u64,
    data_bytes: u64,
    ended_elements: u64,
}

impl Framing {
    /// At the beginning of a message.
    pub fn new(messages: Messages) -> Self {
        Self {
            messages,
            state: State::Head,
            line: Vec::new(),
            line_bytes: 0,
            is_start_line: true,
            status: 0,
            has_interim_answer: false,
            is_answer_to_head: false,
            is_chunked: false,
            has_transfer_encoding: false,
            content_length: None,
            chunk_size: 0,
            element_bytes: 0,
            framing_bytes: 0,
            data_bytes: 0,
            ended_elements: 0,
        }
    }

    /// The next message begins; one that answers a `HEAD` request has no body.
    pub fn begin(&mut self, is_answer_to_head: bool) {
        *self = Self {
            is_answer_to_head,
            line: std::mem::take(&mut self.line),
            ended_elements: self.ended_elements + 1,
            ..Self::new(self.messages)
        };
        self.line.clear();
    }

    /// A part of the body that is whole by itself has been read, as an event of a stream: its framing counts no more.
    pub fn note_progress(&mut self) {
        self.framing_bytes = 0;
        self.data_bytes = 0;
    }

    /// Number of elements that have ended; interim answers and the head after them are one.
    pub fn ended_elements(&self) -> u64 {
        self.ended_elements
    }

    /// Bytes of the current element.
    pub fn element_bytes(&self) -> u64 {
        self.element_bytes
    }

    /// Whether the last byte was neither the last one of a line of framing nor a part of a body.
    pub fn is_inside_line(&self) -> bool {
        match self.state {
            State::Head | State::Trailer => self.line_bytes > 0,
            State::ChunkSize => self.element_bytes > 0,
            State::ChunkExtension => true,
            _ => false,
        }
    }

    /// Whether the message has ended, or its framing is invalid.
    pub fn is_done(&self) -> bool {
        matches!(self.state, State::Done | State::Invalid)
    }

    /// Whether the present position is in a body whose length is known.
    pub fn is_sized(&self) -> bool {
        matches!(self.state, State::Sized(_))
    }

    /// The element at the present position.
    pub fn element(&self) -> Element {
        match self.state {
            State::Head if self.has_interim_answer => Element::InterimAnswers,
            State::Head if self.is_start_line => Element::StartLine,
            State::Head => Element::Headers,
            State::ChunkSize => Element::ChunkSize,
            State::ChunkExtension => Element::ChunkExtension,
            State::Trailer => Element::Trailer,
            _ => Element::Body,
        }
    }

    /// Goes on by these bytes.
    ///
    /// # Errors
    ///
    /// An element is longer than its limit.
    pub fn follow(&mut self, mut bytes: &[u8]) -> Result<(), Element> {
        while let Some((first, rest)) = bytes.split_first() {
            match self.state {
                State::ChunkData(due) => {
                    let taken = take(&mut bytes, due);
                    self.data_bytes += taken;
                    self.state = match due - taken {
                        0 => State::ChunkEnd,
                        due => State::ChunkData(due),
                    };
                }
                State::Sized(due) => {
                    let taken = take(&mut bytes, due);
                    self.state = match due - taken {
                        0 => State::Done,
                        due => State::Sized(due),
                    };
                }
                State::Done if self.messages == Messages::Requests => self.begin(false),
                State::Done | State::UntilClose | State::Invalid => return Ok(()),
                _ => {
                    self.follow_byte(*first)?;
                    bytes = rest;
                }
            }
        }
        Ok(())
    }

    /// Goes on by one byte of framing.
    fn follow_byte(&mut self, byte: u8) -> Result<(), Element> {
        self.element_bytes += 1;
        if self.state == State::Head {
            if self.element_bytes > self.messages.max_head_bytes() {
                return Err(self.element());
            }
            self.follow_head(byte);
            return Ok(());
        }
        if self.state == State::Trailer {
            return self.follow_trailer(byte);
        }
        self.framing_bytes += 1;
        if self.framing_bytes > FRAMING_RATIO * self.data_bytes + MAX_SURPLUS_FRAMING_BYTES {
            return Err(Element::Chunks);
        }
        match self.state {
            State::ChunkSize => self.follow_chunk_size(byte)?,
            State::ChunkExtension => {
                if self.element_bytes > MAX_CHUNK_EXTENSION_BYTES {
                    return Err(Element::ChunkExtension);
                }
                if byte == b'\n' {
                    self.end_chunk_line();
                }
            }
            State::ChunkEnd if byte == b'\n' => self.enter(State::ChunkSize),
            _ => {}
        }
        Ok(())
    }

    fn follow_chunk_size(&mut self, byte: u8) -> Result<(), Element> {
        let digit = char::from(byte).to_digit(16);
        match (byte, digit) {
            (_, Some(_)) if self.element_bytes > MAX_CHUNK_SIZE_BYTES => {
                return Err(Element::ChunkSize);
            }
            (_, Some(digit)) => {
                let size = self.chunk_size.checked_mul(16);
                match size.and_then(|size| size.checked_add(u64::from(digit))) {
                    Some(size) => self.chunk_size = size,
                    None => self.enter(State::Invalid),
                }
            }
            (b'\r', _) => {}
            (b'\n', _) => self.end_chunk_line(),
            (b';' | b' ' | b'\t', _) => self.enter(State::ChunkExtension),
            _ => self.enter(State::Invalid),
        }
        Ok(())
    }

    fn end_chunk_line(&mut self) {
        match std::mem::take(&mut self.chunk_size) {
            0 => self.enter(State::Trailer),
            size => self.enter(State::ChunkData(size)),
        }
    }

    fn follow_trailer(&mut self, byte: u8) -> Result<(), Element> {
        if self.element_bytes > MAX_TRAILER_BYTES {
            return Err(Element::Trailer);
        }
        match byte {
            b'\n' if self.line_bytes == 0 => self.enter(State::Done),
            b'\n' => self.line_bytes = 0,
            b'\r' => {}
            _ => self.line_bytes += 1,
        }
        Ok(())
    }

    fn follow_head(&mut self, byte: u8) {
        match byte {
            b'\n' => self.end_head_line(),
            b'\r' => {}
            _ => {
                self.line_bytes += 1;
                if self.line.len() < KEPT_LINE_BYTES {
                    self.line.push(byte);
                }
            }
        }
    }

    fn end_head_line(&mut self) {
        let is_empty = self.line_bytes == 0;
        match (is_empty, self.is_start_line) {
            // Empty lines before the first one are allowed.
            (true, true) => {}
            (true, false) => self.end_head(),
            (false, true) => {
                self.is_start_line = false;
                let status = self.line.split(|byte| *byte == b' ').nth(1);
                let status = status.and_then(|text| std::str::from_utf8(text).ok());
                self.status = status.and_then(|text| text.parse().ok()).unwrap_or(0);
            }
            (false, false) => self.read_header(),
        }
        self.line.clear();
        self.line_bytes = 0;
    }

    fn read_header(&mut self) {
        let text = String::from_utf8_lossy(&self.line).to_ascii_lowercase();
        let Some((name, value)) = text.split_once(':') else {
            return;
        };
        match name {
            "transfer-encoding" => {
                self.has_transfer_encoding = true;
                self.is_chunked = value.trim().ends_with("chunked");
            }
            "content-length" => self.content_length = value.trim().parse().ok(),
            _ => {}
        }
    }

    fn end_head(&mut self) {
        let is_answer = self.messages == Messages::Answers;
        if is_answer && (100..200).contains(&self.status) && self.status != 101 {
            // What it has sent so far counts with the head that follows.
            self.is_start_line = true;
            self.has_interim_answer = true;
            self.is_chunked = false;
            self.has_transfer_encoding = false;
            self.content_length = None;
            return;
        }
        let has_no_body = is_answer && (self.is_answer_to_head || matches!(self.status, 204 | 304));
        let state = match self.content_length {
            _ if has_no_body => State::Done,
            _ if self.is_chunked => State::ChunkSize,
            _ if self.has_transfer_encoding => State::UntilClose,
            Some(0) => State::Done,
            Some(length) => State::Sized(length),
            None if is_answer => State::UntilClose,
            None => State::Done,
        };
        self.enter(state);
    }

    fn enter(&mut self, state: State) {
        self.state = state;
        self.line_bytes = 0;
        self.element_bytes = 0;
        self.ended_elements += 1;
    }
}

/// Takes up to `due` bytes; returns how many.
fn take(bytes: &mut &[u8], due: u64) -> u64 {
    let due = usize::try_from(due).unwrap_or(usize::MAX);
    let taken = due.min(bytes.len());
    *bytes = &bytes[taken..];
    taken as u64
}

//! A caller that takes a reset for the loss of its answer, as most client libraries do, also where the operating
//! system still holds the answer.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// How long a read or a write may take.
const TIMEOUT: Duration = Duration::from_secs(15);

/// A connection of such a caller. The errors of its methods say what it saw.
pub struct StrictCaller {
    stream: TcpStream,
    bytes: Vec<u8>,
}

/// A whole answer.
pub struct StrictAnswer {
    pub status: u16,
    /// Whether the connection is to end with it.
    pub closes: bool,
}

impl StrictCaller {
    pub fn open(to: SocketAddr) -> Self {
        let stream = TcpStream::connect(to).expect("the daemon accepts");
        for set in [TcpStream::set_read_timeout, TcpStream::set_write_timeout] {
            set(&stream, Some(TIMEOUT)).expect("a socket option");
        }
        stream.set_nodelay(true).expect("a socket option");
        Self {
            stream,
            bytes: Vec::new(),
        }
    }

    /// Sends all of it.
    pub fn send(&mut self, bytes: &[u8]) -> Result<(), String> {
        let sent = self.stream.write_all(bytes);
        sent.map_err(|error| format!("while sending: {error}"))?;
        self.check("after sending")
    }

    /// Waits until a part of the answer has come, without reading it.
    pub fn wait_for_answer(&self) -> Result<(), String> {
        let peeked = self.stream.peek(&mut [0]);
        match peeked.map_err(|error| format!("waiting for the answer: {error}"))? {
            0 => Err("waiting for the answer: closed".to_owned()),
            _ => Ok(()),
        }
    }

    /// Reads a whole answer with an announced length.
    pub fn read_answer(&mut self) -> Result<StrictAnswer, String> {
        loop {
            self.check("before the whole answer was read")?;
            if let Some((answer, length)) = parse(&self.bytes) {
                self.bytes.drain(..length);
                return Ok(answer);
            }
            let read = self.read()?;
            if read == 0 {
                return Err(format!("closed after {} bytes", self.bytes.len()));
            }
        }
    }

    /// Reads to the end of the connection: nothing more may come, and no reset.
    pub fn read_end(&mut self) -> Result<(), String> {
        let read = self.read()?;
        match read + self.bytes.len() {
            0 => self.check("at the end"),
            more => Err(format!("{more} bytes after the answer")),
        }
    }

    fn read(&mut self) -> Result<usize, String> {
        let mut piece = [0; 16 * 1024];
        let read = self.stream.read(&mut piece);
        let read = read.map_err(|error| format!("after {} bytes: {error}", self.bytes.len()))?;
        self.bytes.extend_from_slice(&piece[..read]);
        Ok(read)
    }

    /// Whether a reset has come, read or not.
    fn check(&self, when: &str) -> Result<(), String> {
        match self.stream.take_error() {
            Ok(None) => Ok(()),
            Ok(Some(error)) | Err(error) => Err(format!("{when}: {error}")),
        }
    }
}

/// The answer at the start of `bytes` and its length, once it is whole.
fn parse(bytes: &[u8]) -> Option<(StrictAnswer, usize)> {
    let text = String::from_utf8_lossy(bytes);
    let (head, _) = text.split_once("\r\n\r\n")?;
    let head = head.to_lowercase();
    let header = |name: &str| {
        head.lines()
            .find_map(|line| line.strip_prefix(name)?.strip_prefix(": "))
    };
    let body: usize = header("content-length").map_or(0, |text| text.parse().expect("a length"));
    let length = head.len() + 4 + body;
    let answer = StrictAnswer {
        status: head.split(' ').nth(1)?.parse().expect("a status"),
        closes: header("connection") == Some("close"),
    };
    (bytes.len() >= length).then_some((answer, length))
}

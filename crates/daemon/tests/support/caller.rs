//! A caller with plain sockets: it can also misbehave.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use serde_json::{Value, json};

use super::daemon::{KEY, MODEL};

/// The longest that any answer may take.
const DEADLINE: Duration = Duration::from_secs(20);

/// Sends requests to one address.
#[derive(Debug, Clone, Copy)]
pub struct Caller {
    address: SocketAddr,
}

/// A whole answer.
#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

/// The events of a stream.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct StreamedAnswer {
    /// The texts of the tokens, in the order of their arrival.
    pub tokens: Vec<String>,
    /// The sequence numbers that the tokens named.
    pub sequences: Vec<u64>,
    /// Whether a finish reason came.
    pub has_finish: bool,
    /// Whether the terminal marker came last.
    pub is_terminated: bool,
    /// The number of tokens that the last event counts.
    pub counted_tokens: Option<u64>,
    /// The error event.
    pub error: Option<Value>,
}

impl Caller {
    pub fn new(address: SocketAddr) -> Self {
        Self { address }
    }

    /// Opens a connection.
    pub fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.address).expect("the daemon accepts");
        stream
            .set_read_timeout(Some(DEADLINE))
            .expect("a socket option");
        stream
    }

    /// Sends `bytes` as they are, and reads until the connection closes.
    pub fn send_raw(&self, bytes: &[u8]) -> Answer {
        let mut stream = self.connect();
        stream.write_all(bytes).expect("the daemon reads");
        OpenAnswer::read_head(stream).finish()
    }

    /// Sends a body to `path` with the tenant's key and further headers.
    pub fn post(&self, path: &str, headers: &[(&str, &str)], body: &[u8]) -> Answer {
        self.send_raw(&post_bytes(path, headers, body))
    }

    /// Asks for a streamed completion, and reads only the head of the answer.
    pub fn begin_stream(
        &self,
        headers: &[(&str, &str)],
        prompt: &str,
        max_tokens: u32,
    ) -> OpenAnswer {
        OpenAnswer::read_head(self.send_stream_request(headers, prompt, max_tokens))
    }

    /// Asks for a streamed completion, and reads nothing of the answer.
    pub fn send_stream_request(
        &self,
        headers: &[(&str, &str)],
        prompt: &str,
        max_tokens: u32,
    ) -> TcpStream {
        let body = completion(prompt, max_tokens, true).to_string();
        let bytes = post_bytes("/v1/completions", headers, body.as_bytes());
        let mut stream = self.connect();
        stream.write_all(&bytes).expect("the daemon reads");
        stream
    }

    /// Asks for a completion of `max_tokens` tokens in one document.
    pub fn complete(&self, headers: &[(&str, &str)], prompt: &str, max_tokens: u32) -> Answer {
        let body = completion(prompt, max_tokens, false).to_string();
        self.post("/v1/completions", headers, body.as_bytes())
    }

    /// Asks for a streamed completion of `max_tokens` tokens.
    pub fn stream(&self, headers: &[(&str, &str)], prompt: &str, max_tokens: u32) -> Answer {
        let body = completion(prompt, max_tokens, true).to_string();
        self.post("/v1/completions", headers, body.as_bytes())
    }
}

impl Answer {
    /// The header `name`, in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    /// The body as JSON.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }

    /// The body as a stream of events.
    pub fn events(&self) -> StreamedAnswer {
        let text = String::from_utf8_lossy(&self.body);
        let mut streamed = StreamedAnswer::default();
        for data in text
            .split("\n\n")
            .filter_map(|event| event.strip_prefix("data: "))
        {
            streamed.add(data);
        }
        streamed
    }
}

impl StreamedAnswer {
    fn add(&mut self, data: &str) {
        self.is_terminated = data == "[DONE]";
        let Ok(event) = serde_json::from_str::<Value>(data) else {
            return;
        };
        if !event["error"].is_null() {
            self.error = Some(event["error"].clone());
            return;
        }
        let choice = &event["choices"][0];
        if choice["finish_reason"].is_string() {
            self.has_finish = true;
            self.counted_tokens = event["usage"]["completion_tokens"].as_u64();
            return;
        }
        let text = choice["text"]
            .as_str()
            .or(choice["delta"]["content"].as_str());
        self.tokens.push(text.unwrap_or_default().to_owned());
        self.sequences.extend(event["sequence"].as_u64());
    }
}

/// The body of a completion.
pub fn completion(prompt: &str, max_tokens: u32, stream: bool) -> Value {
    json!({"model": MODEL, "prompt": prompt, "max_tokens": max_tokens, "stream": stream})
}

fn post_bytes(path: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut head = format!("POST {path} HTTP/1.1\r\nhost: daemon\r\nconnection: close\r\n");
    if !headers.iter().any(|(name, _)| *name == "authorization") {
        head.push_str(&format!("authorization: Bearer {KEY}\r\n"));
    }
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("content-length: {}\r\n\r\n", body.len()));
    [head.as_bytes(), body].concat()
}

/// An answer that is still coming.
pub struct OpenAnswer {
    reader: BufReader<TcpStream>,
    answer: Answer,
    is_chunked: bool,
}

impl OpenAnswer {
    /// Reads the status and the headers.
    pub fn read_head(stream: TcpStream) -> Self {
        let mut reader = BufReader::new(stream);
        let status_line = read_line(&mut reader);
        let status = status_line
            .split(' ')
            .nth(1)
            .and_then(|text| text.parse().ok());
        let mut headers = Vec::new();
        while let Some((name, value)) = read_line(&mut reader).split_once(": ") {
            headers.push((name.to_lowercase(), value.to_owned()));
        }
        let answer = Answer {
            status: status.unwrap_or(0),
            headers,
            body: Vec::new(),
        };
        let is_chunked = answer.header("transfer-encoding") == Some("chunked");
        Self {
            reader,
            answer,
            is_chunked,
        }
    }

    /// Reads on until `count` tokens have come.
    pub fn read_tokens(&mut self, count: usize) {
        while self.answer.events().tokens.len() < count {
            assert!(
                self.read_chunk(),
                "the stream ended early: {:?}",
                self.answer.events()
            );
        }
    }

    /// Reads to the end.
    pub fn finish(mut self) -> Answer {
        if self.is_chunked {
            while self.read_chunk() {}
        } else {
            let read = self.reader.read_to_end(&mut self.answer.body);
            read.expect("the body comes in time");
        }
        self.answer
    }

    /// Reads one chunk; false at the end, also where the connection broke.
    fn read_chunk(&mut self) -> bool {
        let size = usize::from_str_radix(&read_line(&mut self.reader), 16).unwrap_or(0);
        let mut chunk = vec![0; size + 2];
        if size == 0 || self.reader.read_exact(&mut chunk).is_err() {
            return false;
        }
        self.answer.body.extend_from_slice(&chunk[..size]);
        true
    }
}

fn read_line(reader: &mut impl BufRead) -> String {
    let mut line = String::new();
    reader.read_line(&mut line).expect("a line comes in time");
    line.trim_end().to_owned()
}

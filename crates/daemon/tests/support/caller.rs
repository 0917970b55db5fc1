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
        read_answer(stream)
    }

    /// Sends a body to `path` with the tenant's key and further headers.
    pub fn post(&self, path: &str, headers: &[(&str, &str)], body: &[u8]) -> Answer {
        self.send_raw(&post_bytes(path, headers, body))
    }

    /// Begins a completion and returns the connection.
    pub fn begin(&self, headers: &[(&str, &str)], body: &Value) -> TcpStream {
        let bytes = post_bytes("/v1/completions", headers, body.to_string().as_bytes());
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

/// Reads one answer until the connection closes.
pub fn read_answer(stream: TcpStream) -> Answer {
    let mut reader = BufReader::new(stream);
    let status_line = read_line(&mut reader);
    let status = status_line
        .split(' ')
        .nth(1)
        .and_then(|text| text.parse().ok());
    let mut headers = Vec::new();
    loop {
        let line = read_line(&mut reader);
        let Some((name, value)) = line.split_once(": ") else {
            break;
        };
        headers.push((name.to_lowercase(), value.to_owned()));
    }
    let mut answer = Answer {
        status: status.unwrap_or(0),
        headers,
        body: Vec::new(),
    };
    answer.body = if answer.header("transfer-encoding") == Some("chunked") {
        read_chunks(&mut reader)
    } else {
        let mut body = Vec::new();
        reader
            .read_to_end(&mut body)
            .expect("the body comes in time");
        body
    };
    answer
}

fn read_line(reader: &mut impl BufRead) -> String {
    let mut line = String::new();
    reader.read_line(&mut line).expect("a line comes in time");
    line.trim_end().to_owned()
}

/// Reads a chunked body; what is missing at the end is left out.
fn read_chunks(reader: &mut impl BufRead) -> Vec<u8> {
    let mut body = Vec::new();
    loop {
        let size = usize::from_str_radix(&read_line(reader), 16).unwrap_or(0);
        let mut chunk = vec![0; size + 2];
        if size == 0 || reader.read_exact(&mut chunk).is_err() {
            return body;
        }
        body.extend_from_slice(&chunk[..size]);
    }
}

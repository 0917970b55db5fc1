//! HTTP helpers of the stand-ins' tests.

#![allow(dead_code, reason = "each test file uses some of the helpers")]

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use driftspring_standin::engine::{self, EngineStandinOptions, RunningEngine};
use ntex::client::{Client, ClientRequest, ClientResponse, Connector};
use ntex::http::StatusCode;
use ntex::time::Millis;
use serde_json::{Value, json};

/// Where stand-ins listen in tests.
pub const FREE_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// The deadline of every wait.
pub const DEADLINE: Duration = Duration::from_secs(10);

/// A client whose calls end at the deadline.
pub async fn client() -> Client {
    let timeout = Millis(DEADLINE.as_millis() as u32);
    Client::builder()
        .connector::<&str>(Connector::default())
        .response_timeout(timeout)
        .response_payload_timeout(timeout)
        .build(ntex::SharedCfg::default())
        .await
        .expect("client")
}

/// The URL of `path` at `address`.
pub fn url(address: SocketAddr, path: &str) -> String {
    format!("http://{address}{path}")
}

/// An engine with few resources and fast steps.
pub fn small_engine() -> EngineStandinOptions {
    let mut options = EngineStandinOptions::loopback("engine-1", "zone-1", "model");
    options.load_time = Duration::from_millis(20);
    options.hang_up_grace = Duration::from_millis(100);
    options
}

/// Starts an engine.
pub fn start(options: EngineStandinOptions) -> RunningEngine {
    engine::start(options).expect("engine starts")
}

/// The body of a streamed completion.
pub fn streamed(prompt: &str, max_tokens: u32) -> Value {
    json!({"prompt": prompt, "max_tokens": max_tokens, "stream": true})
}

/// Sends a JSON body.
pub async fn send(request: ClientRequest, body: &Value) -> ClientResponse {
    request.send_json(body).await.expect("a response")
}

/// Posts a JSON body and returns status and JSON answer.
pub async fn post(client: &Client, url: String, body: &Value) -> (StatusCode, Value) {
    let response = send(client.post(url), body).await;
    let status = response.status();
    let body = response.body().await.expect("a body");
    (status, serde_json::from_slice(&body).unwrap_or(Value::Null))
}

/// Gets status and JSON answer.
pub async fn get(client: &Client, url: String) -> (StatusCode, Value) {
    let response = client.get(url).send().await.expect("a response");
    let status = response.status();
    let body = response.body().await.expect("a body");
    (status, serde_json::from_slice(&body).unwrap_or(Value::Null))
}

/// The events of a stream.
#[derive(Debug, Default)]
pub struct Events {
    /// The chunks, in order.
    pub chunks: Vec<Value>,
    /// Whether the end marker came.
    pub done: bool,
}

impl Events {
    /// The text of all chunks.
    pub fn text(&self) -> String {
        let texts = self.chunks.iter().map(chunk_text);
        texts.collect()
    }

    /// The sequence numbers of all chunks.
    pub fn sequences(&self) -> Vec<u64> {
        let sequences = self.chunks.iter().map(|chunk| &chunk["sequence"]);
        sequences.filter_map(Value::as_u64).collect()
    }
}

fn chunk_text(chunk: &Value) -> &str {
    let choice = &chunk["choices"][0];
    let text = choice["text"].as_str();
    text.or(choice["delta"]["content"].as_str()).unwrap_or("")
}

/// Reads a stream to its end, or to where it breaks off.
pub async fn read_events(response: &ClientResponse) -> Events {
    let mut text = String::new();
    let mut payload = response.take_payload();
    while let Some(Ok(part)) = ntex::util::stream_recv(&mut payload).await {
        text.push_str(std::str::from_utf8(&part).expect("UTF-8"));
    }
    let mut events = Events::default();
    for data in text.lines().filter_map(|line| line.strip_prefix("data: ")) {
        match serde_json::from_str(data) {
            Ok(chunk) => events.chunks.push(chunk),
            Err(_) => events.done = data == "[DONE]",
        }
    }
    events
}

/// The lines of a held-open answer.
pub struct Lines {
    payload: ntex::http::Payload,
    buffer: String,
}

impl Lines {
    /// The lines of `response`.
    pub fn of(response: &ClientResponse) -> Self {
        Self {
            payload: response.take_payload(),
            buffer: String::new(),
        }
    }

    /// The next line; nothing at the end or where the connection breaks.
    pub async fn next(&mut self) -> Option<Value> {
        loop {
            if let Some(end) = self.buffer.find('\n') {
                let line: String = self.buffer.drain(..=end).collect();
                return Some(serde_json::from_str(&line).expect("a JSON line"));
            }
            let part = ntex::util::stream_recv(&mut self.payload);
            let part = tokio::time::timeout(DEADLINE, part).await.expect("a line");
            let part = part?.ok()?;
            self.buffer
                .push_str(std::str::from_utf8(&part).expect("UTF-8"));
        }
    }
}

/// One connection, on which a test decides what is sent when.
pub struct RawConnection(BufReader<TcpStream>);

impl RawConnection {
    /// Connects to `address`.
    pub fn open(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).expect("a connection");
        stream
            .set_read_timeout(Some(DEADLINE))
            .expect("a read timeout");
        Self(BufReader::new(stream))
    }

    /// Sends bytes as they are.
    pub fn send(&mut self, text: &str) {
        let sent = self.0.get_mut().write_all(text.as_bytes());
        sent.expect("the connection is open");
    }

    /// Gets `path` and returns the answer's status line.
    pub fn get(&mut self, path: &str) -> String {
        self.send(&format!("GET {path} HTTP/1.1\r\nhost: standin\r\n\r\n"));
        self.read_status()
    }

    /// Posts a body and returns the answer's status line.
    pub fn post(&mut self, path: &str, body: &str) -> String {
        let head = format!(
            "POST {path} HTTP/1.1\r\nhost: standin\r\n\
             content-type: application/json\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        self.send(&(head + body));
        self.read_status()
    }

    /// Sends an empty JSON object well after its head and returns the answer's status line.
    pub fn call_with_late_body(&mut self, method: &str, path: &str) -> String {
        self.send(&format!(
            "{method} {path} HTTP/1.1\r\nhost: standin\r\ncontent-length: 2\r\n\r\n"
        ));
        std::thread::sleep(Duration::from_millis(50));
        self.send("{}");
        self.read_status()
    }

    /// Reads an answer to its end and returns its status line.
    pub fn read_status(&mut self) -> String {
        let status = self.read_line();
        let mut length = 0;
        loop {
            let header = self.read_line().to_lowercase();
            if header.is_empty() {
                break;
            }
            if let Some(value) = header.strip_prefix("content-length:") {
                length = value.trim().parse().expect("a length");
            }
        }
        let mut body = vec![0; length];
        self.0.read_exact(&mut body).expect("a whole body");
        status
    }

    fn read_line(&mut self) -> String {
        let mut line = String::new();
        self.0.read_line(&mut line).expect("a line");
        assert!(line.ends_with("\r\n"), "the connection ended");
        line.trim_end().to_owned()
    }
}

/// Waits until `holds`, with the deadline.
pub async fn eventually(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let reached = async {
        while !holds().await {
            tokio::task::yield_now().await;
        }
    };
    let reached = tokio::time::timeout(DEADLINE, reached).await;
    assert!(reached.is_ok(), "deadline passed: {what}");
}

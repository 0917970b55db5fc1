//! A caller of the OpenAI API over HTTP that times and checks every stream.

mod events;
mod record;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use anyhow::Context;
use driftspring_engine_model::token_text;
use driftspring_types::{ModelName, RequestId, TenantId};
use ntex::SharedCfg;
use ntex::client::{Client, ClientRequest, ClientResponse, Connector};
use ntex::time::Seconds;
use serde_json::json;

pub use record::{CallEnding, CallRecord};

use events::{EventReader, StreamEvent};

/// How long a caller waits for the end of a request.
const PATIENCE: Duration = Duration::from_secs(60);

/// Connections that one caller thread keeps to one address at the most.
const CONNECTIONS_PER_ADDRESS: usize = 4_096;

/// Idle connections are closed well before a server closes them: `ntex` counts its five seconds from the
/// request, not from the end of the answer.
const KEEP_ALIVE: Seconds = Seconds(1);

/// Where a request is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Destination {
    /// A daemon's callers interface.
    Daemon(SocketAddr),
    /// An engine, without a router.
    Engine(SocketAddr),
}

/// A streamed request.
#[derive(Debug, Clone)]
pub struct Call {
    /// Names the attempt.
    pub request_id: RequestId,
    /// Whose it is.
    pub tenant: TenantId,
    /// The model.
    pub model: ModelName,
    /// The whole prompt.
    pub prompt: String,
    /// Tokens of the answer.
    pub max_tokens: u32,
    /// The instant from which its latency counts.
    pub intended_at: Instant,
}

/// A caller; lives on one thread.
#[derive(Clone)]
pub struct Caller {
    client: Client,
}

impl Caller {
    /// A caller on the current ntex thread.
    ///
    /// # Errors
    /// The HTTP client can't be built.
    pub async fn new() -> anyhow::Result<Self> {
        let connector = Connector::default()
            .limit(CONNECTIONS_PER_ADDRESS)
            .keep_alive(KEEP_ALIVE);
        let client = Client::builder()
            .connector::<&str>(connector)
            .disable_timeout()
            .build(SharedCfg::new("caller"))
            .await
            .context("build the HTTP client")?;
        Ok(Self { client })
    }

    /// Sends `call` and waits for its end; `on_token` gets the sequence number and text of each token.
    pub async fn call(
        &self,
        destination: Destination,
        call: &Call,
        on_token: &dyn Fn(u64, &str),
    ) -> CallRecord {
        let mut exchange = Exchange::new(call, on_token);
        let running = exchange.run(&self.client, destination);
        let in_time = tokio::time::timeout(PATIENCE, running).await;
        if in_time.is_err() {
            exchange.record.ending = CallEnding::Broken("no end within the patience".to_owned());
        }
        exchange.record.ended = call.intended_at.elapsed();
        exchange.record
    }
}

/// The bearer key of a tenant in embedded systems.
pub fn bearer_key(tenant: &TenantId) -> String {
    format!("key-of-{tenant}")
}

/// One request under way.
struct Exchange<'a> {
    call: &'a Call,
    on_token: &'a dyn Fn(u64, &str),
    record: CallRecord,
    last_token_at: Instant,
    has_finish: bool,
}

impl<'a> Exchange<'a> {
    fn new(call: &'a Call, on_token: &'a dyn Fn(u64, &str)) -> Self {
        Self {
            on_token,
            record: CallRecord::of(call),
            last_token_at: call.intended_at,
            call,
            has_finish: false,
        }
    }

    async fn run(&mut self, client: &Client, destination: Destination) {
        let request = self.request(client, destination);
        let body = json!({
            "model": self.call.model,
            "prompt": self.call.prompt,
            "max_tokens": self.call.max_tokens,
            "stream": true,
        });
        match request.send_json(&body).await {
            Ok(response) => self.read(&response).await,
            Err(error) => self.record.ending = CallEnding::Broken(error.to_string()),
        }
    }

    fn request(&self, client: &Client, destination: Destination) -> ClientRequest {
        let (Destination::Daemon(address) | Destination::Engine(address)) = destination;
        let request = client
            .post(format!("http://{address}/v1/completions"))
            .header("x-request-id", self.call.request_id.to_string());
        match destination {
            Destination::Daemon(_) => request.bearer_auth(bearer_key(&self.call.tenant)),
            Destination::Engine(_) => request.header("x-cache-salt", self.call.tenant.as_str()),
        }
    }

    async fn read(&mut self, response: &ClientResponse) {
        if !response.status().is_success() {
            self.record.ending = self.refusal(response).await;
            return;
        }
        let header = |name: &str| response.headers().get(name)?.to_str().ok();
        self.record.engine = header("x-engine").map(str::to_owned);
        self.record.cached_tokens = header("x-cached-tokens").and_then(|text| text.parse().ok());
        let mut payload = response.take_payload();
        let mut reader = EventReader::default();
        while let Some(part) = ntex::util::stream_recv(&mut payload).await {
            let part = match part {
                Ok(part) => part,
                Err(error) => {
                    self.record.ending = CallEnding::Broken(error.to_string());
                    return;
                }
            };
            for event in reader.push(&part) {
                self.take(event);
            }
        }
    }

    async fn refusal(&self, response: &ClientResponse) -> CallEnding {
        let status = response.status().as_u16();
        let body = response.body().await.unwrap_or_default();
        let body: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
        CallEnding::Refused {
            status,
            not_run: body["error"]["not_run"].as_bool() == Some(true),
            code: body["error"]["code"].as_str().map(str::to_owned),
        }
    }

    fn take(&mut self, event: StreamEvent) {
        match event {
            StreamEvent::Token { sequence, text } => self.take_token(sequence, &text),
            StreamEvent::Finish => self.has_finish = true,
            StreamEvent::EndMarker => self.record.ending = self.ending_at_marker(),
            StreamEvent::Error(message) => {
                self.record.had_error_event = true;
                self.record.ending = CallEnding::Broken(message);
            }
        }
    }

    fn take_token(&mut self, sequence: u64, text: &str) {
        let now = Instant::now();
        (self.on_token)(sequence, text);
        if self.record.tokens == 0 {
            self.record.first_token = Some(now - self.call.intended_at);
        } else {
            self.record.token_gaps.push(now - self.last_token_at);
        }
        self.last_token_at = now;
        let expected = u64::from(self.record.tokens);
        let expected_text = token_text(self.call.prompt.as_bytes(), expected);
        self.record.in_order &= sequence == expected && text == expected_text;
        self.record.tokens += 1;
    }

    fn ending_at_marker(&self) -> CallEnding {
        let complete = self.record.tokens == self.call.max_tokens;
        if complete && self.record.in_order && self.has_finish {
            return CallEnding::Whole;
        }
        CallEnding::Broken(format!(
            "marked as whole with {} of {} tokens, in order: {}",
            self.record.tokens, self.call.max_tokens, self.record.in_order
        ))
    }
}

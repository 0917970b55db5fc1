//! A caller that records what it sends and receives.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use driftspring_history::{
    Answer, Ending, Event, Invocation, Recorder, Token, expected_tokens, prefix_blocks, prompt_hash,
};
use driftspring_types::{DaemonId, IdempotencyKey, ModelName, RequestId, TenantId};
use ntex::SharedCfg;
use ntex::client::{Client, ClientBuilder, ClientResponse};
use ntex::util::stream_recv;
use serde_json::json;

use crate::MODEL;
use crate::settings_file::bearer_key;
use crate::sse::{ErrorAnswer, ErrorDetail, EventReader, StreamEvent, WholeAnswer, parse_event};

/// How long a caller waits for the end of its request. One that waits longer records that
/// the request ended silently.
const CALLER_PATIENCE: Duration = Duration::from_secs(30);

/// A request to be sent.
#[derive(Debug, Clone)]
pub struct Call {
    /// Names the attempt.
    pub request_id: RequestId,
    /// In whose name it is sent.
    pub tenant: TenantId,
    /// The model.
    pub model: ModelName,
    /// The prompt.
    pub prompt: String,
    /// Tokens to be made.
    pub max_tokens: usize,
    /// Whether the answer is to be streamed.
    pub streamed: bool,
    /// The key that all attempts of one logical request share.
    pub idempotency_key: Option<IdempotencyKey>,
    /// Whether it may run more than once.
    pub repeatable: bool,
}

impl Call {
    /// A streamed request of 16 tokens that may be repeated.
    pub fn new(tenant: &str, prompt: impl Into<String>) -> Self {
        Self {
            request_id: RequestId::generate(),
            tenant: tenant.into(),
            model: MODEL.into(),
            prompt: prompt.into(),
            max_tokens: 16,
            streamed: true,
            idempotency_key: None,
            repeatable: true,
        }
    }

    /// The same request with `max_tokens` tokens.
    pub fn with_tokens(self, max_tokens: usize) -> Self {
        Self { max_tokens, ..self }
    }

    /// The same request with its answer in one piece.
    pub fn unstreamed(self) -> Self {
        Self {
            streamed: false,
            ..self
        }
    }

    /// The same request, to run at most once under `key`, a UUID version 7.
    pub fn at_most_once(self, key: &str) -> Self {
        Self {
            idempotency_key: Some(key.into()),
            repeatable: false,
            ..self
        }
    }

    /// Another attempt of the same logical request.
    pub fn again(&self) -> Self {
        Self {
            request_id: RequestId::generate(),
            ..self.clone()
        }
    }

    fn invocation(&self, client: &str, daemon: &DaemonId) -> Invocation {
        let prompt = self.prompt.as_bytes();
        Invocation {
            client: client.to_owned(),
            request_id: self.request_id,
            daemon: Some(daemon.clone()),
            tenant: self.tenant.clone(),
            model: self.model.clone(),
            idempotency_key: self.idempotency_key.clone(),
            repeatable: self.repeatable,
            prompt_hash: prompt_hash(prompt),
            prefix_blocks: prefix_blocks(prompt),
            expected_tokens: Some(expected_tokens(prompt, self.max_tokens)),
        }
    }
}

/// How a request ended, and how much of it came.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallResult {
    /// The HTTP status; nothing where none came.
    pub status: Option<u16>,
    /// How it ended.
    pub ending: Ending,
    /// Tokens received.
    pub tokens: usize,
}

/// A caller. Each request opens a new connection, so that no pooled connection which a daemon
/// has just closed is mistaken for a cut request.
#[derive(Clone)]
pub struct Caller {
    name: String,
    client: Client,
    recorder: Recorder,
}

impl Caller {
    /// A caller that records under `name`; must be made on an ntex thread.
    ///
    /// # Errors
    ///
    /// The client can't be built.
    pub async fn new(name: &str, recorder: Recorder) -> anyhow::Result<Self> {
        let client = ClientBuilder::new()
            .disable_timeout()
            .build(SharedCfg::new("caller"))
            .await
            .context("build the caller's client")?;
        Ok(Self {
            name: name.to_owned(),
            client,
            recorder,
        })
    }

    /// Sends `call` to the daemon `daemon` at `address` and waits for its end.
    pub async fn call(&self, daemon: &DaemonId, address: SocketAddr, call: &Call) -> CallResult {
        self.call_with(daemon, address, call, &mut |_| {}).await
    }

    /// As [`Caller::call`]; `on_token` is told the number of tokens after each one.
    pub async fn call_with(
        &self,
        daemon: &DaemonId,
        address: SocketAddr,
        call: &Call,
        on_token: &mut dyn FnMut(usize),
    ) -> CallResult {
        self.recorder
            .record(Event::Invoked(call.invocation(&self.name, daemon)));
        let mut exchange = Exchange::new(call, &self.recorder);
        let exchanging = exchange.run(&self.client, address, on_token);
        // After this time the exchange keeps the ending of one that was never answered.
        let _ = ntex::time::timeout(CALLER_PATIENCE, exchanging).await;
        let result = exchange.result.clone();
        self.recorder
            .record(Event::Answered(exchange.into_answer()));
        result
    }
}

/// One request under way.
struct Exchange<'a> {
    call: &'a Call,
    recorder: &'a Recorder,
    result: CallResult,
    text: Option<String>,
    named_request_id: Option<RequestId>,
}

impl<'a> Exchange<'a> {
    fn new(call: &'a Call, recorder: &'a Recorder) -> Self {
        Self {
            call,
            recorder,
            result: CallResult {
                status: None,
                ending: Ending::Silent,
                tokens: 0,
            },
            text: None,
            named_request_id: None,
        }
    }

    async fn run(&mut self, client: &Client, address: SocketAddr, on_token: &mut dyn FnMut(usize)) {
        let Ok(mut response) = self.send(client, address).await else {
            return;
        };
        self.result.status = Some(response.status().as_u16());
        if !response.status().is_success() {
            self.read_error(&response).await;
        } else if self.call.streamed {
            self.read_stream(&mut response, on_token).await;
        } else {
            self.read_whole(&response).await;
        }
    }

    async fn send(
        &self,
        client: &Client,
        address: SocketAddr,
    ) -> Result<ClientResponse, ntex::client::error::ClientError> {
        let call = self.call;
        let mut request = client
            .post(format!("http://{address}/v1/completions"))
            .force_close()
            .header("x-request-id", call.request_id.to_string())
            .header("x-repeatable", call.repeatable.to_string())
            .bearer_auth(bearer_key(call.tenant.as_str()));
        if let Some(key) = &call.idempotency_key {
            request = request.header("idempotency-key", key.as_str());
        }
        let body = json!({
            "model": call.model,
            "prompt": call.prompt,
            "max_tokens": call.max_tokens,
            "stream": call.streamed,
        });
        request.send_json(&body).await
    }

    async fn read_error(&mut self, response: &ClientResponse) {
        let Ok(body) = response.body().await else {
            return;
        };
        let error = serde_json::from_slice::<ErrorAnswer>(&body);
        self.result.ending = error.map_or(Ending::Unknown, |answer| ending_of(&answer.error));
    }

    async fn read_whole(&mut self, response: &ClientResponse) {
        let Ok(body) = response.body().await else {
            return;
        };
        let Ok(answer) = serde_json::from_slice::<WholeAnswer>(&body) else {
            return;
        };
        self.named_request_id = answer.request_id;
        self.text = Some(answer.text().unwrap_or_default().to_owned());
        self.result.tokens = self.call.max_tokens;
        self.result.ending = Ending::Whole;
    }

    async fn read_stream(
        &mut self,
        response: &mut ClientResponse,
        on_token: &mut dyn FnMut(usize),
    ) {
        let mut reader = EventReader::default();
        while let Some(Ok(bytes)) = stream_recv(response).await {
            for data in reader.push(&bytes) {
                self.take_event(parse_event(&data), on_token);
            }
        }
    }

    fn take_event(&mut self, event: StreamEvent, on_token: &mut dyn FnMut(usize)) {
        match event {
            StreamEvent::Token {
                sequence,
                request_id,
                text,
            } => {
                self.recorder.record(Event::TokenReceived(Token {
                    request_id: self.call.request_id,
                    sequence,
                    named_request_id: request_id,
                    text,
                }));
                self.result.tokens += 1;
                on_token(self.result.tokens);
            }
            StreamEvent::Finish => {}
            StreamEvent::Marker => self.result.ending = Ending::Whole,
            StreamEvent::Error(error) => self.result.ending = ending_of(&error),
            StreamEvent::Unreadable => self.result.ending = Ending::Unknown,
        }
    }

    fn into_answer(self) -> Answer {
        Answer {
            request_id: self.call.request_id,
            status: self.result.status,
            ending: self.result.ending,
            text: self.text,
            named_request_id: self.named_request_id,
        }
    }
}

fn ending_of(error: &ErrorDetail) -> Ending {
    if error.not_run {
        Ending::NotRun { reason: error.code }
    } else {
        Ending::Unknown
    }
}

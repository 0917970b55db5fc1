//! A legacy upstream: an OpenAI-compatible server that notes what reaches it.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use driftspring_engine_model::{answer_text, token_text};
use ntex::util::Bytes;
use ntex::web::{self, HttpRequest, HttpResponse};
use serde::Serialize;
use serde_json::{Value, json};

use crate::faults::FaultSwitches;
use crate::server::{Running, end_channel, launch};
use crate::streaming::{PartSource, StreamBroken, body_of};

const DEFAULT_MAX_TOKENS: u64 = 16;
const TOKEN_INTERVAL: Duration = Duration::from_millis(2);

/// A request as it arrived.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ReceivedRequest {
    /// Path and query.
    pub path: String,
    /// Headers in the order of their arrival, names in lower case.
    pub headers: Vec<(String, String)>,
    /// The body's text.
    pub body: String,
}

/// What reached the upstream.
#[derive(Debug, Default)]
pub struct LegacyUpstream {
    received: Mutex<Vec<ReceivedRequest>>,
}

impl LegacyUpstream {
    /// Every request so far.
    pub fn received(&self) -> Vec<ReceivedRequest> {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<ReceivedRequest>> {
        self.received.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A running legacy upstream.
#[derive(Debug)]
pub struct RunningLegacy {
    /// The server.
    pub server: Running,
    /// What reached it.
    pub upstream: Arc<LegacyUpstream>,
}

/// Starts a legacy upstream.
///
/// # Errors
/// Where `address` can't be listened on.
pub fn start(address: SocketAddr) -> anyhow::Result<RunningLegacy> {
    let upstream = Arc::new(LegacyUpstream::default());
    let served = Arc::clone(&upstream);
    let configure = move |config: &mut web::ServiceConfig| {
        config
            .state(Arc::clone(&served))
            .route("/v1/completions", web::post().to(complete))
            .route("/v1/chat/completions", web::post().to(complete))
            .route("/standin/requests", web::get().to(show_requests));
    };
    let server = launch("legacy", address, Arc::default(), end_channel(), configure)?;
    Ok(RunningLegacy { server, upstream })
}

async fn complete(
    upstream: web::types::State<Arc<LegacyUpstream>>,
    faults: web::types::State<Arc<FaultSwitches>>,
    request: HttpRequest,
    body: Bytes,
) -> HttpResponse {
    upstream.lock().push(received(&request, &body));
    let Ok(fields) = serde_json::from_slice::<Value>(&body) else {
        return HttpResponse::BadRequest().finish();
    };
    let prompt = prompt_of(&fields);
    let tokens = fields["max_tokens"].as_u64().unwrap_or(DEFAULT_MAX_TOKENS);
    if fields["stream"].as_bool() == Some(true) {
        let source = LegacyStream {
            prompt,
            tokens,
            next: 0,
        };
        return HttpResponse::Ok()
            .content_type("text/event-stream")
            .streaming(body_of(Arc::clone(&faults), source));
    }
    let text = answer_text(prompt.as_bytes(), tokens);
    HttpResponse::Ok().json(&json!({
        "object": "text_completion",
        "choices": [{"index": 0, "text": text, "finish_reason": "length"}],
    }))
}

/// The prompt, or the messages' contents for a chat.
fn prompt_of(fields: &Value) -> String {
    if let Some(prompt) = fields["prompt"].as_str() {
        return prompt.to_owned();
    }
    let messages = fields["messages"].as_array().into_iter().flatten();
    messages
        .filter_map(|message| message["content"].as_str())
        .collect()
}

fn received(request: &HttpRequest, body: &[u8]) -> ReceivedRequest {
    let headers = request.headers().iter().map(|(name, value)| {
        let value = String::from_utf8_lossy(value.as_bytes()).into_owned();
        (name.as_str().to_owned(), value)
    });
    ReceivedRequest {
        path: request.uri().to_string(),
        headers: headers.collect(),
        body: String::from_utf8_lossy(body).into_owned(),
    }
}

async fn show_requests(upstream: web::types::State<Arc<LegacyUpstream>>) -> HttpResponse {
    HttpResponse::Ok().json(&upstream.received())
}

struct LegacyStream {
    prompt: String,
    tokens: u64,
    next: u64,
}

impl PartSource for LegacyStream {
    async fn next_part(&mut self) -> Result<Option<Bytes>, StreamBroken> {
        let position = self.next;
        self.next += 1;
        if position > self.tokens {
            return Ok(None);
        }
        if position == self.tokens {
            return Ok(Some(Bytes::from_static(b"data: [DONE]\n\n")));
        }
        tokio::time::sleep(TOKEN_INTERVAL).await;
        let text = token_text(self.prompt.as_bytes(), position);
        let finish_reason = (position + 1 == self.tokens).then_some("length");
        let choice = json!({"index": 0, "text": text, "finish_reason": finish_reason});
        let chunk = json!({"object": "text_completion", "choices": [choice]});
        Ok(Some(Bytes::from(format!("data: {chunk}\n\n"))))
    }
}

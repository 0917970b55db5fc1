//! The answer of an engine, read event by event.

use std::borrow::Cow;
use std::time::Duration;

use driftspring_types::{EngineLoad, Incarnation, RequestId, WeightsVersion};
use ntex::client::ClientResponse;
use ntex::http::HeaderMap;
use ntex::util::{Bytes, stream_recv};
use serde::Deserialize;
use uuid::Uuid;

use super::error::EngineError;
use super::headers;
use super::messages::Usage;
use super::sse::{SseParser, event_data};

/// The data of the event that ends a whole answer.
const TERMINAL_DATA: &[u8] = b"[DONE]";

/// What an engine says about itself in the headers of an answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AnswerHead {
    /// Its present life.
    pub incarnation: Option<Incarnation>,
    /// Its present weights.
    pub weights_version: Option<WeightsVersion>,
    /// Prompt tokens taken from its cache.
    pub cached_tokens: Option<u32>,
    /// Its report sequence.
    pub report_sequence: Option<u64>,
    /// Its load; only the first three fields are known.
    pub load: Option<EngineLoad>,
}

impl AnswerHead {
    /// Reads the headers; a missing or unreadable one is nothing.
    fn from_headers(map: &HeaderMap) -> Self {
        Self {
            incarnation: number(map, headers::ENGINE_INCARNATION).map(Incarnation),
            weights_version: number(map, headers::WEIGHTS_VERSION).map(WeightsVersion),
            cached_tokens: number(map, headers::CACHED_TOKENS).and_then(|n| n.try_into().ok()),
            report_sequence: number(map, headers::REPORT_SEQUENCE),
            load: text(map, headers::LOAD).and_then(parse_load),
        }
    }
}

fn text<'a>(map: &'a HeaderMap, name: &str) -> Option<&'a str> {
    map.get(name)?.to_str().ok()
}

fn number(map: &HeaderMap, name: &str) -> Option<u64> {
    text(map, name)?.trim().parse().ok()
}

/// Reads `running,queued,pending_prefill_tokens`.
fn parse_load(text: &str) -> Option<EngineLoad> {
    let mut numbers = text.split(',').map(|part| part.trim().parse::<u32>());
    Some(EngineLoad {
        running: numbers.next()?.ok()?,
        queued: numbers.next()?.ok()?,
        pending_prefill_tokens: numbers.next()?.ok()?,
        ..EngineLoad::default()
    })
}

/// How an answer ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finish {
    /// `stop` or `length`.
    pub reason: String,
    /// The engine's token counts.
    pub usage: Option<Usage>,
}

/// One event of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnswerChunk {
    /// The event as it came, its blank line included.
    pub raw: Bytes,
    /// The request that the event belongs to, where it says so readably.
    pub request_id: Option<RequestId>,
    /// The position of its token in the answer, from 0.
    pub sequence: u64,
    /// The token's text.
    pub text: String,
    /// How the answer ended; only in its last chunk, which has no text.
    pub finish: Option<Finish>,
}

/// What comes next in an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AnswerItem {
    /// An event.
    Chunk(AnswerChunk),
    /// The engine's terminal marker.
    Done,
}

/// An answer as it comes in.
pub struct AnswerStream {
    /// What the engine said about itself.
    pub head: AnswerHead,
    response: ClientResponse,
    parser: SseParser,
}

impl AnswerStream {
    pub(super) fn new(response: ClientResponse) -> Self {
        Self {
            head: AnswerHead::from_headers(response.headers()),
            response,
            parser: SseParser::default(),
        }
    }

    /// The next item, awaited for `patience` at the most. A stream that ends without its terminal marker is an
    /// error. Losing this future loses no bytes.
    pub async fn next(&mut self, patience: Duration) -> Result<AnswerItem, EngineError> {
        if let Some(item) = self.next_buffered()? {
            return Ok(item);
        }
        ntex::time::timeout(patience, self.receive())
            .await
            .unwrap_or(Err(EngineError::TimedOut(patience)))
    }

    /// The next item of the bytes that have come already.
    pub fn next_buffered(&mut self) -> Result<Option<AnswerItem>, EngineError> {
        loop {
            let event = self
                .parser
                .next_event()
                .map_err(|error| EngineError::Malformed(error.to_string()))?;
            let Some(event) = event else {
                return Ok(None);
            };
            if let Some(item) = parse_event(event)? {
                return Ok(Some(item));
            }
        }
    }

    async fn receive(&mut self) -> Result<AnswerItem, EngineError> {
        loop {
            match stream_recv(&mut self.response).await {
                Some(Ok(bytes)) => self.parser.push(&bytes),
                Some(Err(error)) => return Err(EngineError::Broken(error.to_string())),
                None => return Err(EngineError::Broken("ended without a marker".to_owned())),
            }
            if let Some(item) = self.next_buffered()? {
                return Ok(item);
            }
        }
    }
}

/// Reads one event; nothing for a comment.
fn parse_event(raw: Bytes) -> Result<Option<AnswerItem>, EngineError> {
    let Some(data) = event_data(&raw) else {
        return Ok(None);
    };
    if data == TERMINAL_DATA {
        return Ok(Some(AnswerItem::Done));
    }
    let wire: WireChunk<'_> =
        serde_json::from_slice(data).map_err(|error| EngineError::Malformed(error.to_string()))?;
    let chunk = wire.into_chunk(&raw)?;
    Ok(Some(AnswerItem::Chunk(chunk)))
}

#[derive(Deserialize)]
struct WireChunk<'a> {
    #[serde(borrow)]
    request_id: Option<Cow<'a, str>>,
    sequence: Option<u64>,
    #[serde(borrow, default)]
    choices: Vec<WireChoice<'a>>,
    usage: Option<Usage>,
}

#[derive(Deserialize)]
struct WireChoice<'a> {
    text: Option<String>,
    delta: Option<WireDelta>,
    #[serde(borrow)]
    finish_reason: Option<Cow<'a, str>>,
}

#[derive(Deserialize)]
struct WireDelta {
    content: Option<String>,
}

impl WireChunk<'_> {
    fn into_chunk(self, raw: &Bytes) -> Result<AnswerChunk, EngineError> {
        let sequence = self
            .sequence
            .ok_or_else(|| EngineError::Malformed("an event without a sequence".to_owned()))?;
        let choice = self
            .choices
            .into_iter()
            .next()
            .ok_or_else(|| EngineError::Malformed("an event without a choice".to_owned()))?;
        let usage = self.usage;
        let finish = choice.finish_reason.map(|reason| Finish {
            reason: reason.into_owned(),
            usage,
        });
        let content = choice.delta.and_then(|delta| delta.content);
        Ok(AnswerChunk {
            raw: raw.clone(),
            request_id: self.request_id.as_deref().and_then(parse_request_id),
            sequence,
            text: choice.text.or(content).unwrap_or_default(),
            finish,
        })
    }
}

fn parse_request_id(text: &str) -> Option<RequestId> {
    Uuid::try_parse(text).ok().map(RequestId)
}

//! Reading the headers and bodies of completion requests.

use driftspring_prefix::Fingerprint;
use ntex::http::HeaderMap;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use uuid::Uuid;

use super::answer::ApiKind;
use super::refusal::RefusalKind;

const DEFAULT_MAX_TOKENS: u32 = 16;
const DEFAULT_PRIORITY: u8 = 4;
const HIGHEST_PRIORITY: u8 = 9;

/// What the caller says of the request beside its body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct RequestHeaders {
    pub(crate) request_id: Uuid,
    pub(crate) priority: u8,
    pub(crate) salt: String,
    pub(crate) use_cache: bool,
    pub(crate) expected: Expectations,
    pub(crate) idempotency_key: Option<String>,
    pub(crate) tenant: Option<String>,
}

/// What the caller relies on.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Expectations {
    pub(crate) incarnation: Option<u64>,
    pub(crate) weights_version: Option<u64>,
}

impl Expectations {
    /// Reads the expectations of any call.
    pub(crate) fn read(headers: &HeaderMap) -> Result<Self, RefusalKind> {
        Ok(Self {
            incarnation: parsed_header(headers, "x-expect-incarnation")?,
            weights_version: parsed_header(headers, "x-expect-weights")?,
        })
    }
}

impl RequestHeaders {
    /// Reads the headers of a completion request.
    pub(crate) fn read(headers: &HeaderMap) -> Result<Self, RefusalKind> {
        let request_id = parsed_header(headers, "x-request-id")?;
        let priority = parsed_header(headers, "x-priority")?;
        let use_cache = parsed_header(headers, "x-use-cache")?;
        Ok(Self {
            request_id: request_id.unwrap_or_else(Uuid::now_v7),
            priority: priority.unwrap_or(DEFAULT_PRIORITY).min(HIGHEST_PRIORITY),
            salt: text_header(headers, "x-cache-salt").unwrap_or_default(),
            use_cache: use_cache.unwrap_or(true),
            expected: Expectations::read(headers)?,
            idempotency_key: text_header(headers, "x-idempotency-key"),
            tenant: text_header(headers, "x-tenant"),
        })
    }
}

fn text_header(headers: &HeaderMap, name: &str) -> Option<String> {
    let value = headers.get(name)?;
    value.to_str().ok().map(str::to_owned)
}

fn parsed_header<T: std::str::FromStr>(
    headers: &HeaderMap,
    name: &str,
) -> Result<Option<T>, RefusalKind> {
    let Some(text) = text_header(headers, name) else {
        return Ok(None);
    };
    let invalid = |_| RefusalKind::InvalidRequest(format!("header {name}: {text:?}"));
    text.parse().map(Some).map_err(invalid)
}

/// The body of a completion request, of either API.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct RequestBody {
    pub(crate) api: ApiKind,
    pub(crate) model: Option<String>,
    pub(crate) prompt: String,
    pub(crate) max_tokens: u32,
    pub(crate) stream: bool,
    pub(crate) continue_from: Vec<String>,
}

#[derive(Deserialize)]
struct CommonFields {
    model: Option<String>,
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    continue_from: Vec<String>,
}

#[derive(Deserialize)]
struct CompletionFields {
    prompt: String,
    #[serde(flatten)]
    common: CommonFields,
}

#[derive(Deserialize)]
struct ChatFields {
    messages: Vec<ChatMessage>,
    #[serde(flatten)]
    common: CommonFields,
}

#[derive(Deserialize)]
struct ChatMessage {
    role: String,
    content: String,
}

impl RequestBody {
    /// Reads the body of a request that came by `api`.
    pub(crate) fn read(api: ApiKind, body: &[u8]) -> Result<Self, RefusalKind> {
        let (prompt, common) = match api {
            ApiKind::Completion => {
                let fields: CompletionFields = parse(body)?;
                (fields.prompt, fields.common)
            }
            ApiKind::Chat => {
                let fields: ChatFields = parse(body)?;
                (chat_prompt(&fields.messages), fields.common)
            }
        };
        Ok(Self {
            api,
            model: common.model,
            prompt,
            max_tokens: common.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
            stream: common.stream,
            continue_from: common.continue_from,
        })
    }

    /// The fingerprint of the prompt and the tokens that another engine gave.
    pub(crate) fn fingerprint(&self, salt: &str) -> Fingerprint {
        if self.continue_from.is_empty() {
            return Fingerprint::of_prompt(salt, self.prompt.as_bytes());
        }
        let mut text = self.prompt.clone();
        text.extend(self.continue_from.iter().map(String::as_str));
        Fingerprint::of_prompt(salt, text.as_bytes())
    }
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, RefusalKind> {
    serde_json::from_slice(body).map_err(|error| RefusalKind::InvalidRequest(error.to_string()))
}

fn chat_prompt(messages: &[ChatMessage]) -> String {
    messages
        .iter()
        .map(|message| format!("{}\n{}\n", message.role, message.content))
        .collect()
}

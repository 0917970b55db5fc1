//! The JSON body of a request: what driftspring reads of it, and how it goes on to an engine.

use std::fmt;

use driftspring_external::engine::Endpoint;
use driftspring_types::{ModelName, Step};
use ntex::util::Bytes;
use serde::de::{DeserializeOwned, Error as _, MapAccess, Visitor};
use serde::ser::SerializeMap;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use serde_json::value::RawValue;

use super::delivered::DeliveredTokens;
use super::refusal::Refusal;

/// The field by which an answer is continued; only driftspring itself sends it.
const CONTINUE_FROM: &str = "continue_from";
const STREAM: &str = "stream";
const MAX_TOKENS: &str = "max_tokens";
/// The tokens that engines make where a request names no number.
const DEFAULT_MAX_TOKENS: u32 = 16;

/// A checked body.
#[derive(Debug, Clone)]
pub struct RequestBody {
    /// The bytes as they came.
    pub raw: Bytes,
    /// The model named.
    pub model: ModelName,
    /// The prompt's bytes as engines count and cache them.
    pub prompt: Vec<u8>,
    /// How many tokens the answer has at the most.
    pub max_tokens: u32,
    /// Whether the caller wants a stream.
    pub streamed: bool,
}

impl RequestBody {
    /// Reads and checks a body; what is at fault is named by its field.
    pub fn parse(endpoint: Endpoint, raw: Bytes) -> Result<Self, Refusal> {
        let fields = fields_of(&raw)?;
        let model: String = required(&fields, "model")?;
        let prompt = match endpoint {
            Endpoint::Completions => required::<String>(&fields, "prompt")?.into_bytes(),
            Endpoint::ChatCompletions => {
                chat_prompt(&required::<Vec<Message>>(&fields, "messages")?)
            }
        };
        let choices: Option<u32> = optional(&fields, "n")?;
        if choices.is_some_and(|choices| choices != 1) {
            return Err(invalid("n", "only one choice is made, so `n` must be 1"));
        }
        if fields.get(CONTINUE_FROM).is_some() {
            return Err(invalid(CONTINUE_FROM, "`continue_from` is reserved"));
        }
        let streamed: Option<bool> = optional(&fields, STREAM)?;
        Ok(Self {
            model: ModelName::new(model),
            prompt,
            max_tokens: optional(&fields, MAX_TOKENS)?.unwrap_or(DEFAULT_MAX_TOKENS),
            streamed: streamed.unwrap_or(false),
            raw: raw.clone(),
        })
    }

    /// The body for an engine: always streamed, and continued after `delivered`.
    pub fn for_engine(&self, delivered: &DeliveredTokens) -> Result<Bytes, Refusal> {
        if self.streamed && delivered.is_empty() {
            return Ok(self.raw.clone());
        }
        let fields = fields_of(&self.raw)?;
        let body = EngineBody {
            fields: &fields,
            max_tokens: self.max_tokens,
            delivered,
        };
        let json =
            serde_json::to_vec(&body).map_err(|error| invalid("body", &error.to_string()))?;
        Ok(Bytes::from(json))
    }
}

/// One message of a chat.
#[derive(Deserialize)]
struct Message {
    role: String,
    content: String,
}

/// `<role>\n<content>\n` over all messages, as engines read a chat.
fn chat_prompt(messages: &[Message]) -> Vec<u8> {
    let mut prompt = Vec::new();
    for message in messages {
        prompt.extend_from_slice(message.role.as_bytes());
        prompt.push(b'\n');
        prompt.extend_from_slice(message.content.as_bytes());
        prompt.push(b'\n');
    }
    prompt
}

/// The fields of a JSON object in their order, each of them named once.
struct Fields<'a>(Vec<(String, &'a RawValue)>);

impl<'a> Fields<'a> {
    fn get(&self, name: &str) -> Option<&'a RawValue> {
        let field = self.0.iter().find(|(key, _)| key == name);
        field.map(|(_, value)| *value)
    }
}

impl<'de> Deserialize<'de> for Fields<'de> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(FieldsVisitor)
    }
}

struct FieldsVisitor;

impl<'de> Visitor<'de> for FieldsVisitor {
    type Value = Fields<'de>;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a JSON object")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Self::Value, A::Error> {
        let mut fields = Fields(Vec::new());
        while let Some((name, value)) = map.next_entry::<String, &RawValue>()? {
            // Router and engine might read a repeated field differently.
            if fields.get(&name).is_some() {
                return Err(A::Error::custom(format!("field `{name}` is repeated")));
            }
            fields.0.push((name, value));
        }
        Ok(fields)
    }
}

fn fields_of(raw: &[u8]) -> Result<Fields<'_>, Refusal> {
    serde_json::from_slice(raw)
        .map_err(|error| invalid("body", &format!("the body is not valid JSON: {error}")))
}

fn required<T: DeserializeOwned>(fields: &Fields<'_>, name: &str) -> Result<T, Refusal> {
    let value = fields
        .get(name)
        .ok_or_else(|| invalid(name, &format!("field `{name}` is missing")))?;
    parse_field(name, value)
}

fn optional<T: DeserializeOwned>(fields: &Fields<'_>, name: &str) -> Result<Option<T>, Refusal> {
    fields
        .get(name)
        .map_or(Ok(None), |value| parse_field::<Option<T>>(name, value))
}

fn parse_field<T: DeserializeOwned>(name: &str, value: &RawValue) -> Result<T, Refusal> {
    serde_json::from_str(value.get())
        .map_err(|error| invalid(name, &format!("field `{name}`: {error}")))
}

fn invalid(field: &str, message: &str) -> Refusal {
    Refusal::bad_request(Step::Decode, field, message)
}

/// Writes the fields with `stream` set and `continue_from` added.
struct EngineBody<'a> {
    fields: &'a Fields<'a>,
    max_tokens: u32,
    delivered: &'a DeliveredTokens,
}

impl Serialize for EngineBody<'_> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut map = serializer.serialize_map(None)?;
        for (name, value) in &self.fields.0 {
            if name != STREAM && name != MAX_TOKENS {
                map.serialize_entry(name, value)?;
            }
        }
        map.serialize_entry(STREAM, &true)?;
        if !self.delivered.is_empty() {
            map.serialize_entry(CONTINUE_FROM, self.delivered)?;
        }
        let delivered = self.delivered.len() as u32;
        map.serialize_entry(MAX_TOKENS, &self.max_tokens.saturating_sub(delivered))?;
        map.end()
    }
}

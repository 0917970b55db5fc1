//! The JSON of answers: stream chunks and whole answers in the shape of the OpenAI API.

use serde::Serialize;
use uuid::Uuid;

use super::answer::{Answer, ApiKind, Progress};

/// The marker after the last chunk of a stream.
pub(crate) const STREAM_END: &[u8] = b"data: [DONE]\n\n";

const FINISH_REASON: &str = "length";
const ASSISTANT: &str = "assistant";

/// One chunk of a stream.
#[derive(Serialize)]
struct Chunk<'a> {
    id: String,
    object: &'static str,
    created: u64,
    model: &'a str,
    choices: [ChunkChoice<'a>; 1],
    sequence: u64,
    request_id: Uuid,
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
}

#[derive(Serialize)]
struct ChunkChoice<'a> {
    index: u32,
    #[serde(flatten)]
    content: ChunkContent<'a>,
    finish_reason: Option<&'static str>,
}

#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
enum ChunkContent<'a> {
    Text(&'a str),
    Delta(Delta<'a>),
}

#[derive(Serialize)]
struct Delta<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    content: Option<&'a str>,
}

/// The answer to a request that is not streamed.
#[derive(Serialize)]
pub(crate) struct WholeAnswer<'a> {
    id: String,
    object: &'static str,
    created: u64,
    model: &'a str,
    choices: [WholeChoice; 1],
    usage: Usage,
    request_id: Uuid,
}

#[derive(Serialize)]
struct WholeChoice {
    index: u32,
    #[serde(flatten)]
    content: WholeContent,
    finish_reason: &'static str,
}

#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
enum WholeContent {
    Text(String),
    Message { role: &'static str, content: String },
}

#[derive(Serialize)]
struct Usage {
    prompt_tokens: u32,
    completion_tokens: u32,
    total_tokens: u32,
    cached_tokens: u32,
}

/// The event of the token `sequence`, whose text is `text`.
pub(crate) fn token_event(answer: &Answer, sequence: u64, text: &str) -> Vec<u8> {
    let content = match answer.start.api {
        ApiKind::Completion => ChunkContent::Text(text),
        ApiKind::Chat => ChunkContent::Delta(Delta {
            content: Some(text),
        }),
    };
    event(&chunk(answer, sequence, content))
}

/// The event that says how the answer ended.
pub(crate) fn last_event(answer: &Answer) -> Vec<u8> {
    let content = match answer.start.api {
        ApiKind::Completion => ChunkContent::Text(""),
        ApiKind::Chat => ChunkContent::Delta(Delta { content: None }),
    };
    let mut chunk = chunk(answer, answer.next_sequence(), content);
    chunk.choices[0].finish_reason = Some(FINISH_REASON);
    chunk.usage = Some(usage(answer));
    event(&chunk)
}

/// The whole answer of a request that is not streamed.
pub(crate) fn whole_answer(answer: &Answer) -> WholeAnswer<'_> {
    let text: String = (answer.start.first_sequence..answer.next_sequence())
        .map(|sequence| answer.token(sequence))
        .collect();
    let (object, content) = match answer.start.api {
        ApiKind::Completion => ("text_completion", WholeContent::Text(text)),
        ApiKind::Chat => (
            "chat.completion",
            WholeContent::Message {
                role: ASSISTANT,
                content: text,
            },
        ),
    };
    WholeAnswer {
        id: answer_id(answer),
        object,
        created: answer.start.created,
        model: &answer.start.model,
        choices: [WholeChoice {
            index: 0,
            content,
            finish_reason: FINISH_REASON,
        }],
        usage: usage(answer),
        request_id: answer.start.request_id,
    }
}

fn chunk<'a>(answer: &'a Answer, sequence: u64, content: ChunkContent<'a>) -> Chunk<'a> {
    Chunk {
        id: answer_id(answer),
        object: match answer.start.api {
            ApiKind::Completion => "text_completion",
            ApiKind::Chat => "chat.completion.chunk",
        },
        created: answer.start.created,
        model: &answer.start.model,
        choices: [ChunkChoice {
            index: 0,
            content,
            finish_reason: None,
        }],
        sequence,
        request_id: answer.start.request_id,
        usage: None,
    }
}

fn answer_id(answer: &Answer) -> String {
    match answer.start.api {
        ApiKind::Completion => format!("cmpl-{}", answer.start.request_id),
        ApiKind::Chat => format!("chatcmpl-{}", answer.start.request_id),
    }
}

fn usage(answer: &Answer) -> Usage {
    let Progress {
        cached_tokens,
        produced,
        ..
    } = answer.progress();
    Usage {
        prompt_tokens: answer.start.prompt_tokens,
        completion_tokens: produced,
        total_tokens: answer.start.prompt_tokens + produced,
        cached_tokens: cached_tokens.unwrap_or(0),
    }
}

fn event(chunk: &Chunk<'_>) -> Vec<u8> {
    let mut event = b"data: ".to_vec();
    // Texts and numbers only: writing them to memory can't fail.
    let _ = serde_json::to_writer(&mut event, chunk);
    event.extend_from_slice(b"\n\n");
    event
}

//! The JSON of answers: stream chunks and whole answers in the shape of the OpenAI API.

use serde::Serialize;
use serde_json::{Value, json};

use super::answer::{Answer, ApiKind, Progress};

/// The marker after the last chunk of a stream.
pub(crate) const STREAM_END: &[u8] = b"data: [DONE]\n\n";

const FINISH_REASON: &str = "length";

#[derive(Serialize)]
struct Usage {
    prompt_tokens: u32,
    completion_tokens: u32,
    total_tokens: u32,
    cached_tokens: u32,
}

/// A chunk with the token `sequence`, whose text is `text`.
pub(crate) fn token_chunk(answer: &Answer, sequence: u64, text: &str) -> Vec<u8> {
    let choice = match answer.api {
        ApiKind::Completion => json!({"index": 0, "text": text, "finish_reason": null}),
        ApiKind::Chat => {
            json!({"index": 0, "delta": {"content": text}, "finish_reason": null})
        }
    };
    event(&chunk(answer, sequence, choice))
}

/// The last chunk.
pub(crate) fn last_chunk(answer: &Answer, sequence: u64) -> Vec<u8> {
    let choice = match answer.api {
        ApiKind::Completion => json!({"index": 0, "text": "", "finish_reason": FINISH_REASON}),
        ApiKind::Chat => json!({"index": 0, "delta": {}, "finish_reason": FINISH_REASON}),
    };
    let mut chunk = chunk(answer, sequence, choice);
    chunk["usage"] = usage(answer);
    event(&chunk)
}

/// The whole answer of a request that is not streamed.
pub(crate) fn whole_answer(answer: &Answer) -> Value {
    let text: String = (answer.first_sequence..answer.next_sequence())
        .map(|sequence| answer.token(sequence))
        .collect();
    let choice = match answer.api {
        ApiKind::Completion => {
            json!({"index": 0, "text": text, "finish_reason": FINISH_REASON})
        }
        ApiKind::Chat => json!({
            "index": 0,
            "message": {"role": "assistant", "content": text},
            "finish_reason": FINISH_REASON,
        }),
    };
    let object = match answer.api {
        ApiKind::Completion => "text_completion",
        ApiKind::Chat => "chat.completion",
    };
    json!({
        "id": answer_id(answer),
        "object": object,
        "created": answer.created,
        "model": answer.model,
        "choices": [choice],
        "usage": usage(answer),
        "request_id": answer.request_id,
    })
}

fn chunk(answer: &Answer, sequence: u64, choice: Value) -> Value {
    let object = match answer.api {
        ApiKind::Completion => "text_completion",
        ApiKind::Chat => "chat.completion.chunk",
    };
    json!({
        "id": answer_id(answer),
        "object": object,
        "created": answer.created,
        "model": answer.model,
        "choices": [choice],
        "sequence": sequence,
        "request_id": answer.request_id,
    })
}

fn answer_id(answer: &Answer) -> String {
    match answer.api {
        ApiKind::Completion => format!("cmpl-{}", answer.request_id),
        ApiKind::Chat => format!("chatcmpl-{}", answer.request_id),
    }
}

fn usage(answer: &Answer) -> Value {
    let Progress {
        cached_tokens,
        produced,
        ..
    } = answer.progress();
    let usage = Usage {
        prompt_tokens: answer.prompt_tokens,
        completion_tokens: produced,
        total_tokens: answer.prompt_tokens + produced,
        cached_tokens: cached_tokens.unwrap_or(0),
    };
    serde_json::to_value(usage).unwrap_or_default()
}

fn event(chunk: &Value) -> Vec<u8> {
    format!("data: {chunk}\n\n").into_bytes()
}

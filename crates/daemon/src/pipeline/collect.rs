//! Filter: gives an answer to its caller as one JSON document.
//!
//! The engine is asked for a stream all the same, so that this answer is protected like a streamed one.

use std::time::{SystemTime, UNIX_EPOCH};

use driftspring_external::engine::{Endpoint, Finish};
use driftspring_types::{Outcome, RequestId};
use ntex::web::HttpResponse;
use serde::Serialize;

use super::account::Account;
use super::answer::Answer;
use super::refusal::Refusal;
use super::relay::add_source_headers;
use super::usage::AnswerUsage;

/// The response with the whole of `answer`.
pub async fn collect(mut answer: Answer, account: &mut Account) -> Result<HttpResponse, Refusal> {
    let finish = match read_to_end(&mut answer).await {
        Ok(finish) => finish,
        Err(refusal) => {
            answer.end(&refusal.outcome);
            return Err(refusal);
        }
    };
    answer.end(&Outcome::Completed);
    account.settle(&Outcome::Completed);
    let mut builder = HttpResponse::Ok();
    add_source_headers(&mut builder, &answer);
    Ok(builder.json(&Completion::new(&answer, &finish)))
}

async fn read_to_end(answer: &mut Answer) -> Result<Finish, Refusal> {
    loop {
        if let Some(finish) = answer.next().await?.finish {
            return Ok(finish);
        }
    }
}

/// A completion in the shape of the OpenAI API.
#[derive(Serialize)]
struct Completion<'a> {
    id: String,
    object: &'static str,
    created: u64,
    model: &'a str,
    choices: [Choice<'a>; 1],
    usage: AnswerUsage,
    request_id: RequestId,
}

#[derive(Serialize)]
struct Choice<'a> {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<Message<'a>>,
    logprobs: Option<()>,
    finish_reason: &'a str,
}

#[derive(Serialize)]
struct Message<'a> {
    role: &'static str,
    content: &'a str,
}

impl<'a> Completion<'a> {
    fn new(answer: &'a Answer, finish: &'a Finish) -> Self {
        let context = answer.context();
        let text = answer.delivered().text();
        let (id_prefix, object) = match context.endpoint {
            Endpoint::Completions => ("cmpl", "text_completion"),
            Endpoint::ChatCompletions => ("chatcmpl", "chat.completion"),
        };
        Self {
            id: format!("{id_prefix}-{}", context.id),
            object,
            created: unix_seconds(),
            model: context.body.model.as_str(),
            choices: [Choice::new(context.endpoint, text, &finish.reason)],
            usage: answer.usage(finish),
            request_id: context.id,
        }
    }
}

impl<'a> Choice<'a> {
    fn new(endpoint: Endpoint, text: &'a str, finish_reason: &'a str) -> Self {
        let is_chat = endpoint == Endpoint::ChatCompletions;
        let message = Message {
            role: "assistant",
            content: text,
        };
        Self {
            index: 0,
            text: (!is_chat).then_some(text),
            message: is_chat.then_some(message),
            logprobs: None,
            finish_reason,
        }
    }
}

fn unix_seconds() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.unwrap_or_default().as_secs()
}

//! One request's answer as it grows, readable from any position by any number of readers.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Instant;

use driftspring_engine_model::token_text;
use tokio::sync::watch;
use uuid::Uuid;

/// Which API the request came by.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ApiKind {
    /// `/v1/completions`.
    Completion,
    /// `/v1/chat/completions`.
    Chat,
}

/// How an answer ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AnswerEnd {
    /// All tokens were produced.
    Whole,
    /// It was cancelled, or the engine crashed.
    Broken,
}

/// How far an answer has come.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Progress {
    /// Prompt tokens found in the cache; known once the request runs.
    pub(crate) cached_tokens: Option<u32>,
    /// Tokens produced by this engine.
    pub(crate) produced: u32,
    /// How it ended.
    pub(crate) end: Option<AnswerEnd>,
}

/// What an answer is made of at the start.
#[derive(Debug)]
pub(crate) struct AnswerStart {
    pub(crate) request_id: Uuid,
    pub(crate) api: ApiKind,
    pub(crate) model: String,
    /// The prompt without the tokens of another engine.
    pub(crate) prompt: Arc<[u8]>,
    /// Tokens given by another engine before.
    pub(crate) first_sequence: u64,
    /// Tokens of the prompt, those of another engine included.
    pub(crate) prompt_tokens: u32,
    /// Seconds since the Unix epoch at which the request came.
    pub(crate) created: u64,
}

/// A request's answer.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) start: AnswerStart,
    progress: watch::Sender<Progress>,
    readers: AtomicUsize,
    /// Set when the last reader left, and when the answer ended.
    idle_since: std::sync::Mutex<Option<Instant>>,
}

impl Answer {
    /// The answer to a request that has just been taken.
    pub(crate) fn new(start: AnswerStart) -> Self {
        Self {
            start,
            progress: watch::Sender::new(Progress::default()),
            readers: AtomicUsize::new(0),
            idle_since: std::sync::Mutex::new(None),
        }
    }

    /// How far it has come.
    pub(crate) fn progress(&self) -> Progress {
        *self.progress.borrow()
    }

    /// Changes how far it has come, and tells its readers.
    pub(crate) fn update(&self, change: impl FnOnce(&mut Progress)) {
        self.progress.send_modify(change);
    }

    /// Waits until `reached` holds.
    pub(crate) async fn wait_for(&self, reached: impl FnMut(&Progress) -> bool) -> Progress {
        let mut progress = self.progress.subscribe();
        match progress.wait_for(reached).await {
            Ok(reached) => *reached,
            Err(_) => self.progress(),
        }
    }

    /// The text of the token `sequence`.
    pub(crate) fn token(&self, sequence: u64) -> String {
        token_text(&self.start.prompt, sequence)
    }

    /// The sequence number after the last token produced so far.
    pub(crate) fn next_sequence(&self) -> u64 {
        self.start.first_sequence + u64::from(self.progress().produced)
    }

    /// Since when nobody reads it.
    pub(crate) fn idle_since(&self) -> Option<Instant> {
        *self.idle_lock()
    }

    fn idle_lock(&self) -> std::sync::MutexGuard<'_, Option<Instant>> {
        self.idle_since
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

/// Somebody who reads an answer; dropped when the reader has all of it or hung up.
#[derive(Debug)]
pub(crate) struct Reader {
    pub(crate) answer: Arc<Answer>,
}

impl Reader {
    pub(crate) fn new(answer: Arc<Answer>) -> Self {
        answer.readers.fetch_add(1, Ordering::AcqRel);
        *answer.idle_lock() = None;
        Self { answer }
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        if self.answer.readers.fetch_sub(1, Ordering::AcqRel) == 1 {
            *self.answer.idle_lock() = Some(Instant::now());
        }
    }
}

//! One request open at one engine.

use std::sync::Arc;
use std::time::{Duration, Instant};

use driftspring_external::engine::{
    AnswerHead, AnswerItem, AnswerStream, EngineClient, EngineError, GenerateCall,
};
use driftspring_types::{EngineId, RequestId, RetrySafety};
use ntex::util::Bytes;

use super::choose_engine::EngineChoice;
use super::context::RequestContext;
use super::engine_table::UNKNOWN_INCARNATION;
use crate::state::{DaemonState, EngineEntry};

/// How long the rest of a whole answer may take to come, so that its connection can be used again.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(1);

/// The pause between two attempts to take up a stream that can't be continued elsewhere.
pub const RESUME_PAUSE: Duration = Duration::from_millis(100);

/// How long to try to take up a stream at its engine.
#[derive(Debug, Clone, Copy)]
pub struct ResumePatience {
    /// The wait for the headers of one call.
    pub one_call: Duration,
    /// When to give up.
    pub give_up_at: Instant,
}

impl ResumePatience {
    /// The patience that the settings and the deadline leave.
    pub fn new(daemon: &DaemonState, context: &RequestContext) -> Self {
        let settings = &daemon.settings.request;
        Self {
            one_call: settings.token_timeout.min(context.time_left()),
            give_up_at: context
                .deadline
                .min(Instant::now() + settings.first_token_timeout),
        }
    }
}

/// A request open at an engine.
pub struct Attempt {
    work: EngineWork,
    stream: AnswerStream,
    opened_at: Instant,
    has_answered: bool,
}

impl Attempt {
    /// Opens the request at the engine of `choice`; `patience` bounds the wait for its headers.
    pub async fn open(
        daemon: &DaemonState,
        client: &EngineClient,
        context: &RequestContext,
        choice: &EngineChoice,
        body: Bytes,
        patience: Duration,
    ) -> Result<Self, EngineError> {
        let opened_at = Instant::now();
        let mut work = EngineWork::begin(client, context, choice);
        let call = call_for(daemon, context, &choice.engine, body);
        let opened = match client.generate(&call, patience).await {
            Err(EngineError::Broken(_)) if !context.repeatable => {
                // It may be running: its answer can be had without running it again.
                let patience = ResumePatience::new(daemon, context);
                work.resume_patiently(0, patience).await
            }
            opened => opened,
        };
        match opened {
            Ok(stream) => Ok(Self {
                work,
                stream,
                opened_at,
                has_answered: false,
            }),
            Err(error) => {
                work.is_over = error.safety() == RetrySafety::NotRun;
                Err(error)
            }
        }
    }

    /// The engine's name.
    pub fn engine_id(&self) -> &EngineId {
        &self.work.engine.record.id
    }

    /// The engine.
    pub fn engine(&self) -> &EngineEntry {
        &self.work.engine
    }

    /// What the engine said about itself.
    pub fn head(&self) -> &AnswerHead {
        &self.stream.head
    }

    /// When the request was sent.
    pub fn opened_at(&self) -> Instant {
        self.opened_at
    }

    /// The next item of the stream, awaited for `patience` at the most.
    pub async fn next(&mut self, patience: Duration) -> Result<AnswerItem, EngineError> {
        self.stream.next(patience).await
    }

    /// The next item of the stream, where it has come already.
    pub fn next_buffered(&mut self) -> Result<Option<AnswerItem>, EngineError> {
        self.stream.next_buffered()
    }

    /// Whether the engine has begun to answer.
    pub fn has_answered(&self) -> bool {
        self.has_answered
    }

    /// Notes that the engine has begun to answer.
    pub fn answering(&mut self) {
        self.has_answered = true;
        self.work.answering();
    }

    /// Takes the stream up again at the same engine, from token `from` on.
    pub async fn resume(&mut self, from: u64, patience: Duration) -> Result<(), EngineError> {
        self.stream = self.work.resume(from, patience).await?;
        Ok(())
    }

    /// Tries [`Attempt::resume`] until it succeeds, the engine no longer has the request, or time is up.
    pub async fn resume_patiently(
        &mut self,
        from: u64,
        patience: ResumePatience,
    ) -> Result<(), EngineError> {
        self.stream = self.work.resume_patiently(from, patience).await?;
        Ok(())
    }

    /// Ends the attempt after a whole answer; reads the rest in the background, so that the connection can
    /// be used again.
    pub fn complete(mut self) {
        self.work.is_over = true;
        let mut stream = self.stream;
        ntex::rt::spawn(async move { while stream.next(DRAIN_TIMEOUT).await.is_ok() {} });
    }
}

fn call_for<'a>(
    daemon: &DaemonState,
    context: &'a RequestContext,
    engine: &'a EngineEntry,
    body: Bytes,
) -> GenerateCall<'a> {
    let expects = daemon.settings.mechanisms.expect_incarnation;
    let incarnation = engine.record.incarnation;
    let knows_incarnation = incarnation != UNKNOWN_INCARNATION;
    GenerateCall {
        address: &engine.record.address,
        endpoint: context.endpoint,
        request_id: context.id,
        priority: context.priority,
        cache_salt: &context.salt,
        use_cache: context.route.use_cache,
        expect_incarnation: (expects && knows_incarnation).then_some(incarnation),
        expect_weights: expects.then_some(context.weights_version),
        idempotency_key: context.idempotency.as_ref().map(|named| &named.key),
        tenant: &context.tenant.id,
        body,
        fresh_connection: !context.repeatable,
    }
}

/// The engine's work on a request: counted while it lasts, cancelled unless it is over.
struct EngineWork {
    client: EngineClient,
    engine: Arc<EngineEntry>,
    request_id: RequestId,
    /// Prompt tokens that the engine has yet to compute; 0 once it answers.
    pending_prefill_tokens: u32,
    is_over: bool,
}

impl EngineWork {
    fn begin(client: &EngineClient, context: &RequestContext, choice: &EngineChoice) -> Self {
        let prompt_tokens = context.fingerprint.prompt_tokens;
        let prefill_tokens = prompt_tokens.saturating_sub(choice.overlap.tokens());
        choice.engine.counters.dispatched(prefill_tokens);
        Self {
            client: client.clone(),
            engine: Arc::clone(&choice.engine),
            request_id: context.id,
            pending_prefill_tokens: prefill_tokens,
            is_over: false,
        }
    }

    async fn resume(&self, from: u64, patience: Duration) -> Result<AnswerStream, EngineError> {
        let address = &self.engine.record.address;
        self.client
            .resume(address, self.request_id, from, patience)
            .await
    }

    async fn resume_patiently(
        &self,
        from: u64,
        patience: ResumePatience,
    ) -> Result<AnswerStream, EngineError> {
        loop {
            let error = match self.resume(from, patience.one_call).await {
                Ok(stream) => return Ok(stream),
                Err(error) => error,
            };
            let is_gone = matches!(error, EngineError::UnexpectedStatus { .. });
            if is_gone || Instant::now() + RESUME_PAUSE >= patience.give_up_at {
                return Err(EngineError::Broken(format!("and not resumed: {error}")));
            }
            ntex::time::sleep(RESUME_PAUSE).await;
        }
    }

    fn answering(&mut self) {
        let computed = std::mem::take(&mut self.pending_prefill_tokens);
        self.engine.counters.first_token(computed);
    }

    fn cancel(&self) {
        let client = self.client.clone();
        let address = self.engine.record.address.clone();
        let request_id = self.request_id;
        ntex::rt::spawn(async move {
            // The engine also stops by itself once it notices the closed connection.
            let _ = client.cancel(&address, request_id).await;
        });
    }
}

impl Drop for EngineWork {
    fn drop(&mut self) {
        self.answering();
        self.engine.counters.ended();
        if !self.is_over {
            self.cancel();
        }
    }
}

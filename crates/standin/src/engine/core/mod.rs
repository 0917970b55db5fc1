//! The engine model with the books kept beside it. The caller holds the lock and passes the time.

mod bookkeeping;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use driftspring_engine_model::{EngineModel, EngineRequest, ModelTime, SequenceId};
use driftspring_prefix::BlockHash;
use driftspring_types::{EngineHealth, EngineLoad};
use uuid::Uuid;

use super::EngineStandinOptions;
use super::answer::{Answer, AnswerEnd, AnswerStart};
use super::events::EventLog;
use super::load_history::LoadHistory;
use super::orders::OrderBook;
use super::refusal::{Refusal, RefusalKind};
use super::request::{Expectations, RequestBody, RequestHeaders};
use super::run_log::{RunEnd, RunLogEntry};

/// Weights to be loaded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct WantedWeights {
    pub(crate) model: String,
    pub(crate) weights_version: u64,
}

/// A request that is not over.
#[derive(Debug)]
struct OpenRequest {
    answer: Arc<Answer>,
    run: RunLogEntry,
    /// Its place in the run log, once it runs.
    run_log_index: Option<usize>,
}

/// Everything of an engine that changes.
#[derive(Debug)]
pub(crate) struct EngineCore {
    pub(crate) model: EngineModel,
    pub(crate) incarnation: u64,
    pub(crate) weights_version: u64,
    pub(crate) health: EngineHealth,
    pub(crate) drained: bool,
    pub(crate) role: Option<String>,
    /// The weights ordered last, until they are loaded.
    pub(crate) wanted_weights: Option<WantedWeights>,
    pub(crate) events: EventLog,
    pub(crate) orders: OrderBook,
    /// The salt of each cached chain, by its first block.
    pub(crate) salts: HashMap<BlockHash, String>,
    model_name: String,
    report_sequence: u64,
    next_sequence_id: u64,
    open: HashMap<SequenceId, OpenRequest>,
    answers: HashMap<Uuid, Arc<Answer>>,
    run_log: Vec<RunLogEntry>,
    loads: LoadHistory,
}

impl EngineCore {
    pub(crate) fn new(options: &EngineStandinOptions) -> Self {
        Self {
            model: EngineModel::new(options.engine),
            incarnation: unix_ms(),
            weights_version: options.weights_version.0,
            health: EngineHealth::Serving,
            drained: false,
            role: None,
            wanted_weights: None,
            events: EventLog::new(seed_of(options.id.as_str())),
            orders: OrderBook::default(),
            salts: HashMap::new(),
            model_name: options.model.as_str().to_owned(),
            report_sequence: 0,
            next_sequence_id: 0,
            open: HashMap::new(),
            answers: HashMap::new(),
            run_log: Vec::new(),
            loads: LoadHistory::default(),
        }
    }

    /// Takes a request, or says why not.
    pub(crate) fn submit(
        &mut self,
        now: ModelTime,
        headers: RequestHeaders,
        body: &RequestBody,
    ) -> Result<Arc<Answer>, Refusal> {
        self.check(headers.expected)?;
        self.check_model(body)?;
        let fingerprint = body.fingerprint(&headers.salt);
        let answer = Arc::new(Answer::new(AnswerStart {
            request_id: headers.request_id,
            api: body.api,
            model: self.model_name.clone(),
            prompt: Arc::from(body.prompt.as_bytes()),
            first_sequence: body.continue_from.len() as u64,
            prompt_tokens: fingerprint.prompt_tokens,
            created: unix_ms() / 1_000,
        }));
        self.next_sequence_id += 1;
        let id = SequenceId(self.next_sequence_id);
        let first_block = fingerprint.blocks.first().copied();
        let request = EngineRequest {
            id,
            priority: headers.priority,
            blocks: fingerprint.blocks,
            prompt_tokens: fingerprint.prompt_tokens,
            max_tokens: body.max_tokens,
            use_cache: headers.use_cache,
        };
        if body.max_tokens == 0 {
            answer.update(|progress| {
                progress.cached_tokens = Some(0);
                progress.end = Some(AnswerEnd::Whole);
            });
            return Ok(answer);
        }
        let submitted = self.model.submit(now, request);
        submitted.map_err(|_| self.refusal(RefusalKind::Overloaded))?;
        if let Some(block) = first_block {
            self.salts.insert(block, headers.salt.clone());
        }
        let run = self.run_entry(headers, &answer);
        let open = OpenRequest {
            answer: Arc::clone(&answer),
            run,
            run_log_index: None,
        };
        self.open.insert(id, open);
        self.answers
            .insert(answer.start.request_id, Arc::clone(&answer));
        Ok(answer)
    }

    /// Whether the engine is what the caller relies on and takes requests.
    fn check(&self, expected: Expectations) -> Result<(), Refusal> {
        self.check_expectations(expected)?;
        let refused = match self.health {
            EngineHealth::Serving if self.drained => RefusalKind::Draining,
            EngineHealth::Serving => return Ok(()),
            EngineHealth::Leaving => RefusalKind::Leaving,
            EngineHealth::Loading | EngineHealth::Unreachable => RefusalKind::Loading,
        };
        Err(self.refusal(refused))
    }

    /// Whether the engine is what the caller relies on.
    pub(crate) fn check_expectations(&self, expected: Expectations) -> Result<(), Refusal> {
        let other = |expected: Option<u64>, own: u64| expected.is_some_and(|value| value != own);
        if other(expected.incarnation, self.incarnation) {
            return Err(self.refusal(RefusalKind::IncarnationMismatch));
        }
        if other(expected.weights_version, self.weights_version) {
            return Err(self.refusal(RefusalKind::WeightsMismatch));
        }
        Ok(())
    }

    fn check_model(&self, body: &RequestBody) -> Result<(), Refusal> {
        match &body.model {
            Some(model) if *model != self.model_name => {
                let message = format!("model {model:?} is not served here");
                Err(self.refusal(RefusalKind::InvalidRequest(message)))
            }
            _ => Ok(()),
        }
    }

    /// A refusal by this engine.
    pub(crate) fn refusal(&self, kind: RefusalKind) -> Refusal {
        Refusal {
            kind,
            incarnation: self.incarnation,
            weights_version: self.weights_version,
        }
    }

    fn run_entry(&self, headers: RequestHeaders, answer: &Answer) -> RunLogEntry {
        RunLogEntry {
            request_id: headers.request_id,
            idempotency_key: headers.idempotency_key,
            tenant: headers.tenant,
            salt: headers.salt,
            incarnation: self.incarnation,
            weights_version: self.weights_version,
            started_ms: 0,
            cached_tokens: 0,
            prompt_tokens: answer.start.prompt_tokens,
            tokens: 0,
            first_sequence: answer.start.first_sequence,
            ended: RunEnd::Running,
        }
    }

    /// The answer to the request `id`, as long as it is kept.
    pub(crate) fn answer(&self, id: Uuid) -> Option<Arc<Answer>> {
        self.answers.get(&id).map(Arc::clone)
    }

    /// Stops the work on the request `id`.
    pub(crate) fn cancel(&mut self, now: ModelTime, id: Uuid) {
        let mut open = self.open.iter();
        let found = open.find(|(_, request)| request.answer.start.request_id == id);
        if let Some(sequence) = found.map(|(sequence, _)| *sequence) {
            self.model.cancel(now, sequence);
        }
    }

    /// Lets the time pass; `event_loss_percent` of the cache events are lost.
    pub(crate) fn advance(&mut self, now: ModelTime, event_loss_percent: u8) {
        for output in self.model.advance(now) {
            self.book(output, event_loss_percent);
        }
        self.loads.note(self.model.load());
    }

    /// Loses everything but the logs, and begins a new life.
    pub(crate) fn crash(&mut self, now: ModelTime) {
        self.model.reset(now);
        self.advance(now, 0);
        self.answers.clear();
        self.salts.clear();
        self.incarnation = unix_ms().max(self.incarnation + 1);
        self.report_sequence = 0;
        self.health = EngineHealth::Serving;
        self.drained = false;
        self.wanted_weights = None;
        self.orders.forget_obeyed();
    }

    /// Serves with the wanted weights and an empty cache, if they are still those that were `loaded`.
    pub(crate) fn finish_load(&mut self, now: ModelTime, loaded: &WantedWeights) -> bool {
        if self.wanted_weights.as_ref() != Some(loaded) {
            return false;
        }
        self.wanted_weights = None;
        self.model.clear_cache(now);
        self.salts.clear();
        self.weights_version = loaded.weights_version;
        if self.health == EngineHealth::Loading {
            self.health = EngineHealth::Serving;
        }
        true
    }

    /// Whether a request is not over or its answer still being read.
    pub(crate) fn is_busy(&self) -> bool {
        let being_read = |answer: &Arc<Answer>| answer.idle_since().is_none();
        !self.open.is_empty() || self.answers.values().any(being_read)
    }

    /// Whether a request is not over.
    pub(crate) fn has_open_requests(&self) -> bool {
        !self.open.is_empty()
    }

    /// The next report's number and the load of `lag` ago.
    pub(crate) fn report(&mut self, lag: Duration) -> (u64, EngineLoad) {
        self.report_sequence += 1;
        self.loads.note(self.model.load());
        (self.report_sequence, self.loads.as_of(lag))
    }

    /// Every run so far.
    pub(crate) fn run_log(&self) -> &[RunLogEntry] {
        &self.run_log
    }
}

/// Milliseconds since the Unix epoch.
fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |duration| duration.as_millis() as u64)
}

fn seed_of(id: &str) -> u64 {
    id.bytes()
        .fold(0, |seed: u64, byte| seed.wrapping_mul(31) + u64::from(byte))
}

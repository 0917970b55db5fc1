//! Small histories written by hand. Times are milliseconds.
#![allow(dead_code)] // Each test binary uses its own part of these helpers.

use driftspring_check::{CheckSettings, Promise, Violation, check};
use driftspring_history::{
    Answer, ConfigOperation, ConfigProposal, ConfigResult, ConfigSettlement, ConfigWriter,
    Dispatch, Ending, Event, Fault, FaultTarget, History, Invocation, ObservedObject, OperationId,
    OrderLogEntry, RunEnd, RunLogEntry, StoreEra, StorePosition, StoreReturn, TimedEvent, Token,
    expected_tokens, prefix_blocks, prompt_hash,
};
use driftspring_types::{FencingToken, Incarnation, RequestId, Revision, WeightsVersion};
use uuid::Uuid;

/// Tokens in each answer.
pub const TOKENS: usize = 3;

pub fn request(number: u128) -> RequestId {
    RequestId(Uuid::from_u128(number))
}

/// The place of a revision in an era.
pub fn position(era: u64, revision: u64) -> StorePosition {
    StorePosition::new(StoreEra(era), Revision(revision))
}

/// Ten whole blocks of text.
pub fn prompt() -> Vec<u8> {
    (0..2560_u32).map(|place| (place / 7) as u8).collect()
}

#[derive(Default)]
pub struct Script {
    events: Vec<TimedEvent>,
}

impl Script {
    pub fn events(&self) -> &[TimedEvent] {
        &self.events
    }

    pub fn at(mut self, at_ms: u64, event: Event) -> Self {
        self.events.push(TimedEvent {
            at_us: at_ms * 1000,
            event,
        });
        self
    }

    pub fn invoke(self, at_ms: u64, number: u128) -> Self {
        self.at(at_ms, Event::Invoked(invocation(number)))
    }

    pub fn token(self, at_ms: u64, number: u128, sequence: u64, text_of: usize) -> Self {
        self.at(
            at_ms,
            Event::TokenReceived(token(number, sequence, text_of)),
        )
    }

    pub fn all_tokens(self, at_ms: u64, number: u128) -> Self {
        (0..TOKENS).fold(self, |script, token| {
            script.token(at_ms, number, token as u64, token)
        })
    }

    pub fn answer(self, at_ms: u64, number: u128, ending: Ending) -> Self {
        let answer = Answer {
            request_id: request(number),
            status: Some(200),
            ending,
            text: None,
            named_request_id: None,
        };
        self.at(at_ms, Event::Answered(answer))
    }

    pub fn run(self, at_ms: u64, number: u128, run: RunLogEntry) -> Self {
        let run = RunLogEntry {
            request_id: request(number),
            started_ms: at_ms,
            ..run
        };
        let engine = "engine-1".into();
        self.at(at_ms, Event::EngineRun { engine, run })
    }

    pub fn dispatch(self, at_ms: u64, number: u128, incarnation: u64, cached: u32) -> Self {
        let dispatch = Dispatch {
            daemon: "daemon-1".into(),
            request_id: request(number),
            engine: "engine-1".into(),
            tenant: "moreton".into(),
            incarnation: Incarnation(incarnation),
            weights_version: WeightsVersion(1),
            expected_cached_tokens: cached,
        };
        self.at(at_ms, Event::Dispatched(dispatch))
    }

    pub fn order(self, at_ms: u64, token: u64, accepted: bool) -> Self {
        let order = OrderLogEntry {
            fencing_token: FencingToken(token),
            order_id: format!("order-{at_ms}"),
            accepted,
        };
        let engine = "engine-1".into();
        self.at(at_ms, Event::EngineOrder { engine, order })
    }

    pub fn propose(self, at_ms: u64, number: u128, operation: ConfigOperation) -> Self {
        self.propose_by(ConfigWriter::Operator, at_ms, number, operation)
    }

    pub fn propose_by(
        self,
        writer: ConfigWriter,
        at_ms: u64,
        number: u128,
        operation: ConfigOperation,
    ) -> Self {
        let proposal = ConfigProposal {
            operation_id: OperationId(Uuid::from_u128(number)),
            client: format!("operator-{number}"),
            writer,
            key: "routes/depot".to_owned(),
            operation,
        };
        self.at(at_ms, Event::ConfigProposed(proposal))
    }

    /// The store returns in `era`, from a copy up to `copy`.
    pub fn store_returns(self, at_ms: u64, era: u64, copy: StorePosition) -> Self {
        let era = StoreEra(era);
        self.at(at_ms, Event::StoreReturned(StoreReturn { era, copy }))
    }

    pub fn settle(self, at_ms: u64, number: u128, result: ConfigResult) -> Self {
        let settlement = ConfigSettlement {
            operation_id: OperationId(Uuid::from_u128(number)),
            result,
        };
        self.at(at_ms, Event::ConfigAnswered(settlement))
    }

    pub fn observe(self, at_ms: u64, revision: u64) -> Self {
        self.observe_version(at_ms, StorePosition::unnamed(Revision(revision)), None)
    }

    pub fn observe_version(
        self,
        at_ms: u64,
        position: StorePosition,
        version: Option<u64>,
    ) -> Self {
        let observed = ObservedObject {
            daemon: "daemon-1".into(),
            incarnation: Incarnation(1),
            key: "routes/depot".to_owned(),
            position,
            version,
        };
        self.at(at_ms, Event::ConfigObserved(observed))
    }

    pub fn start_daemon(self, at_ms: u64, incarnation: u64) -> Self {
        let started = Event::DaemonStarted {
            daemon: "daemon-1".into(),
            incarnation: Incarnation(incarnation),
        };
        self.at(at_ms, started)
    }

    pub fn kill_daemon(self, at_ms: u64) -> Self {
        let target = FaultTarget::Daemon("daemon-1".into());
        let fault = Fault::Kill;
        self.at(at_ms, Event::FaultInjected { target, fault })
    }

    pub fn leave(self, at_ms: u64) -> Self {
        let engine = "engine-1".into();
        self.at(at_ms, Event::EngineLeaving { engine })
    }

    pub fn check(&self, promise: Promise) -> Result<(), Violation> {
        self.check_with(promise, &CheckSettings::default())
    }

    pub fn check_with(&self, promise: Promise, settings: &CheckSettings) -> Result<(), Violation> {
        check(promise, &History::new(self.events.clone()), settings)
    }

    /// Asserts that the check of `promise` fails at the event `event_index`.
    pub fn assert_broken(&self, promise: Promise, event_index: usize) {
        let violation = self.check(promise).expect_err("the history is bad");
        assert_eq!(
            (violation.promise, violation.event_index),
            (promise, event_index),
            "{violation}"
        );
    }

    pub fn assert_kept(&self, promise: Promise) {
        assert_eq!(self.check(promise), Ok(()));
    }
}

/// The token `text_of` of the right answer, numbered `sequence`.
pub fn token(number: u128, sequence: u64, text_of: usize) -> Token {
    Token {
        request_id: request(number),
        sequence: Some(sequence),
        named_request_id: Some(request(number)),
        text: expected_tokens(&prompt(), TOKENS + 1)[text_of].clone(),
    }
}

pub fn invocation(number: u128) -> Invocation {
    let prompt = prompt();
    Invocation {
        client: "client-1".to_owned(),
        request_id: request(number),
        daemon: Some("daemon-1".into()),
        tenant: "moreton".into(),
        model: "spec-reader".into(),
        idempotency_key: None,
        repeatable: true,
        prompt_hash: prompt_hash(&prompt),
        prefix_blocks: prefix_blocks(&prompt),
        expected_tokens: Some(expected_tokens(&prompt, TOKENS)),
    }
}

/// A whole run in life 1 with weights 1 and `cached_tokens` taken from the cache.
pub fn run_with_cached(cached_tokens: u32) -> RunLogEntry {
    RunLogEntry {
        request_id: request(0),
        idempotency_key: None,
        tenant: Some("moreton".into()),
        salt: None,
        incarnation: Incarnation(1),
        weights_version: WeightsVersion(1),
        started_ms: 0,
        cached_tokens,
        prompt_tokens: 640,
        tokens: TOKENS as u32,
        ended: RunEnd::Completed,
    }
}

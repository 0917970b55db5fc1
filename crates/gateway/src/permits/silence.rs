//! Tracks which issuers of permits don't answer.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use driftspring_clock::Instant;

/// How long to wait for an answer. A round trip between zones takes 3 ms, and a machine with 0.12 of a core may
/// lag by some ten milliseconds.
pub const PERMIT_ANSWER_TIMEOUT: Duration = Duration::from_millis(100);

/// Time after which a silent issuer is asked again. It doubles with each further query.
const INITIAL_BACKOFF: Duration = Duration::from_secs(1);

/// Upper limit of that time. Machines that are gone for good stay listed.
const MAX_BACKOFF: Duration = Duration::from_secs(30);

/// Time between two queries that only probe whether a gateway is alive.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Queries that were sent since the last answer.
#[derive(Debug)]
struct Unanswered {
    first_sent_at: Instant,
    last_sent_at: Instant,
    /// Number of queries that were sent after the gateway was found silent.
    retries: u32,
}

impl Unanswered {
    fn silence(&self, now: Instant) -> Option<Duration> {
        let silence = now.saturating_duration_since(self.first_sent_at);
        (silence >= PERMIT_ANSWER_TIMEOUT).then_some(silence)
    }

    fn backoff(&self) -> Duration {
        let backoff = INITIAL_BACKOFF.saturating_mul(1 << self.retries.min(5));
        backoff.min(MAX_BACKOFF)
    }
}

/// The gateways with unanswered queries, by the digest of their names.
#[derive(Debug, Default)]
pub struct SilentIssuers {
    unanswered: RefCell<HashMap<u64, Unanswered>>,
}

impl SilentIssuers {
    /// Records that a query is sent to a gateway.
    pub fn record_query(&self, gateway: u64, now: Instant) {
        let mut unanswered = self.unanswered.borrow_mut();
        let queries = unanswered.entry(gateway).or_insert(Unanswered {
            first_sent_at: now,
            last_sent_at: now,
            retries: 0,
        });
        if queries.silence(now).is_some() {
            queries.retries = queries.retries.saturating_add(1);
        }
        queries.last_sent_at = now;
    }

    /// Records that a gateway has answered.
    pub fn record_answer(&self, gateway: u64) {
        self.unanswered.borrow_mut().remove(&gateway);
    }

    /// Whether a gateway is skipped, because it is silent and not due to be asked again.
    pub fn is_silent(&self, gateway: u64, now: Instant) -> bool {
        let unanswered = self.unanswered.borrow();
        unanswered.get(&gateway).is_some_and(|queries| {
            let is_in_backoff = now < queries.last_sent_at + queries.backoff();
            queries.silence(now).is_some() && is_in_backoff
        })
    }

    /// For how long a gateway has left queries unanswered, if it is silent.
    pub fn silent_for(&self, gateway: u64, now: Instant) -> Option<Duration> {
        self.unanswered.borrow().get(&gateway)?.silence(now)
    }

    /// Whether a gateway is due to be probed.
    pub fn may_probe(&self, gateway: u64, now: Instant) -> bool {
        let unanswered = self.unanswered.borrow();
        unanswered
            .get(&gateway)
            .is_none_or(|queries| now >= queries.last_sent_at + PROBE_INTERVAL)
    }
}

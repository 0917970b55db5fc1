//! The replicas with notices.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use driftspring_clock::Instant;

use super::replica_notices::ReplicaNotices;
use crate::metrics::GatewayMetrics;
use crate::replicas::{Registry, Replica};

/// How long a survey is reused. It goes through all replicas, of which there may be ten thousand.
pub const SURVEY_MAX_AGE: Duration = Duration::from_secs(1);

/// The replicas that have reported something about themselves.
#[derive(Debug, Default)]
pub struct NoticeSurvey {
    surveyed_at: Cell<Option<Instant>>,
    replicas: RefCell<Rc<Vec<Rc<Replica>>>>,
}

impl NoticeSurvey {
    /// The replicas of `registry` with notices, at most [`SURVEY_MAX_AGE`] old. Updates their counts in
    /// `metrics`.
    pub fn replicas(&self, registry: &Registry, metrics: &GatewayMetrics) -> Rc<Vec<Rc<Replica>>> {
        let now = Instant::now();
        let is_current = |at: Instant| now.saturating_duration_since(at) < SURVEY_MAX_AGE;
        if !self.surveyed_at.get().is_some_and(is_current) {
            self.surveyed_at.set(Some(now));
            let all = registry.all();
            metrics.speed.update(&all);
            let with_notices = all.into_iter().filter(|replica| replica.notices.has_any());
            self.replicas.replace(Rc::new(with_notices.collect()));
            self.count(metrics);
        }
        Rc::clone(&self.replicas.borrow())
    }

    fn count(&self, metrics: &GatewayMetrics) {
        let count = |has: fn(&ReplicaNotices) -> bool| {
            let replicas = self.replicas.borrow();
            let with_it = replicas.iter().filter(|replica| has(&replica.notices));
            i64::try_from(with_it.count()).unwrap_or(i64::MAX)
        };
        metrics
            .replicas_limited
            .set(count(|notices| notices.limit().is_some()));
        metrics
            .replicas_resting
            .set(count(|notices| notices.is_cooling_down(Instant::now())));
        metrics
            .replicas_leaving
            .set(count(ReplicaNotices::has_announced_leaving));
    }
}

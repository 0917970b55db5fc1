//! Past loads, from which reports with a lag are made.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use driftspring_types::EngineLoad;

/// The longest lag that can be shown.
const KEPT: Duration = Duration::from_secs(60);

/// The loads of the last minute.
#[derive(Debug, Default)]
pub(crate) struct LoadHistory {
    loads: VecDeque<(Instant, EngineLoad)>,
}

impl LoadHistory {
    /// Notes the present load.
    pub(crate) fn note(&mut self, load: EngineLoad) {
        if self.loads.back().is_some_and(|(_, newest)| *newest == load) {
            return;
        }
        self.loads.push_back((Instant::now(), load));
        while self.loads.len() > 1 && self.loads[1].0.elapsed() > KEPT {
            self.loads.pop_front();
        }
    }

    /// The load as it was `lag` ago, or the oldest one known.
    pub(crate) fn as_of(&self, lag: Duration) -> EngineLoad {
        let old_enough = self
            .loads
            .iter()
            .rev()
            .find(|(noted, _)| noted.elapsed() >= lag);
        let load = old_enough.or(self.loads.front());
        load.map(|(_, load)| *load).unwrap_or_default()
    }
}

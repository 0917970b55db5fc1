//! An engine that is leaving gets no new work once the bound is over: neither does a daemon send it
//! a request, nor does the engine begin to run one.

use std::collections::HashMap;

use driftspring_history::{Event, History};
use driftspring_types::EngineId;

use crate::requests::runs;
use crate::settings::{CheckSettings, microseconds};
use crate::violation::{Promise, Violation, first};

/// A time during which an engine may get no new work, in microseconds since the Unix epoch.
#[derive(Debug, Clone, Copy)]
struct Ban {
    from_us: u64,
    until_us: u64,
}

impl Ban {
    fn holds_at(&self, at_us: u64) -> bool {
        self.from_us < at_us && at_us < self.until_us
    }
}

/// Checks the promise.
pub fn check(history: &History, settings: &CheckSettings) -> Result<(), Violation> {
    let bans = bans(history, microseconds(settings.leaving_bound));
    let banned = |engine: &EngineId, at_us: u64| {
        let bans = bans.get(engine)?;
        bans.iter().find(|ban| ban.holds_at(at_us))
    };
    let dispatches = history.iter().filter_map(|(index, at_us, event)| {
        let Event::Dispatched(dispatch) = event else {
            return None;
        };
        let ban = banned(&dispatch.engine, at_us)?;
        Some(Violation::new(
            Promise::Leaving,
            index,
            format!(
                "daemon {} sent request {} to the leaving engine {} {} ms after the bound",
                dispatch.daemon,
                dispatch.request_id,
                dispatch.engine,
                (at_us - ban.from_us) / 1000
            ),
        ))
    });
    let runs = runs(history).filter_map(|run| {
        let ban = banned(run.engine, run.started_us())?;
        Some(Violation::new(
            Promise::Leaving,
            run.index,
            format!(
                "the leaving engine {} began request {} {} ms after the bound",
                run.engine,
                run.run.request_id,
                (run.started_us() - ban.from_us) / 1000
            ),
        ))
    });
    first(dispatches.chain(runs))
}

/// When each engine may get no new work: from the bound after it began to leave until it returns.
fn bans(history: &History, bound_us: u64) -> HashMap<&EngineId, Vec<Ban>> {
    let mut bans: HashMap<&EngineId, Vec<Ban>> = HashMap::new();
    for (_, at_us, event) in history.iter() {
        match event {
            Event::EngineLeaving { engine } => {
                let engine_bans = bans.entry(engine).or_default();
                let already_leaving = engine_bans
                    .last()
                    .is_some_and(|ban| ban.until_us == u64::MAX);
                if !already_leaving {
                    engine_bans.push(Ban {
                        from_us: at_us.saturating_add(bound_us),
                        until_us: u64::MAX,
                    });
                }
            }
            Event::EngineReturned { engine } | Event::EngineStarted { engine, .. } => {
                if let Some(ban) = bans.get_mut(engine).and_then(|bans| bans.last_mut()) {
                    ban.until_us = ban.until_us.min(at_us);
                }
            }
            _ => {}
        }
    }
    bans
}

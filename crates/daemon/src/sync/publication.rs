//! Publishes members and engines to the request path.

use std::sync::Arc;
use std::time::Duration;

use driftspring_membership::Membership;

use crate::state::DaemonState;

/// Least time between two publications; a first one comes at once.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(100);

/// How often members are looked at without any change, since a zone falls silent without one.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// What was published last.
#[derive(Debug, Default)]
pub struct Publication {
    members_version: Option<u64>,
    members_at: Duration,
    engines_version: u64,
    engines_at: Duration,
}

impl Publication {
    /// Publishes what has changed since the last call, at most once per interval.
    pub fn publish(&mut self, state: &DaemonState, membership: &Membership, now: Duration) {
        self.publish_members(state, membership, now);
        self.publish_engines(state, membership, now);
    }

    fn publish_members(&mut self, state: &DaemonState, membership: &Membership, now: Duration) {
        let version = membership.members().version();
        let elapsed = now.saturating_sub(self.members_at);
        let is_first = self.members_version.is_none();
        let has_changed = self.members_version != Some(version) && elapsed >= PUBLISH_INTERVAL;
        if !is_first && !has_changed && elapsed < SILENCE_CHECK_INTERVAL {
            return;
        }
        self.members_version = Some(version);
        self.members_at = now;
        let view = membership.view(now);
        if **state.members.load() != view {
            state.members.store(Arc::new(view));
        }
    }

    fn publish_engines(&mut self, state: &DaemonState, membership: &Membership, now: Duration) {
        let version = membership.engines().version();
        let elapsed = now.saturating_sub(self.engines_at);
        let is_due = self.engines_version == 0 || elapsed >= PUBLISH_INTERVAL;
        if version == self.engines_version || !is_due {
            return;
        }
        self.engines_version = version;
        self.engines_at = now;
        state
            .engines
            .rcu(|published| published.rebuilt(membership.engines().iter(), now));
        let engines = state.engines.load();
        let directory = &state.routing.directory;
        directory.retain(|engine| engines.get(engine).is_some());
    }
}

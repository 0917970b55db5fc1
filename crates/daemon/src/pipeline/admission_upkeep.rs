//! Keeps the admission up to date: how many daemons share a tenant's limits, and which tenants there are.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use driftspring_types::{ConfigView, MemberState, TenantId};
use ntex::time::sleep;

use crate::state::DaemonState;

/// How often members and tenants are looked at.
const LOOK_INTERVAL: Duration = Duration::from_millis(250);

/// Runs until the process ends.
pub async fn run(state: Arc<DaemonState>) {
    let mut config = state.config.load_full();
    while !state.is_terminated() {
        count_daemons(&state);
        let present = state.config.load_full();
        if !Arc::ptr_eq(&present, &config) {
            forget_removed_tenants(&state, &present);
            config = present;
        }
        sleep(LOOK_INTERVAL).await;
    }
}

fn count_daemons(state: &DaemonState) {
    let members = state.members.load();
    let others = members
        .iter()
        .filter(|member| member.id != state.settings.id && member.state == MemberState::Alive);
    let live = u32::try_from(others.count() + 1).unwrap_or(u32::MAX);
    state.admission.set_live_daemons(live);
}

fn forget_removed_tenants(state: &DaemonState, config: &ConfigView) {
    let tenants = config.tenants_by_key.values();
    let known: HashSet<&TenantId> = tenants.map(|tenant| &tenant.id).collect();
    state
        .admission
        .retain_tenants(|tenant| known.contains(tenant));
}

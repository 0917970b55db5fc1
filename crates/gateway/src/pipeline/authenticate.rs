//! Filter: finds the tenant that holds a request's key.

use std::sync::Arc;
use std::time::Duration;

use super::find_route::{DENIAL_PATIENCE, denial_currency};
use super::refusal::{Reason, Refusal, Step};
use crate::configuration::{Route, Tenant};
use crate::state::GatewayState;

/// How much earlier than allowed a proof counts as too old, for the way of a request to its replica.
const CURRENCY_MARGIN: Duration = Duration::from_millis(300);

/// The tenant; none where the route or the configuration asks for no key.
pub async fn authenticate(
    state: &GatewayState,
    route: &Route,
    key: Option<&str>,
) -> Result<Option<Arc<Tenant>>, Refusal> {
    let needs_key = || {
        let configuration = state.configuration.load();
        let needs_keys = configuration
            .as_ref()
            .is_some_and(|known| known.needs_keys());
        needs_keys && !route.is_public
    };
    if !needs_key() {
        return Ok(None);
    }
    check_currency(state).await?;
    let look_up = || {
        let configuration = state.configuration.load_full()?;
        configuration.tenant(key?).cloned()
    };
    if let Some(tenant) = look_up() {
        return Ok(Some(tenant));
    }
    let is_confirmed = state
        .currency
        .confirm(denial_currency(state), DENIAL_PATIENCE)
        .await;
    match (look_up(), is_confirmed) {
        (Some(tenant), _) => Ok(Some(tenant)),
        (None, true) => Err(refused(Reason::UnknownKey, "no tenant holds the key")),
        (None, false) => Err(refused(Reason::NotInformed, "no current configuration")),
    }
}

/// A key may have been taken away since the configuration was last known to be current.
async fn check_currency(state: &GatewayState) -> Result<(), Refusal> {
    let Some(allowed) = state.times.get().key_currency else {
        return Ok(());
    };
    let allowed = allowed.saturating_sub(CURRENCY_MARGIN);
    if state.currency.is_within(allowed) {
        return Ok(());
    }
    match state.currency.confirm(allowed, DENIAL_PATIENCE).await {
        true => Ok(()),
        false => Err(refused(
            Reason::NotInformed,
            "the keys are not known to be current",
        )),
    }
}

fn refused(reason: Reason, detail: &str) -> Refusal {
    Refusal::new(Step::Authenticate, reason, detail)
}

//! Sends orders to engines under the control lease.

use std::cell::Cell;
use std::time::Duration;

use driftspring_external::engine::{
    EngineClient, EngineOrder, EngineTimeouts, OrderAnswer, OrderRequest,
};
use driftspring_telemetry::events::control;
use driftspring_telemetry::log_event;
use driftspring_types::{EngineId, FencingToken};
use uuid::Uuid;

use super::lease_task::ControlLease;

/// How long the calls to engines may take; below a lease's term, so that no order waits for long.
const ENGINE_TIMEOUTS: EngineTimeouts = EngineTimeouts {
    connect: Duration::from_millis(300),
    call: Duration::from_secs(1),
};

/// The token of orders while fencing is switched off: engines refuse none of them.
const UNFENCED_TOKEN: FencingToken = FencingToken(u64::MAX);

/// What became of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine took it.
    Accepted,
    /// The engine never will: it has seen the token of a later holder, or was never reached.
    NotTaken,
    /// The engine may have taken it, or may yet.
    Unknown,
    /// It was not sent, since the lease is not held.
    NoLease,
}

/// Sends orders; belongs to the thread that made it.
pub struct Orders {
    lease: ControlLease,
    client: EngineClient,
    is_fenced: bool,
    next_number: Cell<u64>,
}

impl Orders {
    /// A sender of orders under `lease`. Must be made on an ntex thread.
    pub async fn new(lease: ControlLease, is_fenced: bool) -> anyhow::Result<Self> {
        Ok(Self {
            lease,
            client: EngineClient::new(ENGINE_TIMEOUTS).await?,
            is_fenced,
            next_number: Cell::new(0),
        })
    }

    /// The token under which this daemon may act now.
    pub fn token(&self) -> Option<FencingToken> {
        self.lease.token()
    }

    /// The client of engines, for calls that are no orders.
    pub fn client(&self) -> &EngineClient {
        &self.client
    }

    /// Sends one order if the lease is held at this moment under `token`.
    pub async fn send(
        &self,
        engine: &EngineId,
        address: &str,
        token: FencingToken,
        order: EngineOrder,
    ) -> OrderOutcome {
        let request = self.request(token, order);
        // Nothing may come between this check and the call.
        if self.lease.token() != Some(token) {
            return OrderOutcome::NoLease;
        }
        let order = &request.order;
        match self.client.order(address, &request).await {
            Ok(OrderAnswer::Accepted) => {
                log_event!(
                    control::ORDER_TAKEN,
                    "engine={engine} token={token} order={order:?}"
                );
                OrderOutcome::Accepted
            }
            Ok(OrderAnswer::Fenced { highest_token }) => {
                log_event!(
                    control::ORDER_FENCED,
                    "engine={engine} token={token} highest_token={highest_token}"
                );
                OrderOutcome::NotTaken
            }
            Err(error) => {
                log_event!(
                    control::ORDER_FAILED,
                    "engine={engine} order={order:?} error={error}"
                );
                match error.safety() {
                    driftspring_types::RetrySafety::NotRun => OrderOutcome::NotTaken,
                    driftspring_types::RetrySafety::MayHaveRun => OrderOutcome::Unknown,
                }
            }
        }
    }

    /// An order whose name tells the lease's token and its number under it.
    fn request(&self, token: FencingToken, order: EngineOrder) -> OrderRequest {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        OrderRequest {
            fencing_token: match self.is_fenced {
                true => token,
                false => UNFENCED_TOKEN,
            },
            order_id: Uuid::from_u64_pair(token.0, number),
            order,
        }
    }
}

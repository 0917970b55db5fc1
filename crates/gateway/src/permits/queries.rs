//! Queries for permits, and the requests that wait for their answers.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::time::Duration;

use tokio::sync::{Notify, oneshot};

use super::silence::PERMIT_ANSWER_TIMEOUT;
use crate::peers::message::{WirePermitQuery, WirePermitReply};
use crate::protocol::RequestRate;
use crate::replicas::Replica;
use crate::state::GatewayState;

/// Limit of the pending queries. Beyond it none are sent, and they count as unanswered.
const MAX_PENDING: usize = 4096;

/// A query to an issuer.
#[derive(Debug, Clone)]
pub struct PermitQuery {
    incarnation: u64,
    rate: Option<RequestRate>,
}

impl PermitQuery {
    /// Asks for a permit.
    pub fn for_permit(replica: &Replica, rate: RequestRate) -> Self {
        Self {
            incarnation: replica.incarnation_hash,
            rate: Some(rate),
        }
    }

    /// Asks only whether the gateway is alive.
    pub fn probe() -> Self {
        Self {
            incarnation: 0,
            rate: None,
        }
    }
}

/// The queries of this gateway.
#[derive(Debug, Default)]
pub struct PermitQueries {
    last_nonce: Cell<u64>,
    pending: RefCell<HashMap<u64, oneshot::Sender<WirePermitReply>>>,
    outbox: RefCell<Vec<(WirePermitQuery, String)>>,
    /// Wakes the task that sends the queries.
    pub outbox_changed: Notify,
}

impl PermitQueries {
    /// Takes the queries to be sent, with their destinations.
    pub fn take_outbox(&self) -> Vec<(WirePermitQuery, String)> {
        self.outbox.take()
    }

    /// Completes the query that this answers. A late answer is dropped, as its request has gone elsewhere.
    pub fn complete(&self, reply: WirePermitReply) {
        let pending = self.pending.borrow_mut().remove(&reply.nonce);
        if let Some(pending) = pending {
            // The receiver is gone if its request was dropped.
            let _ = pending.send(reply);
        }
    }

    fn enqueue(
        &self,
        query: &PermitQuery,
        to: &str,
    ) -> Option<(u64, oneshot::Receiver<WirePermitReply>)> {
        let mut pending = self.pending.borrow_mut();
        if pending.len() >= MAX_PENDING {
            return None;
        }
        let nonce = self.last_nonce.get().wrapping_add(1);
        self.last_nonce.set(nonce);
        let (sender, receiver) = oneshot::channel();
        pending.insert(nonce, sender);
        let message = WirePermitQuery {
            nonce,
            incarnation: query.incarnation,
            limit_thousandths: query.rate.map(RequestRate::thousandths),
        };
        self.outbox.borrow_mut().push((message, to.to_owned()));
        self.outbox_changed.notify_one();
        Some((nonce, receiver))
    }
}

/// Removes a pending query, even if its request is dropped in the meantime.
struct PendingQueryGuard<'a> {
    queries: &'a PermitQueries,
    nonce: u64,
}

impl Drop for PendingQueryGuard<'_> {
    fn drop(&mut self) {
        self.queries.pending.borrow_mut().remove(&self.nonce);
    }
}

/// Asks a gateway. Returns `None` if it does not answer in time.
pub(super) async fn ask(
    state: &GatewayState,
    query: PermitQuery,
    to: &str,
) -> Option<Result<(), Duration>> {
    let queries = &state.permits.queries;
    let (nonce, answer) = queries.enqueue(&query, to)?;
    let _guard = PendingQueryGuard { queries, nonce };
    let reply = tokio::time::timeout(PERMIT_ANSWER_TIMEOUT, answer).await;
    let reply = reply.ok()?.ok()?;
    Some(match reply.is_granted {
        true => Ok(()),
        false => Err(Duration::from_millis(reply.wait_ms)),
    })
}

//! Questions for permits that wait for their answers.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::time::Duration;

use tokio::sync::{Notify, oneshot};

use super::silence::PATIENCE;
use crate::peers::message::{WirePermitQuery, WirePermitReply};
use crate::protocol::RequestRate;
use crate::replicas::Replica;
use crate::state::GatewayState;

/// Questions that wait at once; more are not asked, and count as unanswered.
const MAX_WAITING: usize = 4096;

/// What is asked.
#[derive(Debug, Clone)]
pub struct Question {
    life: u64,
    rate: Option<RequestRate>,
}

impl Question {
    /// Asks for a permit.
    pub fn of(replica: &Replica, rate: RequestRate) -> Self {
        Self {
            life: replica.life_hash,
            rate: Some(rate),
        }
    }

    /// Asks only whether the daemon is there.
    pub fn probe() -> Self {
        Self {
            life: 0,
            rate: None,
        }
    }
}

/// The questions of this daemon.
#[derive(Debug, Default)]
pub struct PermitQuestions {
    last_nonce: Cell<u64>,
    waiting: RefCell<HashMap<u64, oneshot::Sender<WirePermitReply>>>,
    outbox: RefCell<Vec<(WirePermitQuery, String)>>,
    /// Wakes the task that sends them.
    pub asked: Notify,
}

impl PermitQuestions {
    /// The questions to be sent, with their receivers.
    pub fn take_outbox(&self) -> Vec<(WirePermitQuery, String)> {
        self.outbox.take()
    }

    /// Takes in an answer. One that comes too late is of no use: its request has gone elsewhere.
    pub fn answer(&self, told: WirePermitReply) {
        let waiting = self.waiting.borrow_mut().remove(&told.nonce);
        if let Some(waiting) = waiting {
            // Who asked may have gone.
            let _ = waiting.send(told);
        }
    }

    fn begin(
        &self,
        question: &Question,
        to: &str,
    ) -> Option<(u64, oneshot::Receiver<WirePermitReply>)> {
        let mut waiting = self.waiting.borrow_mut();
        if waiting.len() >= MAX_WAITING {
            return None;
        }
        let nonce = self.last_nonce.get().wrapping_add(1);
        self.last_nonce.set(nonce);
        let (sender, receiver) = oneshot::channel();
        waiting.insert(nonce, sender);
        let ask = WirePermitQuery {
            nonce,
            incarnation: question.life,
            limit_thousandths: question.rate.map(RequestRate::thousandths),
        };
        self.outbox.borrow_mut().push((ask, to.to_owned()));
        self.asked.notify_one();
        Some((nonce, receiver))
    }
}

/// Removes a question that waits, also where its request is dropped meanwhile.
struct Waiting<'a> {
    questions: &'a PermitQuestions,
    nonce: u64,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.questions.waiting.borrow_mut().remove(&self.nonce);
    }
}

/// Asks a daemon; nothing where it does not answer in time.
pub(super) async fn ask(
    state: &GatewayState,
    question: Question,
    to: &str,
) -> Option<Result<(), Duration>> {
    let questions = &state.permits.questions;
    let (nonce, answer) = questions.begin(&question, to)?;
    let _waiting = Waiting { questions, nonce };
    let told = tokio::time::timeout(PATIENCE, answer).await;
    let told = told.ok()?.ok()?;
    Some(match told.is_granted {
        true => Ok(()),
        false => Err(Duration::from_millis(told.wait_ms)),
    })
}

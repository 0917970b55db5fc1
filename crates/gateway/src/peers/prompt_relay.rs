//! Reports dispatched prompts between groups of gateways.
//!
//! Every gateway reports its prompts to its group. Between groups that would take too many datagrams, so the leader of
//! each group acts as its relay: it sends the prompts of its group in batches to the relays of the other groups, which
//! forward them to their members. The cost of a lost batch is that prompts are prefilled again, and that streams are not
//! counted for as long as they run.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;

use super::known::{MAX_PROMPTS, MIN_REPORTED_TOKENS};
use super::message::{Message, OtherGroupPrompts, Report, WirePrompt};
use super::news::send_to_other_groups;
use super::socket::PeerSocket;
use super::spread::spread;
use crate::state::GatewayState;

/// How long prompts are batched. They also show the load of replicas, so this is short compared with the 600 ms within
/// which a prompt should be prefilled (one simulation of a grown deployment: worth 0.5745, with 100 ms 0.5639).
const BATCH_DELAY: Duration = Duration::from_millis(40);

/// The number of datagrams in a batch; further prompts are dropped. 120 prompts in 40 ms are 3,000 per second.
const MAX_DATAGRAMS: usize = 8;

/// The number of prompts in a batch up to which streams below [`MIN_REPORTED_TOKENS`] are added: half of it, so that many
/// short streams don't displace the long prompts.
const MAX_SHORT_STREAMS: usize = MAX_PROMPTS * MAX_DATAGRAMS / 2;

/// The pending batches of a relay.
#[derive(Debug, Default)]
pub struct PromptRelay {
    is_relay: Cell<bool>,
    /// Wakes the task that sends the batches.
    gathered: Notify,
    /// Prompts of the own group, for the other groups.
    outgoing: RefCell<Vec<WirePrompt>>,
    /// Prompts of other groups, for the own group.
    incoming: RefCell<Vec<WirePrompt>>,
}

/// A batch of prompts.
#[derive(Debug, PartialEq, Eq)]
pub struct Batch {
    /// For the other groups.
    pub outgoing: Vec<WirePrompt>,
    /// For the members of the own group.
    pub incoming: Vec<WirePrompt>,
}

impl PromptRelay {
    /// Records whether this gateway is the relay of its group.
    pub fn set_relay(&self, is_relay: bool) {
        self.is_relay.set(is_relay);
    }

    /// Adds a prompt of the own group to the next batch, if this gateway is the relay.
    pub fn gather(&self, prompt: &WirePrompt) {
        let is_relayed =
            prompt.tokens >= MIN_REPORTED_TOKENS || prompt.is_stream_with_pause_target();
        if self.is_relay.get() && is_relayed {
            self.push(&self.outgoing, prompt);
        }
    }

    /// Adds prompts of another group to the next batch for the members of the own group.
    pub fn forward_to_group(&self, prompts: &[WirePrompt]) {
        for prompt in prompts {
            self.push(&self.incoming, prompt);
        }
    }

    /// Waits for a prompt, then for [`BATCH_DELAY`], and returns the batch.
    pub async fn next_batch(&self) -> Batch {
        self.gathered.notified().await;
        tokio::time::sleep(BATCH_DELAY).await;
        Batch {
            outgoing: self.outgoing.take(),
            incoming: self.incoming.take(),
        }
    }

    fn push(&self, batch: &RefCell<Vec<WirePrompt>>, prompt: &WirePrompt) {
        let mut batch = batch.borrow_mut();
        let is_short = prompt.tokens < MIN_REPORTED_TOKENS;
        let limit = match is_short && prompt.is_stream_with_pause_target() {
            true => MAX_SHORT_STREAMS,
            false => MAX_PROMPTS * MAX_DATAGRAMS,
        };
        if batch.len() < limit {
            batch.push(prompt.clone());
            self.gathered.notify_one();
        }
    }
}

/// Sends the batches in an endless loop.
pub(super) async fn run(state: Rc<GatewayState>, socket: Rc<PeerSocket>) {
    loop {
        let batch = state.peers.prompt_relay.next_batch().await;
        for prompts in batch.incoming.chunks(MAX_PROMPTS) {
            spread(&state, &socket, Report::Prompts(prompts.to_vec())).await;
        }
        for prompts in batch.outgoing.chunks(MAX_PROMPTS) {
            let message = Message::OtherGroupPrompts(OtherGroupPrompts {
                prompts: prompts.to_vec(),
                zone: state.peers.own().zone.clone(),
            });
            send_to_other_groups(&state, &socket, &message).await;
        }
    }
}

//! Reports prompts between groups of daemons.
//!
//! Within a group every daemon sends its prompts to all others. Between groups that would be too many
//! datagrams, so the first in rank of each group is its relay: it sends the prompts of its group in batches to
//! the relays of the other groups, which forward them to their members. A lost batch costs a prompt that is
//! read again, nothing else.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use super::known::{LEAST_REPORTED_TOKENS, MAX_PROMPTS};
use super::message::{FarPrompts, Message, WirePrompt};
use super::send::{send, send_to_group};
use super::source::{other_groups_first, ranked_group};
use crate::state::GatewayState;

/// How long prompts are gathered into a batch. They also show how busy replicas are, so this is short against
/// the 600 ms in which a prompt should be read (grown site, seed 101: worth 0.5745, with 100 ms 0.5639).
const GATHERING: Duration = Duration::from_millis(40);

/// Datagrams of one batch; more prompts are dropped. 54 prompts in 40 ms are 1,350 a second for a group.
const MAX_DATAGRAMS: usize = 3;

/// The batches of a relay.
#[derive(Debug, Default)]
pub(super) struct FarExchange {
    is_relay: Cell<bool>,
    /// Prompts of the own group, for the other groups.
    outgoing: RefCell<Vec<WirePrompt>>,
    /// Prompts of other groups, for the own group.
    incoming: RefCell<Vec<WirePrompt>>,
}

impl FarExchange {
    /// Adds a prompt of the own group to the next batch, where this daemon is the relay.
    pub(super) fn gather(&self, prompt: &WirePrompt) {
        if self.is_relay.get() && prompt.tokens >= LEAST_REPORTED_TOKENS {
            push(&self.outgoing, prompt);
        }
    }

    /// Adds prompts of another group to the next batch for the members of the own group.
    pub(super) fn pass_on(&self, prompts: &[WirePrompt]) {
        for prompt in prompts {
            push(&self.incoming, prompt);
        }
    }
}

fn push(batch: &RefCell<Vec<WirePrompt>>, prompt: &WirePrompt) {
    let mut batch = batch.borrow_mut();
    if batch.len() < MAX_PROMPTS * MAX_DATAGRAMS {
        batch.push(prompt.clone());
    }
}

/// Sends the batches, for ever.
pub(super) async fn run(state: Rc<GatewayState>, socket: Rc<tokio::net::UdpSocket>) {
    loop {
        tokio::time::sleep(GATHERING).await;
        let peers = &state.peers;
        let daemons = peers.daemons();
        let firsts = other_groups_first(&daemons, &peers.own);
        let group = ranked_group(&daemons, &peers.own);
        let is_first = group
            .first()
            .is_some_and(|first| first.name == peers.own.name);
        peers.far.is_relay.set(is_first && !firsts.is_empty());
        let incoming = std::mem::take(&mut *peers.far.incoming.borrow_mut());
        for prompts in incoming.chunks(MAX_PROMPTS) {
            let message = message(prompts, false);
            send_to_group(&state, &socket, &daemons, &message).await;
        }
        let outgoing = std::mem::take(&mut *peers.far.outgoing.borrow_mut());
        for prompts in outgoing.chunks(MAX_PROMPTS) {
            let message = message(prompts, true);
            for first in &firsts {
                send(&socket, &message, &first.peers).await;
            }
        }
    }
}

fn message(prompts: &[WirePrompt], pass_on: bool) -> Message {
    Message::FarPrompts(FarPrompts {
        prompts: prompts.to_vec(),
        pass_on,
    })
}

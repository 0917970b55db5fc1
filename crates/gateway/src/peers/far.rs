//! Reports prompts between groups of daemons.
//!
//! Within a group every daemon reports its prompts to all others. Between groups that would be too many
//! datagrams, so the first in rank of each group, which hears of all prompts of its own, passes them on to the
//! first of every other group in batches, and that one to its members. A batch that is lost costs a prompt
//! that is read again, nothing else.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use super::known::{MOST_PROMPTS, WORTH_TELLING};
use super::message::{FarPrompts, Message, WirePrompt};
use super::send::{send, send_to_group};
use super::source::{other_groups_first, ranked_group};
use crate::state::GatewayState;

/// How long prompts are gathered before other groups are told. What a replica is reading is told along, so
/// this is short against the 600 ms in which a prompt must be read (runs of round 5: 100 ms serves worse).
const GATHERING: Duration = Duration::from_millis(40);

/// Datagrams of one batch; what is beyond them is left out.
const MOST_DATAGRAMS: usize = 3;

/// What waits to be told to other groups, or by them to this one.
#[derive(Debug, Default)]
pub(super) struct FarExchange {
    is_relay: Cell<bool>,
    outgoing: RefCell<Vec<WirePrompt>>,
    incoming: RefCell<Vec<WirePrompt>>,
}

impl FarExchange {
    /// Takes in a prompt of the own group.
    pub(super) fn gather(&self, prompt: &WirePrompt) {
        if self.is_relay.get() && prompt.tokens >= WORTH_TELLING {
            push(&self.outgoing, prompt);
        }
    }

    /// Takes in prompts of another group that the own group is to know.
    pub(super) fn pass_on(&self, prompts: &[WirePrompt]) {
        for prompt in prompts {
            push(&self.incoming, prompt);
        }
    }
}

fn push(batch: &RefCell<Vec<WirePrompt>>, prompt: &WirePrompt) {
    let mut batch = batch.borrow_mut();
    if batch.len() < MOST_PROMPTS * MOST_DATAGRAMS {
        batch.push(prompt.clone());
    }
}

/// Passes prompts on between groups for ever.
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
        for prompts in incoming.chunks(MOST_PROMPTS) {
            let message = message(prompts, false);
            send_to_group(&state, &socket, &daemons, &message).await;
        }
        let outgoing = std::mem::take(&mut *peers.far.outgoing.borrow_mut());
        for prompts in outgoing.chunks(MOST_PROMPTS) {
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

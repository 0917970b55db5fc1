//! The way to the gossip thread, which alone owns the membership.

use std::net::SocketAddr;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Mutex, PoisonError};

use driftspring_types::{EngineHealth, EngineId, EngineRecord, Incarnation};
use tokio::sync::oneshot;

/// Commands that may wait; further ones are dropped, since each is repeated by its sender's next
/// observation.
const MAX_WAITING_COMMANDS: usize = 4096;

/// What other threads tell the gossip thread.
#[derive(Debug)]
pub enum GossipCommand {
    /// An engine's own report, from its status or from the headers of an answer.
    EngineObserved(EngineRecord),
    /// An engine's health as judged from outside: unreachable, or leaving by the machine list.
    EngineHealth {
        /// The engine.
        id: EngineId,
        /// The only life that is meant; whichever there is where none is named.
        life: Option<Incarnation>,
        /// Its health.
        health: EngineHealth,
    },
    /// Peer addresses of other daemons, by the settings and the machine list.
    Contacts(Vec<SocketAddr>),
    /// This daemon is stopping; answered once the first datagrams are out.
    Leave(oneshot::Sender<()>),
}

/// The mailbox of the gossip thread. Sending never waits.
#[derive(Debug)]
pub struct GossipMailbox {
    sender: SyncSender<GossipCommand>,
    receiver: Mutex<Option<Receiver<GossipCommand>>>,
}

impl Default for GossipMailbox {
    fn default() -> Self {
        let (sender, receiver) = sync_channel(MAX_WAITING_COMMANDS);
        Self {
            sender,
            receiver: Mutex::new(Some(receiver)),
        }
    }
}

impl GossipMailbox {
    /// Leaves `command` for the gossip thread.
    pub fn send(&self, command: GossipCommand) {
        let _ = self.sender.try_send(command);
    }

    /// The receiving end, once.
    pub fn take_receiver(&self) -> Option<Receiver<GossipCommand>> {
        self.receiver
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take()
    }
}

//! The replicas of whose notices other gateways are to be informed.

use std::cell::RefCell;
use std::rc::Rc;

use tokio::sync::Notify;

use crate::replicas::Replica;

/// Limit of the pending replicas. Changes beyond it are not sent, and each gateway learns of them with its own
/// first answer.
const MAX_PENDING: usize = 1024;

/// The replicas whose notices have changed.
#[derive(Debug, Default)]
pub struct ChangedNotices {
    replicas: RefCell<Vec<Rc<Replica>>>,
    /// Wakes the task that informs the other gateways.
    pub changed: Notify,
}

impl ChangedNotices {
    /// Adds a replica that has reported something new to this gateway.
    pub fn add(&self, replica: &Rc<Replica>) {
        let mut replicas = self.replicas.borrow_mut();
        let is_waiting = replicas.iter().any(|waiting| Rc::ptr_eq(waiting, replica));
        if !is_waiting && replicas.len() < MAX_PENDING {
            replicas.push(Rc::clone(replica));
        }
        self.changed.notify_one();
    }

    /// Takes the replicas that were added since the last call.
    pub fn take(&self) -> Vec<Rc<Replica>> {
        self.replicas.take()
    }
}

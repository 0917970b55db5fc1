//! What other daemons are to be told of the notices of replicas.

use std::cell::RefCell;
use std::rc::Rc;

use tokio::sync::Notify;

use crate::replicas::Replica;

/// Replicas that wait to be told of; more are left out, and each daemon learns of them with its own first answer.
const MAX_PENDING: usize = 1024;

/// The replicas whose notices have changed.
#[derive(Debug, Default)]
pub struct ChangedNotices {
    replicas: RefCell<Vec<Rc<Replica>>>,
    /// Wakes the task that tells.
    pub changed: Notify,
}

impl ChangedNotices {
    /// Takes in that a replica has told this daemon something new.
    pub fn add(&self, replica: &Rc<Replica>) {
        let mut replicas = self.replicas.borrow_mut();
        let is_waiting = replicas.iter().any(|waiting| Rc::ptr_eq(waiting, replica));
        if !is_waiting && replicas.len() < MAX_PENDING {
            replicas.push(Rc::clone(replica));
        }
        self.changed.notify_one();
    }

    /// The replicas with news since the last call.
    pub fn take(&self) -> Vec<Rc<Replica>> {
        self.replicas.take()
    }
}

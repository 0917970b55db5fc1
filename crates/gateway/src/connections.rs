//! The callers' connections, so that those without an open request can be closed at a planned stop.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;

use ntex::io::{Id, IoRef};

/// Connections known before closed ones are looked for the first time.
const FIRST_PURGE: usize = 64;

#[derive(Debug)]
struct Known {
    connection: IoRef,
    open_requests: u32,
}

/// The callers' connections that have carried a request.
#[derive(Debug)]
pub struct CallerConnections {
    by_id: RefCell<HashMap<Id, Known>>,
    purge_at: Cell<usize>,
}

impl Default for CallerConnections {
    fn default() -> Self {
        Self {
            by_id: RefCell::new(HashMap::new()),
            purge_at: Cell::new(FIRST_PURGE),
        }
    }
}

impl CallerConnections {
    /// Takes in that a request has come on `connection`.
    pub fn request_began(&self, connection: &IoRef) {
        let mut by_id = self.by_id.borrow_mut();
        let known = by_id.entry(connection.id()).or_insert_with(|| Known {
            connection: connection.clone(),
            open_requests: 0,
        });
        known.open_requests += 1;
        if by_id.len() >= self.purge_at.get() {
            by_id.retain(|_, known| !known.connection.is_closed());
            self.purge_at.set((2 * by_id.len()).max(FIRST_PURGE));
        }
    }

    /// Takes in that a request's answer has ended.
    pub fn request_ended(&self, id: Id) {
        if let Some(known) = self.by_id.borrow_mut().get_mut(&id) {
            known.open_requests = known.open_requests.saturating_sub(1);
        }
    }

    /// Closes every connection without an open request; returns how many.
    pub fn close_idle(&self) -> usize {
        let mut by_id = self.by_id.borrow_mut();
        let is_idle = |known: &Known| known.open_requests == 0;
        let idle = by_id.values().filter(|known| is_idle(known));
        let open = idle.filter(|known| !known.connection.is_closed());
        let closed = open.map(|known| known.connection.close()).count();
        by_id.retain(|_, known| !is_idle(known));
        closed
    }
}

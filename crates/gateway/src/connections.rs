//! Tracks the callers' connections, so that those without an open request can be closed during a planned stop, and the stop
//! waits for those whose bytes the operating system has not taken yet.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;

use ntex::io::{Id, IoRef};

use crate::callers::socket::CallerSocket;

/// Number of tracked connections at which closed ones are first purged.
const INITIAL_PURGE_SIZE: usize = 64;

/// Number of bytes that wait in the connection's buffer for the operating system to take them.
pub fn unsent_bytes(connection: &IoRef) -> usize {
    match connection.is_closed() {
        true => 0,
        false => connection.with_write_dst_buf(|buffer| buffer.len()),
    }
}

#[derive(Debug)]
struct CallerConnection {
    connection: IoRef,
    open_requests: u32,
}

impl CallerConnection {
    fn is_idle(&self) -> bool {
        self.open_requests == 0 && unsent_bytes(&self.connection) == 0
    }
}

/// The callers' connections that have carried a request.
#[derive(Debug)]
pub struct CallerConnections {
    by_id: RefCell<HashMap<Id, CallerConnection>>,
    purge_threshold: Cell<usize>,
}

impl Default for CallerConnections {
    fn default() -> Self {
        Self {
            by_id: RefCell::new(HashMap::new()),
            purge_threshold: Cell::new(INITIAL_PURGE_SIZE),
        }
    }
}

impl CallerConnections {
    /// Records that a request has arrived on `connection`.
    pub fn record_request_start(&self, connection: &IoRef) {
        let mut by_id = self.by_id.borrow_mut();
        let tracked = by_id
            .entry(connection.id())
            .or_insert_with(|| CallerConnection {
                connection: connection.clone(),
                open_requests: 0,
            });
        tracked.open_requests += 1;
        if by_id.len() >= self.purge_threshold.get() {
            by_id.retain(|_, tracked| !tracked.connection.is_closed());
            self.purge_threshold
                .set((2 * by_id.len()).max(INITIAL_PURGE_SIZE));
        }
    }

    /// Records that the answer to a request has ended.
    pub fn record_request_end(&self, id: Id) {
        if let Some(tracked) = self.by_id.borrow_mut().get_mut(&id) {
            tracked.open_requests = tracked.open_requests.saturating_sub(1);
        }
    }

    /// Number of connections with bytes that were not sent yet.
    pub fn count_unsent(&self) -> usize {
        let by_id = self.by_id.borrow();
        let unsent = by_id
            .values()
            .filter(|tracked| unsent_bytes(&tracked.connection) > 0);
        unsent.count()
    }

    /// Closes every connection without an open request or unsent bytes, and returns their number.
    pub fn close_idle(&self) -> usize {
        let mut by_id = self.by_id.borrow_mut();
        let idle = by_id.values().filter(|tracked| tracked.is_idle());
        let open = idle.filter(|tracked| !tracked.connection.is_closed());
        let closed = open
            .map(|tracked| CallerSocket::close_idle(&tracked.connection))
            .count();
        by_id.retain(|_, tracked| !tracked.is_idle());
        closed
    }
}

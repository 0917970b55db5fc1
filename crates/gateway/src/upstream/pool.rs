//! The connection pool of one peer.

use driftspring_clock::Instant;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use super::connection::Connection;
use super::connector::ConnectError;

/// Limit of the idle connections that are kept.
const MAX_IDLE: usize = 64;

/// The idle connections to one peer; the most recently used ones are taken first.
#[derive(Debug)]
pub struct Pool {
    peer: SocketAddr,
    idle: RefCell<Vec<Connection>>,
}

impl Pool {
    /// A pool without connections.
    pub fn new(peer: SocketAddr) -> Rc<Self> {
        Rc::new(Self {
            peer,
            idle: RefCell::new(Vec::new()),
        })
    }

    /// The peer.
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Takes an idle connection that is ready, or opens a new one.
    ///
    /// # Errors
    ///
    /// No idle connection is ready, and the peer can't be reached.
    pub async fn take(&self) -> Result<Connection, ConnectError> {
        match self.take_idle() {
            Some(connection) => Ok(connection),
            None => Connection::open(self.peer).await,
        }
    }

    fn take_idle(&self) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        idle.retain(|connection| !connection.is_expired(now));
        let position = idle
            .iter()
            .rposition(|connection| connection.is_ready(now))?;
        Some(idle.remove(position))
    }

    /// Whether an idle connection is ready.
    pub fn has_idle(&self) -> bool {
        let now = Instant::now();
        let idle = self.idle.borrow();
        idle.iter().any(|connection| connection.is_ready(now))
    }

    /// Returns a connection whose last answer has ended to the pool.
    pub fn put(&self, connection: Connection) {
        let mut idle = self.idle.borrow_mut();
        if idle.len() < MAX_IDLE {
            idle.push(connection);
        }
    }

    /// Closes every idle connection.
    pub fn clear(&self) {
        self.idle.borrow_mut().clear();
    }
}

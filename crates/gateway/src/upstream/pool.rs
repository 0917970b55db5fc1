//! The connections to one peer.

use driftspring_clock::Instant;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use super::connection::Connection;
use super::connector::ConnectError;

/// Idle connections that are kept at the most.
const MAX_IDLE: usize = 64;

/// The connections to one peer, the most recently used one first.
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

    /// A connection that is ready, or a new one.
    ///
    /// # Errors
    ///
    /// None is ready, and the peer can't be reached.
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

    /// Keeps a connection whose last answer has ended.
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

//! Accepting connections, until a planned stop is over.
//!
//! A process takes a while to end, and the operating system accepts connections for it until then. So its listeners are closed
//! before: who connects later is refused at once, and knows that its request was not read.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

/// Whether the listeners of a thread accept connections.
#[derive(Debug, Default)]
pub struct Listening {
    is_over: Cell<bool>,
    over: Notify,
}

impl Listening {
    /// Ends the accepting of connections: every [`Self::accept`] returns `None`, now and later.
    pub fn end(&self) {
        self.is_over.set(true);
        self.over.notify_waiters();
    }

    /// Accepts a connection; returns `None` once the listener is to be closed.
    pub async fn accept(
        &self,
        listener: &TcpListener,
    ) -> Option<io::Result<(TcpStream, SocketAddr)>> {
        let over = self.over.notified();
        if self.is_over.get() {
            return None;
        }
        tokio::select! {
            biased;
            () = over => None,
            accepted = listener.accept() => Some(accepted),
        }
    }
}

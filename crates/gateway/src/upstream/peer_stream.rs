//! The bytes of a connection to a peer that may leave a large body unread for a while.
//!
//! The operating system ends a connection if sent bytes stay unacknowledged for [`UNACKNOWLEDGED_TIMEOUT`]. It counts the
//! time in which the peer acknowledges everything but has no room for more: a sound replica that does not read a large
//! body yet looks like a dead one. It does not tell which of the two it is, so the limit is lifted while more bytes are on
//! their way than any peer has room for. A peer may answer a request before it has read all of it, but answers the next one
//! only after that. Until then the deadline of the request is the only limit.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::connector::UNACKNOWLEDGED_TIMEOUT;

/// Bytes that a peer takes although it does not read; operating systems reserve more for each connection.
const ROOM_AT_PEER: usize = 16 * 1024;

/// The number of requests on a connection, shared by their sender and the stream that carries them.
#[derive(Debug, Clone, Default)]
pub struct RequestCount(Rc<Cell<u64>>);

impl RequestCount {
    /// Counts a request that is about to be sent.
    pub fn begin(&self) {
        self.0.set(self.0.get() + 1);
    }
}

/// A connection to a peer.
#[derive(Debug)]
pub struct PeerStream {
    stream: TcpStream,
    requests: RequestCount,
    /// The last request of which bytes were written, by its number, and how many.
    written: (u64, usize),
    /// The last request that was larger than what a peer has room for, while the limit is lifted for it.
    lifted_for: Option<u64>,
}

impl PeerStream {
    /// A connection that has [`UNACKNOWLEDGED_TIMEOUT`].
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            requests: RequestCount::default(),
            written: (0, 0),
            lifted_for: None,
        }
    }

    /// The count of its requests, which its user keeps.
    pub fn requests(&self) -> RequestCount {
        self.requests.clone()
    }

    fn note_written(&mut self, bytes: usize) {
        let request = self.requests.0.get();
        let before = match self.written {
            (same, before) if same == request => before,
            _ => 0,
        };
        self.written = (request, before.saturating_add(bytes));
        if self.written.1 > ROOM_AT_PEER && self.lifted_for.replace(request).is_none() {
            self.set_limit(None);
        }
    }

    /// What the peer says answers the request under way, so it has read all of those before.
    fn note_read(&mut self) {
        let request = self.requests.0.get();
        if self.lifted_for.take_if(|large| *large < request).is_some() {
            self.set_limit(Some(UNACKNOWLEDGED_TIMEOUT));
        }
    }

    /// A limit that can't be set stays as it is, and the connection is of use all the same.
    fn set_limit(&self, limit: Option<Duration>) {
        if let Err(error) = SockRef::from(&self.stream).set_tcp_user_timeout(limit) {
            log::debug!("time limit of unacknowledged bytes: {error}");
        }
    }
}

impl Drop for PeerStream {
    /// What is left to send on a closed connection must not occupy memory for long.
    fn drop(&mut self) {
        if self.lifted_for.is_some() {
            self.set_limit(Some(UNACKNOWLEDGED_TIMEOUT));
        }
    }
}

impl AsyncRead for PeerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        if buffer.filled().len() > before {
            self.note_read();
        }
        read
    }
}

impl AsyncWrite for PeerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        if let Poll::Ready(Ok(length)) = written {
            self.note_written(length);
        }
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        if let Poll::Ready(Ok(length)) = written {
            self.note_written(length);
        }
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

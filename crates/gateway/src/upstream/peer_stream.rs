//! The bytes of a connection to a peer that may leave a large body unread for a while.
//!
//! The operating system ends a connection if sent bytes stay unacknowledged for [`UNACKNOWLEDGED_TIMEOUT`]. It counts the
//! time in which the peer acknowledges everything but has no room for more: a sound replica that does not read a large
//! body yet looks like a dead one. It does not tell which of the two it is, so the limit is lifted while more bytes are on
//! their way than any peer has room for, and until the peer says something. Meanwhile the deadline of the request is the
//! only limit.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::connector::UNACKNOWLEDGED_TIMEOUT;

/// Bytes that a peer takes although it does not read; operating systems reserve more for each connection.
const ROOM_AT_PEER: usize = 16 * 1024;

/// A connection to a peer.
#[derive(Debug)]
pub struct PeerStream {
    stream: TcpStream,
    /// Bytes written since the peer last said something.
    unanswered: usize,
    is_limit_lifted: bool,
}

impl PeerStream {
    /// A connection that has [`UNACKNOWLEDGED_TIMEOUT`].
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            unanswered: 0,
            is_limit_lifted: false,
        }
    }

    fn note_written(&mut self, bytes: usize) {
        self.unanswered = self.unanswered.saturating_add(bytes);
        if self.unanswered > ROOM_AT_PEER && !self.is_limit_lifted {
            self.set_limit(None);
            self.is_limit_lifted = true;
        }
    }

    fn note_read(&mut self) {
        self.unanswered = 0;
        if std::mem::take(&mut self.is_limit_lifted) {
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
        if self.is_limit_lifted {
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

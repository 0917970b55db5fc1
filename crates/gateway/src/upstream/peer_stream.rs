//! The bytes of a connection to a peer that may leave a large message unread for a while.
//!
//! The operating system ends a connection if sent bytes stay unacknowledged for [`UNACKNOWLEDGED_TIMEOUT`]. It counts the
//! time in which the peer acknowledges everything but has no room for more: a sound peer that does not read a large message
//! yet looks like a dead one. It does not tell which of the two it is, so a longer limit holds while more bytes are on their
//! way than any peer has room for, until the peer says something that it can't say before it has read them.

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

/// What shows that the peer has read a message.
#[derive(Debug)]
enum Proof {
    /// An answer to a later request: a server may answer a request before it has read all of it.
    LaterAnswer(RequestCount),
    /// Anything that it says: a client sends its next request after it has read the answer.
    AnyBytes,
}

/// What was written of a message.
#[derive(Debug, Clone, Copy, Default)]
struct Written {
    /// The number of the request that the message is, or answers.
    request: u64,
    bytes: usize,
}

/// A connection to a peer.
#[derive(Debug)]
pub struct PeerStream {
    stream: TcpStream,
    proof: Proof,
    /// The limit while a large message may be unread; none if its request has one.
    large_limit: Option<Duration>,
    /// The last message.
    written: Written,
    /// The request of the last message that was larger than what a peer has room for, while that may be unread.
    unread: Option<u64>,
}

impl PeerStream {
    /// A connection to a server that has [`UNACKNOWLEDGED_TIMEOUT`]. While a large request may be unread, its deadline is the
    /// only limit.
    pub fn to_server(stream: TcpStream) -> Self {
        Self::new(stream, Proof::LaterAnswer(RequestCount::default()), None)
    }

    /// A connection to a client that has [`UNACKNOWLEDGED_TIMEOUT`], and `stall` while a large answer may be unread.
    pub fn to_client(stream: TcpStream, stall: Duration) -> Self {
        Self::new(stream, Proof::AnyBytes, Some(stall))
    }

    fn new(stream: TcpStream, proof: Proof, large_limit: Option<Duration>) -> Self {
        Self {
            stream,
            proof,
            large_limit,
            written: Written::default(),
            unread: None,
        }
    }

    /// The count of requests that the sender keeps.
    pub fn requests(&self) -> RequestCount {
        match &self.proof {
            Proof::LaterAnswer(requests) => requests.clone(),
            Proof::AnyBytes => RequestCount::default(),
        }
    }

    /// The socket.
    pub fn socket(&self) -> &TcpStream {
        &self.stream
    }

    /// The number of the request under way; always 0 if any bytes prove that the peer has read all.
    fn request(&self) -> u64 {
        match &self.proof {
            Proof::LaterAnswer(requests) => requests.0.get(),
            Proof::AnyBytes => 0,
        }
    }

    fn note_written(&mut self, bytes: usize) {
        let request = self.request();
        if self.written.request != request {
            self.written = Written { request, bytes: 0 };
        }
        self.written.bytes = self.written.bytes.saturating_add(bytes);
        if self.written.bytes > ROOM_AT_PEER && self.unread.replace(request).is_none() {
            self.set_limit(self.large_limit);
        }
    }

    /// Whether bytes of the peer show that it has read the message that belongs to this request.
    fn is_proven(&self, request: u64) -> bool {
        match &self.proof {
            Proof::LaterAnswer(requests) => request < requests.0.get(),
            Proof::AnyBytes => true,
        }
    }

    fn note_read(&mut self) {
        if self.is_proven(self.written.request) {
            self.written.bytes = 0;
        }
        if self.unread.is_some_and(|request| self.is_proven(request)) {
            self.unread = None;
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
    /// What is left of a request on a closed connection must not occupy memory for long. An answer may still be read.
    fn drop(&mut self) {
        if self.unread.is_some() && self.large_limit.is_none() {
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

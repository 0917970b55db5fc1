//! A connection whose reads are metered, and which never keeps its thread from others.
//!
//! A socket that always has bytes ready would be read for as long as what reads it needs no one else's turn. Here it pauses
//! after so many bytes, as if there were none yet.

use std::cell::RefCell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use super::meter::Meter;

/// Limit of one read, in bytes.
const MAX_READ_BYTES: usize = 16 * 1024;

/// How much is read before others get their turn, in bytes.
const TURN_BYTES: usize = 32 * 1024;

/// How many reads there are before others get their turn.
const TURN_READS: usize = 16;

thread_local! {
    /// Scratch space for a read. Its bytes are metered here before they are copied to the reader's buffer.
    static READ: RefCell<Box<[u8]>> = RefCell::new(vec![0; MAX_READ_BYTES].into());
}

/// What was read since others had their turn.
#[derive(Debug, Clone, Copy, Default)]
struct Turn {
    bytes: usize,
    reads: usize,
}

impl Turn {
    fn is_over(self) -> bool {
        self.bytes >= TURN_BYTES || self.reads >= TURN_READS
    }
}

/// A connection whose reads are metered.
#[derive(Debug)]
pub struct MeteredStream<S> {
    stream: TokioIo<S>,
    meter: Rc<Meter>,
    turn: Turn,
}

impl<S> MeteredStream<S> {
    /// Meters `stream`.
    pub fn new(stream: S, meter: Rc<Meter>) -> Self {
        Self {
            stream: TokioIo::new(stream),
            meter,
            turn: Turn::default(),
        }
    }

    /// The stream.
    pub fn into_inner(self) -> S {
        self.stream.into_inner()
    }
}

impl<S: AsyncRead + Unpin> Read for MeteredStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        mut buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        if self.turn.is_over() {
            self.turn = Turn::default();
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        READ.with_borrow_mut(|scratch| {
            let room = buffer.remaining().min(scratch.len());
            let mut read = ReadBuf::new(&mut scratch[..room]);
            let stream = Pin::new(self.stream.inner_mut());
            let Poll::Ready(result) = stream.poll_read(context, &mut read) else {
                self.turn = Turn::default();
                return Poll::Pending;
            };
            result?;
            let filled = read.filled();
            self.turn.bytes += filled.len();
            self.turn.reads += 1;
            self.meter.note(filled).map_err(io::Error::other)?;
            buffer.put_slice(filled);
            Poll::Ready(Ok(()))
        })
    }
}

impl<S: AsyncWrite + Unpin> Write for MeteredStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }
}

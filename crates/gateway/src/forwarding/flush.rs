//! Tells when the answers on a connection of another gateway have left this process.
//!
//! The HTTP library takes the last piece of an answer into a buffer of its own. It flushes the connection when that buffer is
//! empty, so an answer whose end was taken before a flush has been handed to the operating system by then.

use std::cell::RefCell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use hyper::rt::{Read, ReadBufCursor, Write};

use crate::upstream::{MeteredStream, PeerStream};

/// What is kept until the next flush of a connection, by either of its two ends.
#[derive(Debug)]
pub struct UntilFlush<T>(Rc<RefCell<Vec<T>>>);

impl<T> UntilFlush<T> {
    /// Keeps `value` until the connection is flushed or dropped.
    pub fn keep(&self, value: T) {
        self.0.borrow_mut().push(value);
    }

    fn clear(&self) {
        // Taken out first: a value may use the connection's state when it is dropped.
        let flushed = self.0.take();
        drop(flushed);
    }
}

impl<T> Default for UntilFlush<T> {
    fn default() -> Self {
        Self(Rc::default())
    }
}

impl<T> Clone for UntilFlush<T> {
    fn clone(&self) -> Self {
        Self(Rc::clone(&self.0))
    }
}

/// A connection that releases what is kept until its next flush.
pub struct FlushTracked<T> {
    stream: MeteredStream<PeerStream>,
    until_flush: UntilFlush<T>,
}

impl<T> FlushTracked<T> {
    /// Tracks the flushes of `stream`.
    pub fn new(stream: MeteredStream<PeerStream>, until_flush: UntilFlush<T>) -> Self {
        Self {
            stream,
            until_flush,
        }
    }

    /// The stream.
    pub fn into_inner(self) -> PeerStream {
        self.stream.into_inner()
    }
}

impl<T> Read for FlushTracked<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl<T> Write for FlushTracked<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        let flushed = Pin::new(&mut self.stream).poll_flush(context);
        if let Poll::Ready(Ok(())) = &flushed {
            self.until_flush.clear();
        }
        flushed
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }
}

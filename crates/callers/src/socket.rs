//! The socket of a caller's connection, as the HTTP library uses it.

use std::any::{Any, TypeId};
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use ntex::SharedCfg;
use ntex::io::{Handle, Io, IoContext, IoRef, IoStream, IoTaskStatus, Readiness, types};
use ntex::util::BytePages;
use tokio::net::TcpStream;
use tokio::time::{Sleep, sleep};

use crate::linger::{ConnectionGuard, Lingering, linger};

/// Maximum number of buffers that one system call writes.
const MAX_WRITE_BUFFERS: usize = 16;

/// Maximum number of bytes that one system call discards.
const DISCARD_BYTES: usize = 16 * 1024;

/// Number of such calls after which other tasks get a turn.
const DISCARDS_PER_TURN: u32 = 8;

/// How long a call goes on after its caller has ended its side of the connection. A caller that has only ended its side gets
/// its answer if that begins by then; one that has closed the connection looks the same until something is sent to it, and
/// no work may be done for it any more after half a second.
const HALF_CLOSE_GRACE: Duration = Duration::from_millis(250);

/// An accepted connection of a caller.
pub struct CallerStream {
    stream: TcpStream,
    socket: CallerSocket,
    lingering: Rc<Lingering>,
}

impl CallerStream {
    /// The library's object for an accepted connection; `lingering` tracks its end.
    pub fn open(stream: TcpStream, config: SharedCfg, lingering: Rc<Lingering>) -> Io {
        let socket = CallerSocket::default();
        let io = Io::new(
            Self {
                stream,
                socket: socket.clone(),
                lingering,
            },
            config,
        );
        socket.0.connection.replace(Some(io.get_ref()));
        io
    }
}

/// What its server knows of a connection beside the HTTP library.
#[derive(Debug, Clone, Default)]
pub struct CallerSocket(Rc<SocketState>);

#[derive(Debug, Default)]
struct SocketState {
    /// The library's side of the connection, until it ends: it refers to this state in turn.
    connection: RefCell<Option<IoRef>>,
    /// Whether a request may be under way: bytes were read since the last one ended.
    has_request: Cell<bool>,
    /// Whether the request under way ends with its caller, even if that has only ended its side.
    ends_with_caller: Cell<bool>,
    /// Whether the answer to the request under way is being sent.
    has_answer: Cell<bool>,
    /// Whether a request was answered before all of its body was read.
    has_unread_body: Cell<bool>,
    /// Whether it is closed at a moment at which its caller expects no answer.
    is_closed_idle: Cell<bool>,
}

impl CallerSocket {
    /// The socket of `connection`; none for connections that were not accepted from a caller.
    pub fn of(connection: &IoRef) -> Option<Self> {
        connection.query::<Self>().as_ref().cloned()
    }

    /// Records that a request has arrived.
    pub fn begin_request(&self) {
        self.0.has_request.set(true);
        self.0.ends_with_caller.set(false);
        self.0.has_answer.set(false);
    }

    /// Records that the whole answer to the request under way is known, and is being sent from now on.
    pub fn begin_answer(&self) {
        self.0.has_answer.set(true);
    }

    /// Records that the answer to a request has ended.
    pub fn end_request(&self) {
        let connection = self.0.connection.borrow();
        let connection = connection.as_ref();
        let has_bytes = |connection: &IoRef| connection.with_read_src_buf(|read| !read.is_empty());
        self.0.has_request.set(connection.is_some_and(has_bytes));
        self.0.ends_with_caller.set(false);
        self.0.has_answer.set(false);
    }

    /// Records that the request under way is to end as soon as its caller ends its side of the connection: each piece of a
    /// stream costs its replica work.
    pub fn end_with_caller(&self) {
        self.0.ends_with_caller.set(true);
    }

    /// Records that a request is answered although its caller still sends, or may send, its body.
    pub fn note_unread_body(&self) {
        self.0.has_unread_body.set(true);
    }

    /// Closes an idle connection. A request that arrives meanwhile is not read, so that its caller may send it again.
    pub fn close_idle(connection: &IoRef) {
        if let Some(socket) = Self::of(connection)
            && !socket.0.has_unread_body.get()
        {
            socket.0.is_closed_idle.set(true);
        }
        connection.close();
    }

    /// Whether a call goes on for a while after its caller has ended its side.
    fn has_half_close_grace(&self) -> bool {
        self.0.has_request.get() && !self.0.ends_with_caller.get()
    }

    /// Whether the library is closing the connection: it takes no further bytes, and writes what it has.
    fn is_closing(&self) -> bool {
        let connection = self.0.connection.borrow();
        let connection = connection.as_ref();
        connection.is_some_and(|connection| connection.with_write_buf(|_| ()).is_err())
    }
}

impl IoStream for CallerStream {
    fn start(self, context: IoContext) -> Box<dyn Handle> {
        let stream = Rc::new(self.stream);
        let transfer = Transfer {
            stream: Rc::clone(&stream),
            socket: self.socket.clone(),
            context,
            is_at_end: false,
            is_paused: false,
            half_close: None,
        };
        let guard = self.lingering.begin_connection();
        ntex::rt::spawn(run(transfer, self.lingering, guard));
        Box::new(SocketHandle {
            stream,
            socket: self.socket,
        })
    }
}

/// Transfers bytes until either side ends the connection, then ends it in order.
async fn run(mut transfer: Transfer, lingering: Rc<Lingering>, _guard: ConnectionGuard) {
    let end = std::future::poll_fn(|context| transfer.poll(context)).await;
    let Transfer {
        stream,
        socket,
        context,
        ..
    } = transfer;
    context.stop(None);
    drop(context);
    socket.0.connection.take();
    if end == End::ByServer && !socket.0.is_closed_idle.get() {
        // Boxed, since every open connection would have room for its buffer otherwise.
        Box::pin(linger(&stream, &lingering)).await;
    }
}

/// The library's way to the socket outside of the transfer's task.
struct SocketHandle {
    stream: Rc<TcpStream>,
    socket: CallerSocket,
}

impl Handle for SocketHandle {
    fn query(&self, id: TypeId) -> Option<Box<dyn Any>> {
        if id == TypeId::of::<types::PeerAddr>() {
            let address = self.stream.peer_addr().ok()?;
            return Some(Box::new(types::PeerAddr(address)));
        }
        if id == TypeId::of::<CallerSocket>() {
            return Some(Box::new(self.socket.clone()));
        }
        None
    }

    fn write(&self, context: &IoContext) {
        write(&self.stream, context);
    }

    // The transfer's task is woken by readiness.
    fn notify(&self, _: &IoContext) {}
}

/// Who ended a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    /// This side; all that was written has been handed to the operating system, unless the connection was cut.
    ByServer,
    /// The caller has closed its side or reset the connection.
    ByCaller,
}

/// Moves bytes between the socket and the library's buffers.
struct Transfer {
    stream: Rc<TcpStream>,
    socket: CallerSocket,
    context: IoContext,
    /// Whether the caller sends nothing more, or the connection has failed.
    is_at_end: bool,
    /// Whether the library had no room after the last read.
    is_paused: bool,
    /// Runs while a call goes on although its caller has ended its side.
    half_close: Option<Pin<Box<Sleep>>>,
}

impl Transfer {
    fn poll(&mut self, task: &mut Context<'_>) -> Poll<End> {
        self.poll_read(task);
        self.poll_half_close(task);
        ready!(self.poll_write(task));
        Poll::Ready(match self.is_at_end {
            true => End::ByCaller,
            false => End::ByServer,
        })
    }

    /// Reads while the library has room.
    fn poll_read(&mut self, task: &mut Context<'_>) {
        // Polled at the end of the caller's bytes too, since it also drives the library's shutdown.
        let mut discards = 0;
        while let Poll::Ready(Readiness::Ready) = self.context.poll_read_ready(task) {
            if self.is_at_end {
                return;
            }
            match self.stream.poll_read_ready(task) {
                Poll::Ready(Ok(())) => {}
                Poll::Ready(Err(error)) => {
                    self.is_at_end = true;
                    return self.context.stop(Some(error));
                }
                Poll::Pending => return,
            }
            // A library that closes the connection asks for bytes although it consumes none.
            if self.is_paused && self.socket.is_closing() {
                self.discard();
                discards += 1;
                if discards == DISCARDS_PER_TURN {
                    return task.waker().wake_by_ref();
                }
                continue;
            }
            let status = self.read();
            self.is_paused = status == IoTaskStatus::Pause;
            if status != IoTaskStatus::Io {
                return;
            }
        }
    }

    /// Reads into the library's buffer.
    fn read(&mut self) -> IoTaskStatus {
        let mut buffer = self.context.get_read_buf();
        let read = self.stream.try_read_buf(&mut buffer);
        let read = self.note_read(read);
        let status = self.context.update_read_status(buffer, read);
        if self.is_at_end && !self.socket.is_closing() {
            match self.socket.has_half_close_grace() {
                true => self.half_close = Some(Box::pin(sleep(HALF_CLOSE_GRACE))),
                // A caller that closes its connection gives up its request.
                false => self.context.stop(None),
            }
        }
        status
    }

    /// Ends a connection some time after its caller has ended its side: at once if the answer has not begun, else once it was
    /// sent. A caller that has closed the connection resets it when the answer arrives.
    fn poll_half_close(&mut self, task: &mut Context<'_>) {
        while let Some(timer) = &mut self.half_close
            && timer.as_mut().poll(task).is_ready()
        {
            let state = &self.socket.0;
            match (state.has_request.get(), state.has_answer.get()) {
                (true, true) => timer.set(sleep(HALF_CLOSE_GRACE)),
                (true, false) => {
                    self.half_close = None;
                    self.context.stop(None);
                }
                (false, _) => {
                    self.half_close = None;
                    let connection = state.connection.borrow();
                    if let Some(connection) = connection.as_ref() {
                        connection.close();
                    }
                }
            }
        }
    }

    /// Reads what nobody takes any more.
    fn discard(&mut self) {
        let mut scratch = [0; DISCARD_BYTES];
        let read = self.stream.try_read(&mut scratch);
        if let Err(error) = self.note_read(read) {
            self.context.stop(Some(error));
        }
    }

    /// Notes the end of the caller's bytes. A socket without bytes for now has read none.
    fn note_read(&mut self, read: io::Result<usize>) -> io::Result<usize> {
        match read {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(0),
            read => {
                let state = &self.socket.0;
                match read {
                    Ok(1..) => state.has_request.set(true),
                    Ok(0) | Err(_) => self.is_at_end = true,
                }
                read
            }
        }
    }

    /// Writes what the library has buffered; ready at the end of the connection.
    fn poll_write(&mut self, task: &mut Context<'_>) -> Poll<()> {
        while let Readiness::Ready = ready!(self.context.poll_write_ready(task)) {
            if let Err(error) = ready!(self.stream.poll_write_ready(task)) {
                self.is_at_end = true;
                self.context.update_write_status(Err(error));
                return Poll::Ready(());
            }
            match write(&self.stream, &self.context) {
                Written::More => {}
                Written::All => return Poll::Pending,
                Written::Failed => {
                    self.is_at_end = true;
                    return Poll::Ready(());
                }
            }
        }
        Poll::Ready(())
    }
}

/// What is left to write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Written {
    /// Some bytes, as far as is known.
    More,
    /// Nothing.
    All,
    /// Nothing more can be written.
    Failed,
}

/// Writes a part of what the library has buffered, without waiting.
fn write(stream: &TcpStream, context: &IoContext) -> Written {
    let written = context.with_write_buf(|buffer| write_pages(stream, buffer));
    match context.update_write_status(written) {
        IoTaskStatus::Io => Written::More,
        IoTaskStatus::Pause => Written::All,
        IoTaskStatus::Stop => Written::Failed,
    }
}

/// Writes the first buffers with one system call; returns whether any byte was taken.
fn write_pages(stream: &TcpStream, pages: &mut BytePages) -> io::Result<bool> {
    let written = {
        let mut slices = [IoSlice::new(&[]); MAX_WRITE_BUFFERS];
        let mut count = 0;
        for (slice, page) in slices.iter_mut().zip(pages.iter()) {
            *slice = IoSlice::new(page);
            count += 1;
        }
        if count == 0 {
            return Ok(false);
        }
        stream.try_write_vectored(&slices[..count])
    };
    match written {
        Ok(0) => Err(io::ErrorKind::WriteZero.into()),
        Ok(taken) => {
            pages.advance_to(taken);
            Ok(true)
        }
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(false),
        Err(error) => Err(error),
    }
}

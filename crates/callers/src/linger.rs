//! The lingering end of a connection: what its caller still sends after the last answer is read and discarded, so that the
//! answer is not lost to a reset.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::{Shutdown, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use driftspring_clock::Instant;
use driftspring_telemetry::events::gateway;
use driftspring_telemetry::log_event;
use driftspring_telemetry::metrics::{LingerEnd, LingerMetrics};
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// How long the caller may send nothing before its connection is closed nevertheless.
pub const MAX_SILENCE: Duration = Duration::from_secs(5);

/// How long a connection lingers at most.
pub const MAX_TIME: Duration = Duration::from_secs(60);

/// Maximum number of bytes that are discarded, unless the configuration allows larger bodies.
pub const MAX_BYTES: u64 = 16 * 1024 * 1024;

/// Maximum number of connections that linger. Each takes a descriptor, which callers and replicas need as well.
pub const MAX_OPEN: usize = 512;

/// Size of one read, in bytes.
const READ_BYTES: usize = 16 * 1024;

/// Number of reads after which other tasks get a turn: the bytes of a fast caller are always ready.
const READS_PER_TURN: u32 = 8;

/// The connections of one thread, and those of them that linger.
#[derive(Debug)]
pub struct Lingering {
    metrics: LingerMetrics,
    /// What ends each of them early, in the order in which they began.
    open: RefCell<BTreeMap<u64, Rc<Notify>>>,
    max_open: usize,
    next: Cell<u64>,
    connections: Cell<u32>,
    max_bytes: Cell<u64>,
}

impl Lingering {
    /// None yet.
    pub fn new(metrics: LingerMetrics) -> Rc<Self> {
        Self::with_max_open(metrics, MAX_OPEN)
    }

    /// The same with another maximum number of connections.
    pub fn with_max_open(metrics: LingerMetrics, max_open: usize) -> Rc<Self> {
        Rc::new(Self {
            metrics,
            open: RefCell::default(),
            max_open,
            next: Cell::new(0),
            connections: Cell::new(0),
            max_bytes: Cell::new(MAX_BYTES),
        })
    }

    /// Sets the size in bytes of the largest body that callers may send: such a body is always read to its end.
    pub fn set_max_body_bytes(&self, size: usize) {
        // Chunks add to the size.
        let with_framing = (size as u64).saturating_mul(2);
        self.max_bytes.set(with_framing.max(MAX_BYTES));
    }

    /// Number of connections that linger.
    pub fn open(&self) -> u32 {
        u32::try_from(self.open.borrow().len()).unwrap_or(u32::MAX)
    }

    /// Number of callers' connections, among them those that linger.
    pub fn connections(&self) -> u32 {
        self.connections.get()
    }

    /// Counts a connection until the returned guard is dropped.
    pub(crate) fn begin_connection(self: &Rc<Self>) -> ConnectionGuard {
        self.connections.set(self.connections.get() + 1);
        ConnectionGuard(Rc::clone(self))
    }

    /// Counts a connection as lingering; if they are too many, the oldest one ends.
    fn begin(self: &Rc<Self>) -> LingerGuard {
        let number = self.next.get();
        self.next.set(number + 1);
        let evicted = Rc::new(Notify::new());
        let mut open = self.open.borrow_mut();
        if open.len() >= self.max_open
            && let Some((_, oldest)) = open.pop_first()
        {
            oldest.notify_one();
        }
        open.insert(number, Rc::clone(&evicted));
        self.metrics.open.inc();
        LingerGuard {
            lingering: Rc::clone(self),
            number,
            evicted,
        }
    }
}

/// Counts a connection as lingering until it is dropped.
struct LingerGuard {
    lingering: Rc<Lingering>,
    number: u64,
    evicted: Rc<Notify>,
}

impl Drop for LingerGuard {
    fn drop(&mut self) {
        self.lingering.open.borrow_mut().remove(&self.number);
        self.lingering.metrics.open.dec();
    }
}

/// Counts a connection until it is dropped.
pub(crate) struct ConnectionGuard(Rc<Lingering>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        let connections = &self.0.connections;
        connections.set(connections.get().saturating_sub(1));
    }
}

/// Closes the sending side of the connection, then reads and discards until the caller closes its side or a limit is
/// reached.
pub async fn linger(stream: &TcpStream, lingering: &Rc<Lingering>) {
    let guard = lingering.begin();
    let metrics = &lingering.metrics;
    let peer = stream.peer_addr();
    if let Err(error) = SockRef::from(stream).shutdown(Shutdown::Write) {
        log::debug!("the caller at {peer:?} has left: {error}");
        metrics.note_end(LingerEnd::Reset, 0);
        return;
    }
    let began = Instant::now();
    let mut discarded = 0;
    let end = tokio::select! {
        biased;
        end = discard(stream, lingering.max_bytes.get(), &mut discarded) => end,
        () = guard.evicted.notified() => LingerEnd::CountLimit,
        () = tokio::time::sleep(MAX_TIME) => LingerEnd::TimeLimit,
    };
    metrics.note_end(end, discarded);
    if end.is_limit() && discarded > 0 {
        log_limit(peer.ok(), end, discarded, began.elapsed());
    }
}

/// Reads until the caller closes its side, says nothing for too long, or has sent too much.
async fn discard(stream: &TcpStream, max_bytes: u64, discarded: &mut u64) -> LingerEnd {
    let mut buffer = [0; READ_BYTES];
    loop {
        match tokio::time::timeout(MAX_SILENCE, stream.readable()).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) => return LingerEnd::Reset,
            Err(_) => return LingerEnd::SilenceLimit,
        }
        for _ in 0..READS_PER_TURN {
            match stream.try_read(&mut buffer) {
                Ok(0) => return LingerEnd::ClosedByCaller,
                Ok(read) => *discarded += read as u64,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(_) => return LingerEnd::Reset,
            }
            if *discarded > max_bytes {
                return LingerEnd::ByteLimit;
            }
        }
        tokio::task::yield_now().await;
    }
}

fn log_limit(peer: Option<SocketAddr>, end: LingerEnd, discarded: u64, elapsed: Duration) {
    log_event!(
        gateway::CONNECTION_NOT_ENDED,
        "caller={peer:?} limit={} discarded={discarded} elapsed={elapsed:?}",
        end.name()
    );
}
